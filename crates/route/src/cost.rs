//! What a choice of an instance costs, in one unit: the worth of a request.
//!
//! An answer after the aim is worth little, so the largest part is how likely
//! it comes late. Bytes between failure domains cost too, and are set against
//! that. Time itself costs a little, which decides between equals.

use std::time::Duration;

/// Mean time for which a machine stays as slow as it says, in seconds: about
/// half of the stretches of 300 ms that were seen.
const STRETCH: f64 = 0.15;
/// Usual pace, in hundredths.
const USUAL_PACE: f64 = 100.0;
/// Mean slowdown of a machine of which nothing is known: a quarter of the time
/// four times slower.
const MEAN_SLOWDOWN: f64 = 1.3;
/// Age at which what a machine said of its pace has lost most of its meaning, in seconds.
const PACE_LIFE: f64 = 0.2;
/// Part of the slots above which instances were seen to get slower,
pub const KNEE: f64 = 0.8;
/// and by how much.
const KNEE_SLOWDOWN: f64 = 1.7;
/// An instance that has just started works so much slower.
const COLD_SLOWDOWN: f64 = 2.0;
/// How sharply lateness sets in around the aim: work times spread by about 0.3.
const SHARPNESS: f64 = 8.0;
/// Part of a request's worth that a late answer loses.
const LATE_LOSS: f64 = 0.9;
/// Worth of one aim's time, to decide between answers that all come in time.
const TIME_WORTH: f64 = 0.03;
/// Worth that a share of failures costs, as a failed request is lost.
const FAILURE_LOSS: f64 = 1.0;

/// What is known of an instance at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Requests that it works on or that wait there, this one not counted.
    pub busy: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Pace that it told, in hundredths of the usual time, and the age of that in seconds.
    pub pace: Option<(f64, f64)>,
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
}

/// When the answer is expected, in seconds.
#[must_use]
pub fn expected(standing: &Standing, need: &Need) -> f64 {
    let work = need.work.as_secs_f64();
    let cold = if standing.cold { COLD_SLOWDOWN } else { 1.0 };
    let after = standing.busy + 1.0;
    let knee = if after > standing.slots * KNEE {
        KNEE_SLOWDOWN
    } else {
        1.0
    };
    let own = slowed(work * cold * knee, standing.pace);
    let queued = (after - standing.slots).max(0.0);
    let wait = queued / standing.slots * slowed(work * cold * KNEE_SLOWDOWN, standing.pace);
    own + wait
}

/// How long work takes on a machine that told its pace some time ago.
fn slowed(work: f64, pace: Option<(f64, f64)>) -> f64 {
    let Some((pace, age)) = pace else {
        return work * MEAN_SLOWDOWN;
    };
    let slowdown = (pace / USUAL_PACE).max(0.1);
    let now = if slowdown > 1.0 {
        // Slow until the stretch ends, usual from then on.
        (work * slowdown).min(STRETCH + (work - STRETCH / slowdown).max(0.0))
    } else {
        work * slowdown
    };
    let known = (-age / PACE_LIFE).exp();
    now * known + work * MEAN_SLOWDOWN * (1.0 - known)
}

/// What the choice costs; `crosses` says that the instance is in another failure domain.
#[must_use]
pub fn cost(standing: &Standing, need: &Need, crosses: bool) -> f64 {
    let ratio = expected(standing, need) / need.aim.as_secs_f64().max(1e-3);
    let late = 1.0 / (1.0 + (-SHARPNESS * (ratio - 1.0)).exp());
    let crossing = if crosses { need.crossing } else { 0.0 };
    late * LATE_LOSS + ratio * TIME_WORTH + crossing + standing.failing * FAILURE_LOSS
}
