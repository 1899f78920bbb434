//! What a choice of an instance costs, in one unit: the worth of a request.
//!
//! An answer after the aim is worth little, so the largest part is how likely
//! it comes late. Bytes between failure domains cost too, and are set against
//! that. Time itself costs a little, which decides between equals.
//!
//! The pace of a machine when work starts holds for all of that work. So an instance
//! that is slow now is to be avoided, and one of which nothing is known is a draw between
//! both.

use std::time::Duration;

/// Usual pace, in hundredths.
const NOMINAL_PACE: f64 = 100.0;
/// Pace from which a machine counts as slow, in hundredths.
const SLOW_PACE: f64 = 200.0;
/// Mean time for which a pace lasts, in seconds.
const PACE_TIME_CONSTANT: f64 = 0.3;
/// Part of the slots above which instances work slower,
const KNEE: f64 = 0.8;
/// and by how much. It is settled when the work starts, as the pace is; what runs already
/// isn't slowed.
const LOADED_SLOWDOWN: f64 = 1.7;
/// An instance that has just started works so much slower.
const COLD_SLOWDOWN: f64 = 2.0;
/// Spread of work times, as the deviation of their logarithm.
const WORK_TIME_SIGMA: f64 = 0.3;
/// Makes the logistic curve follow the normal one.
const LOGISTIC_SCALE: f64 = 1.7;
/// Part of a request's worth that a late answer loses.
const LATE_LOSS: f64 = 0.9;
/// Worth of one aim's time, to decide between answers that all come in time.
const TIME_COST: f64 = 0.03;
/// Worth that a share of failures costs, as a failed request is lost.
const FAILURE_LOSS: f64 = 1.0;
/// Weight of one report in what is usual for a service's machines.
const SAMPLE_WEIGHT: f64 = 0.02;

/// How often and how much the machines of a service are slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceStats {
    /// Share of the reports with a slow pace.
    share: f64,
    /// Slowdown in these.
    slowdown: f64,
}

impl Default for PaceStats {
    /// Where machines are shared: a quarter of the time, four times.
    fn default() -> Self {
        Self {
            share: 0.25,
            slowdown: 4.0,
        }
    }
}

impl PaceStats {
    /// Takes a pace that an instance told, in hundredths of the usual time.
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

/// What is known of an instance at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceState {
    /// Requests that it works on or that wait there, this one not counted.
    pub busy: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Pace that it told, in hundredths of the usual time, and the age of that in seconds.
    pub pace: Option<(f64, f64)>,
    /// What is usual for the machines of its service.
    pub pace_stats: PaceStats,
    /// It has just started.
    pub cold: bool,
    /// Share of its recent answers that were failures.
    pub failure_share: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Usual time of work.
    pub work: Duration,
    /// Time within which the answer has its full worth, from now.
    pub aim: Duration,
    /// Cost of its bytes between failure domains, as a part of its worth.
    pub crossing: f64,
    /// Part of an instance's slots that may be taken with it.
    pub room: f64,
    /// Where its answer goes.
    pub domain_index: DomainIndex,
}

/// A failure domain as a chooser numbers them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DomainIndex(pub(crate) u32);

impl DomainIndex {
    /// The chooser's own.
    pub const OWN: Self = Self(0);
}

/// One way that it may go: how likely, and how much slower than usual.
type Scenario = (f64, f64);

impl InstanceState {
    /// The pace that was told, or one of the usual two.
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

    /// Time until the answer on a machine that is `slowdown` times slower, in seconds.
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

/// When the answer is expected, in seconds.
#[must_use]
pub fn expected(state: &InstanceState, need: &Need) -> f64 {
    let scenarios = state.scenarios().into_iter();
    scenarios
        .map(|(weight, slowdown)| weight * state.response_time(need, slowdown))
        .sum()
}

/// How likely the answer comes late.
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

/// What the choice costs; `crosses` says that the instance is in another failure domain.
#[must_use]
pub fn cost(state: &InstanceState, need: &Need, cross_domain: bool) -> f64 {
    let ratio = expected(state, need) / need.aim.as_secs_f64().max(1e-3);
    let crossing = if cross_domain { need.crossing } else { 0.0 };
    let failure_cost = state.failure_share * FAILURE_LOSS;
    late_probability(state, need) * LATE_LOSS + ratio * TIME_COST + crossing + failure_cost
}
