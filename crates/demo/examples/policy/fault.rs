//! The faults of the table's columns.

use std::time::Duration;

use base::prelude::Moment;
use route::Phase;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// When a fault begins: after the warm-up, so that its onset is measured too.
pub const ONSET: Moment = Moment::from_millis(1500);
/// How far behind a stale report is.
pub const STALENESS: Duration = Duration::from_millis(500);
/// How late the gateways learn what an instance announced.
const NEWS: Duration = Duration::from_millis(300);
/// One restart each, in turn.
const RESTART_EVERY: Duration = Duration::from_secs(1);
/// From the announcement to the end.
const DRAIN: Duration = Duration::from_millis(500);
/// From the end to the new process's announcement.
const DOWN: Duration = Duration::from_millis(200);
/// How long a new process is cold.
const COLD: Duration = Duration::from_secs(1);
/// How much slower it is at first.
const COLD_FACTOR: f64 = 8.0;

/// One column of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
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
    /// A rolling restart, each instance cold at first.
    ColdStarts,
    /// Two instances always say that they are idle.
    Lying,
    /// Every report is half a second old when it is sent.
    StaleReports,
    /// Twice as many calls as all can serve.
    Overload,
}

/// What an instance does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Serves it, slower by a factor.
    Serve(f64),
    /// Answers with a failure at once.
    Fail,
    /// Never answers.
    Stall,
    /// Takes no connection.
    Down,
}

impl Fault {
    /// Calls offered, as a share of what all instances can serve.
    pub fn load(self) -> f64 {
        if self == Self::Overload { 2.0 } else { 0.7 }
    }

    /// What instance `index` does at `now`.
    pub fn mode(self, index: u32, now: Moment) -> Mode {
        let hit = index == 0 && now >= ONSET;
        match self {
            Self::Slow if hit => Mode::Serve(10.0),
            Self::FailFast if hit => Mode::Fail,
            Self::Stalled if hit => Mode::Stall,
            Self::ColdStarts => restart_mode(index, now),
            _ => Mode::Serve(1.0),
        }
    }

    /// What the gateways know of instance `index` at `now`.
    pub fn phase(self, index: u32, now: Moment) -> Phase {
        if self != Self::ColdStarts || now < restart(index) + NEWS {
            return Phase::Ready;
        }
        let since = now.since(restart(index) + NEWS);
        if since < DRAIN {
            Phase::Draining
        } else if since < DRAIN + DOWN {
            Phase::Gone
        } else {
            Phase::Ready
        }
    }

    /// Whether instance `index` always says that it is idle.
    pub fn lies(self, index: u32) -> bool {
        self == Self::Lying && index < 2
    }

    /// How old a report is when it is sent.
    pub fn staleness(self) -> Duration {
        if self == Self::StaleReports {
            STALENESS
        } else {
            Duration::ZERO
        }
    }
}

fn restart(index: u32) -> Moment {
    ONSET + RESTART_EVERY * index
}

fn restart_mode(index: u32, now: Moment) -> Mode {
    let end = restart(index) + DRAIN;
    let back = end + DOWN;
    if now < end {
        Mode::Serve(1.0)
    } else if now < back {
        Mode::Down
    } else {
        let left = 1.0 - now.since(back).as_secs_f64() / COLD.as_secs_f64();
        Mode::Serve(1.0 + (COLD_FACTOR - 1.0) * left.max(0.0))
    }
}
