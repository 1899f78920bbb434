//! What instances asked of this process, as a state machine without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use strum::IntoStaticStr;

/// Fraction of the requested time by which a hold may last longer, so that the processes that
/// an instance has turned away at the same moment don't return at the same moment.
const SPREAD_FRACTION: f64 = 0.25;
/// Maximum time by which a hold may last longer.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// What an instance says in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It takes nothing from this process for this long.
    Rest(Duration),
    /// It is shutting down and takes nothing more.
    Leaving,
}

/// Why nothing may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Hold {
    /// It takes nothing before this time.
    #[strum(serialize = "rest")]
    Until(Moment),
    /// It is shutting down.
    Leaving,
}

impl Hold {
    /// The time that it lasts from now on; `None` if it has no end.
    #[must_use]
    pub fn remaining(self, now: Moment) -> Option<Duration> {
        match self {
            Self::Until(end) => Some(end.since(now)),
            Self::Leaving => None,
        }
    }

    fn is_over(self, now: Moment) -> bool {
        matches!(self, Self::Until(end) if end <= now)
    }

    /// The one of two holds that lasts longer.
    fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::Until(one), Self::Until(two)) => Self::Until(one.max(two)),
            _ => Self::Leaving,
        }
    }
}

/// The holds of all instances.
///
/// Invariant: the hold of a run never becomes shorter, and that of one that leaves never ends.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_run: BTreeMap<InstanceRun, Hold>,
}

impl Holds {
    /// Records what an instance asked for; `jitter` from 0 to 1 spreads the processes' returns.
    /// Returns the instance's hold if it has changed.
    pub fn record(
        &mut self,
        now: Moment,
        run: &InstanceRun,
        notice: Notice,
        jitter: f64,
    ) -> Option<Hold> {
        let requested = match notice {
            Notice::Rest(rest) => {
                let spread = rest.mul_f64(SPREAD_FRACTION).min(MAX_SPREAD);
                Hold::Until(now + rest + spread.mul_f64(jitter))
            }
            Notice::Leaving => Hold::Leaving,
        };
        let before = self.by_run.get(run).copied();
        let hold = before.map_or(requested, |before| before.longer(requested));
        if before == Some(hold) {
            return None;
        }
        self.by_run.insert(run.clone(), hold);
        Some(hold)
    }

    /// The hold of an instance; `None` if requests may be sent to it.
    #[must_use]
    pub fn get(&self, now: Moment, run: &InstanceRun) -> Option<Hold> {
        let hold = self.by_run.get(run).copied();
        hold.filter(|hold| !hold.is_over(now))
    }

    /// The holds that aren't over.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = (&InstanceRun, Hold)> {
        let holds = self.by_run.iter().map(|(run, hold)| (run, *hold));
        holds.filter(move |(_, hold)| !hold.is_over(now))
    }

    /// Removes holds that are over, and those of runs that aren't known any more.
    pub fn retain(&mut self, now: Moment, is_known: impl Fn(&InstanceRun) -> bool) {
        self.by_run
            .retain(|run, hold| !hold.is_over(now) && is_known(run));
    }

    /// Number of stored holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_run.len()
    }

    /// Whether no hold is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }
}
