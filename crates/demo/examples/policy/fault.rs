//! The faults of the table's columns.

use std::time::Duration;

use base::prelude::Moment;
use route::OutcomeKind;
use route::Phase;
use strum::Display;
use strum::EnumIter;

/// When a fault begins: after the warm-up, so that its onset is measured too.
const ONSET: Moment = Moment::from_millis(1500);
/// From a restart's announcement to the old process's end.
const DRAIN: Duration = Duration::from_millis(500);
/// From there to the new process's announcement.
const DOWN: Duration = Duration::from_millis(200);
/// How much slower a new process is at first; that fades in a second.
const COLD_FACTOR: f64 = 8.0;

/// One column of the table.
#[derive(Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// None.
    None,
    /// One instance is slow 10 times.
    Slow,
    /// One instance fails at once, and so looks idle.
    FailFast,
    /// One instance takes requests and never answers.
    Stalled,
    /// A rolling restart, one a second, each instance cold at first.
    ColdStarts,
    /// Two instances always say that they are idle.
    Lying,
    /// Every report is half a second old when it is sent.
    StaleReports,
    /// Twice as many calls as all can serve.
    Overload,
}

impl Fault {
    /// How much slower instance `index` works at `now`, or how it fails; one that
    /// never answers has a timeout.
    pub fn factor(self, index: u32, now: Moment) -> Result<f64, OutcomeKind> {
        let back = ONSET + Duration::from_secs(index.into()) + DRAIN + DOWN;
        let hit = index == 0 && now >= ONSET;
        match (self, self.phase(index, now)) {
            (Self::Slow, _) if hit => Ok(10.0),
            (Self::FailFast, _) if hit => Err(OutcomeKind::Error),
            (Self::Stalled, _) if hit => Err(OutcomeKind::Timeout),
            (Self::ColdStarts, Phase::Gone) => Err(OutcomeKind::ConnectFailed),
            (Self::ColdStarts, _) if now >= back => {
                let cold = 1.0 - now.since(back).as_secs_f64();
                Ok(1.0 + (COLD_FACTOR - 1.0) * cold.max(0.0))
            }
            _ => Ok(1.0),
        }
    }

    /// What instance `index` announced before `now`.
    pub fn phase(self, index: u32, now: Moment) -> Phase {
        let since = now.since(ONSET + Duration::from_secs(index.into()));
        match self {
            Self::ColdStarts if since.is_zero() || since >= DRAIN + DOWN => Phase::Ready,
            Self::ColdStarts if since >= DRAIN => Phase::Gone,
            Self::ColdStarts => Phase::Draining,
            _ => Phase::Ready,
        }
    }
}
