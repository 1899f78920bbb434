//! Cost of sending a request to an instance, as a fraction of the request's worth.
//!
//! The largest part is the probability that the response comes after the target
//! latency. Traffic between failure domains, the expected response time and the
//! instance's failure share add to it; response time decides between instances
//! that would all answer in time.
//!
//! A request runs at the pace that the machine had when work started. The pace of
//! an instance without a recent report is a mixture of normal and slow.

use std::time::Duration;

/// Nominal pace, in hundredths.
const NOMINAL_PACE: f64 = 100.0;
/// Pace from which a machine counts as slow, in hundredths.
const SLOW_PACE: f64 = 200.0;
/// Mean duration of a pace, in seconds.
const PACE_TIME_CONSTANT: f64 = 0.3;
/// Utilization above which requests run slower.
const KNEE: f64 = 0.8;
/// Slowdown of requests that start above [`KNEE`]; those already running aren't slowed.
const LOADED_SLOWDOWN: f64 = 1.7;
/// Slowdown of a cold instance.
const COLD_SLOWDOWN: f64 = 2.0;
/// Standard deviation of the logarithm of work times.
const WORK_TIME_SIGMA: f64 = 0.3;
/// Scale at which the logistic function approximates the normal distribution.
const LOGISTIC_SCALE: f64 = 1.7;
/// Part of a request's worth that a late response loses.
const LATE_LOSS: f64 = 0.9;
/// Cost of a response time equal to the target latency.
const TIME_COST: f64 = 0.03;
/// Cost of a failure share of 1.
const FAILURE_LOSS: f64 = 1.0;
/// Weight of one report in [`PaceStats`].
const SAMPLE_WEIGHT: f64 = 0.02;

/// How often and how much the machines of a service are slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceStats {
    /// Share of the reports with a slow pace.
    share: f64,
    /// Average slowdown in these reports.
    slowdown: f64,
}

impl Default for PaceStats {
    /// Assumed values for shared machines.
    fn default() -> Self {
        Self {
            share: 0.25,
            slowdown: 4.0,
        }
    }
}

impl PaceStats {
    /// Adds a reported pace, in hundredths of the nominal time.
    pub fn observe(&mut self, pace: u32) {
        let pace = f64::from(pace);
        let slow = pace >= SLOW_PACE;
        let sample = if slow { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * SAMPLE_WEIGHT;
        if slow {
            self.slowdown += (pace / NOMINAL_PACE - self.slowdown) * SAMPLE_WEIGHT;
        }
    }
}

/// An instance's state at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceState {
    /// Requests at the instance, running and queued, without the one to be sent.
    pub busy: f64,
    /// Maximum number of requests processed at once.
    pub slots: f64,
    /// Reported pace, in hundredths of the nominal time, and the report's age in seconds.
    pub pace: Option<(f64, f64)>,
    /// Pace statistics of the service.
    pub pace_stats: PaceStats,
    /// Whether it has just started.
    pub cold: bool,
    /// Share of failures among its recent responses.
    pub failure_share: f64,
}

/// Requirements of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Usual work time of the request.
    pub work: Duration,
    /// Target latency, from now: a response within this time keeps its full worth.
    pub aim: Duration,
    /// Cost of its traffic between failure domains, as a fraction of its worth.
    pub crossing: f64,
    /// Fraction of an instance's slots that may be in use including this request.
    pub max_occupancy: f64,
    /// Failure domain that the response is sent to.
    pub domain_index: DomainIndex,
    /// What must be known of an instance's free slots.
    pub evidence: Evidence,
}

/// What must be known of an instance's free slots before a request is sent there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// A report of any age, or none within the process's share of all slots.
    #[default]
    Any,
    /// A young report; an older one counts as none.
    Share,
    /// A young report, or none since this process started, within its share of all slots.
    Report,
}

/// Index of a failure domain in a chooser.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DomainIndex(pub(crate) u32);

impl DomainIndex {
    /// The chooser's own domain.
    pub const OWN: Self = Self(0);
}

/// Probability and slowdown of one possible pace.
type Scenario = (f64, f64);

impl InstanceState {
    /// The reported pace, and the normal and the slow pace in case the report is outdated.
    fn scenarios(&self) -> [Scenario; 3] {
        let (pace, confidence) = match self.pace {
            Some((pace, age)) => (
                (pace / NOMINAL_PACE).max(0.1),
                (-age / PACE_TIME_CONSTANT).exp(),
            ),
            None => (1.0, 0.0),
        };
        let unknown = 1.0 - confidence;
        let slow = unknown * self.pace_stats.share;
        [
            (confidence, pace),
            (unknown - slow, 1.0),
            (slow, self.pace_stats.slowdown),
        ]
    }

    /// Response time on a machine that is `slowdown` times slower, in seconds.
    fn response_time(&self, need: &Need, slowdown: f64) -> f64 {
        let cold = if self.cold { COLD_SLOWDOWN } else { 1.0 };
        let work = need.work.as_secs_f64() * cold * slowdown;
        let requests = self.busy + 1.0;
        let load_slowdown = if requests > self.slots * KNEE {
            LOADED_SLOWDOWN
        } else {
            1.0
        };
        let queued = (requests - self.slots).max(0.0);
        work * load_slowdown + work * LOADED_SLOWDOWN * queued / self.slots
    }
}

/// Expected response time, in seconds.
#[must_use]
pub fn expected(state: &InstanceState, need: &Need) -> f64 {
    let scenarios = state.scenarios().into_iter();
    scenarios
        .map(|(weight, slowdown)| weight * state.response_time(need, slowdown))
        .sum()
}

/// Probability that the response comes after the target latency.
#[must_use]
pub fn late_probability(state: &InstanceState, need: &Need) -> f64 {
    let aim = need.aim.as_secs_f64().max(1e-3);
    let scenarios = state.scenarios().into_iter();
    scenarios
        .map(|(weight, slowdown)| {
            let ratio = state.response_time(need, slowdown) / aim;
            weight / (1.0 + (-LOGISTIC_SCALE * ratio.max(1e-6).ln() / WORK_TIME_SIGMA).exp())
        })
        .sum()
}

/// Cost of sending the request; `cross_domain` if the instance is in another failure domain.
#[must_use]
pub fn cost(state: &InstanceState, need: &Need, cross_domain: bool) -> f64 {
    let ratio = expected(state, need) / need.aim.as_secs_f64().max(1e-3);
    let crossing = if cross_domain { need.crossing } else { 0.0 };
    let failure_cost = state.failure_share * FAILURE_LOSS;
    late_probability(state, need) * LATE_LOSS + ratio * TIME_COST + crossing + failure_cost
}
