//! The simulated faults, which are the columns of the table.

use std::time::Duration;

use base::prelude::Moment;
use route::OutcomeKind;
use route::Phase;
use strum::Display;
use strum::EnumIter;

/// When a fault begins; after the warm-up, so that the onset is measured too.
const ONSET: Moment = Moment::from_millis(1500);
/// Time from the announcement of a restart to the old process's exit.
const DRAIN: Duration = Duration::from_millis(500);
/// Time from the old process's exit to the new process's announcement.
const DOWN: Duration = Duration::from_millis(200);
/// Slowdown of a new process at its start, which decreases linearly to 1 in one second.
const COLD_FACTOR: f64 = 8.0;

/// One column of the table.
#[derive(Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// One instance is 10 times slower.
    Slow,
    /// One instance fails every request at once, and so appears idle.
    FailFast,
    /// One instance accepts requests and never answers.
    Stalled,
    /// A rolling restart, one instance per second, each cold at first.
    ColdStarts,
    /// Two instances always report that they are idle.
    Lying,
    /// Every report is half a second old when sent.
    StaleReports,
    /// Twice as many calls as all instances can serve.
    Overload,
}

impl Fault {
    /// Slowdown of instance `index` at `now`, or the outcome with which it fails; `Timeout`
    /// stands for an instance that never answers.
    pub fn factor(self, index: u32, now: Moment) -> Result<f64, OutcomeKind> {
        let restarted_at = ONSET + Duration::from_secs(index.into()) + DRAIN + DOWN;
        let is_faulty = index == 0 && now >= ONSET;
        match (self, self.phase(index, now)) {
            (Self::Slow, _) if is_faulty => Ok(10.0),
            (Self::FailFast, _) if is_faulty => Err(OutcomeKind::Error),
            (Self::Stalled, _) if is_faulty => Err(OutcomeKind::Timeout),
            (Self::ColdStarts, Phase::Gone) => Err(OutcomeKind::ConnectFailed),
            (Self::ColdStarts, _) if now >= restarted_at => {
                let cold = 1.0 - now.since(restarted_at).as_secs_f64();
                Ok(1.0 + (COLD_FACTOR - 1.0) * cold.max(0.0))
            }
            _ => Ok(1.0),
        }
    }

    /// Phase that instance `index` has announced by `now`.
    pub fn phase(self, index: u32, now: Moment) -> Phase {
        let since_announcement = now.since(ONSET + Duration::from_secs(index.into()));
        match self {
            Self::ColdStarts
                if since_announcement.is_zero() || since_announcement >= DRAIN + DOWN =>
            {
                Phase::Ready
            }
            Self::ColdStarts if since_announcement >= DRAIN => Phase::Gone,
            Self::ColdStarts => Phase::Draining,
            _ => Phase::Ready,
        }
    }
}
