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
const USUAL_PACE: f64 = 100.0;
/// Pace from which a machine counts as slow, in hundredths.
const SLOW_PACE: f64 = 200.0;
/// Mean time for which a pace lasts, in seconds.
const PACE_LIFE: f64 = 0.3;
/// Part of the slots above which instances work slower,
const KNEE: f64 = 0.8;
/// and by how much. It is settled when the work starts, as the pace is; what runs already
/// isn't slowed.
const KNEE_SLOWDOWN: f64 = 1.7;
/// An instance that has just started works so much slower.
const COLD_SLOWDOWN: f64 = 2.0;
/// Spread of work times, as the deviation of their logarithm.
const SPREAD: f64 = 0.3;
/// Makes the logistic curve follow the normal one.
const LOGISTIC: f64 = 1.7;
/// Part of a request's worth that a late answer loses.
const LATE_LOSS: f64 = 0.9;
/// Worth of one aim's time, to decide between answers that all come in time.
const TIME_WORTH: f64 = 0.03;
/// Worth that a share of failures costs, as a failed request is lost.
const FAILURE_LOSS: f64 = 1.0;
/// Weight of one report in what is usual for a service's machines.
const USUAL_WEIGHT: f64 = 0.02;

/// How often and how much the machines of a service are slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Paces {
    /// Share of the reports with a slow pace.
    share: f64,
    /// Slowdown in these.
    slowdown: f64,
}

impl Default for Paces {
    /// Where machines are shared: a quarter of the time, four times.
    fn default() -> Self {
        Self {
            share: 0.25,
            slowdown: 4.0,
        }
    }
}

impl Paces {
    /// Takes a pace that an instance told, in hundredths of the usual time.
    pub fn learn(&mut self, pace: u32) {
        let pace = f64::from(pace);
        let slow = pace >= SLOW_PACE;
        let sample = if slow { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * USUAL_WEIGHT;
        if slow {
            self.slowdown += (pace / USUAL_PACE - self.slowdown) * USUAL_WEIGHT;
        }
    }
}

/// What is known of an instance at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Requests that it works on or that wait there, this one not counted.
    pub busy: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Pace that it told, in hundredths of the usual time, and the age of that in seconds.
    pub pace: Option<(f64, f64)>,
    /// What is usual for the machines of its service.
    pub usual: Paces,
    /// It has just started.
    pub cold: bool,
    /// Share of its recent answers that were failures.
    pub failing: f64,
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
type Way = (f64, f64);

impl Standing {
    /// The pace that was told, or one of the usual two.
    fn ways(&self) -> [Way; 3] {
        let (pace, known) = match self.pace {
            Some((pace, age)) => ((pace / USUAL_PACE).max(0.1), (-age / PACE_LIFE).exp()),
            None => (1.0, 0.0),
        };
        let unknown = 1.0 - known;
        let slow = unknown * self.usual.share;
        [
            (known, pace),
            (unknown - slow, 1.0),
            (slow, self.usual.slowdown),
        ]
    }

    /// Time until the answer on a machine that is `slowdown` times slower, in seconds.
    fn time(&self, need: &Need, slowdown: f64) -> f64 {
        let cold = if self.cold { COLD_SLOWDOWN } else { 1.0 };
        let work = need.work.as_secs_f64() * cold * slowdown;
        let after = self.busy + 1.0;
        let knee = if after > self.slots * KNEE {
            KNEE_SLOWDOWN
        } else {
            1.0
        };
        let queued = (after - self.slots).max(0.0);
        work * knee + work * KNEE_SLOWDOWN * queued / self.slots
    }
}

/// When the answer is expected, in seconds.
#[must_use]
pub fn expected(standing: &Standing, need: &Need) -> f64 {
    let ways = standing.ways().into_iter();
    ways.map(|(weight, slowdown)| weight * standing.time(need, slowdown))
        .sum()
}

/// How likely the answer comes late.
#[must_use]
pub fn late(standing: &Standing, need: &Need) -> f64 {
    let aim = need.aim.as_secs_f64().max(1e-3);
    let ways = standing.ways().into_iter();
    ways.map(|(weight, slowdown)| {
        let ratio = standing.time(need, slowdown) / aim;
        weight / (1.0 + (-LOGISTIC * ratio.max(1e-6).ln() / SPREAD).exp())
    })
    .sum()
}

/// What the choice costs; `crosses` says that the instance is in another failure domain.
#[must_use]
pub fn cost(standing: &Standing, need: &Need, crosses: bool) -> f64 {
    let ratio = expected(standing, need) / need.aim.as_secs_f64().max(1e-3);
    let crossing = if crosses { need.crossing } else { 0.0 };
    let failing = standing.failing * FAILURE_LOSS;
    late(standing, need) * LATE_LOSS + ratio * TIME_WORTH + crossing + failing
}
