//! What instances asked of this process, as a state machine without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use strum::IntoStaticStr;

/// Fraction of the requested time by which a backoff may last longer, so that the processes that
/// an instance has turned away at the same moment don't return at the same moment.
const SPREAD_FRACTION: f64 = 0.25;
/// Maximum time by which a backoff may last longer.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// What an instance says in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It takes nothing from this process for this long.
    Backoff(Duration),
    /// It is shutting down and takes nothing more.
    Leaving,
}

/// Why nothing may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Backoff {
    /// It takes nothing before this time.
    #[strum(serialize = "rest")]
    Until(Moment),
    /// It is shutting down.
    Leaving,
}

impl Backoff {
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

    /// The one of two backoffs that lasts longer.
    fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::Until(one), Self::Until(two)) => Self::Until(one.max(two)),
            _ => Self::Leaving,
        }
    }
}

/// The backoffs of all instances.
///
/// Invariant: the backoff of a run never becomes shorter, and that of one that leaves never ends.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    by_run: BTreeMap<InstanceRun, Backoff>,
}

impl Backoffs {
    /// Records what an instance asked for; `jitter` from 0 to 1 spreads the processes' returns.
    /// Returns the instance's backoff if it has changed.
    pub fn record(
        &mut self,
        now: Moment,
        run: &InstanceRun,
        notice: Notice,
        jitter: f64,
    ) -> Option<Backoff> {
        let requested = match notice {
            Notice::Backoff(delay) => {
                let spread = delay.mul_f64(SPREAD_FRACTION).min(MAX_SPREAD);
                Backoff::Until(now + delay + spread.mul_f64(jitter))
            }
            Notice::Leaving => Backoff::Leaving,
        };
        let before = self.by_run.get(run).copied();
        let backoff = before.map_or(requested, |before| before.longer(requested));
        if before == Some(backoff) {
            return None;
        }
        self.by_run.insert(run.clone(), backoff);
        Some(backoff)
    }

    /// The backoff of an instance; `None` if requests may be sent to it.
    #[must_use]
    pub fn get(&self, now: Moment, run: &InstanceRun) -> Option<Backoff> {
        let backoff = self.by_run.get(run).copied();
        backoff.filter(|backoff| !backoff.is_over(now))
    }

    /// The backoffs that aren't over.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = (&InstanceRun, Backoff)> {
        let backoffs = self.by_run.iter().map(|(run, backoff)| (run, *backoff));
        backoffs.filter(move |(_, backoff)| !backoff.is_over(now))
    }

    /// Removes backoffs that are over, and those of runs that aren't known any more.
    pub fn retain(&mut self, now: Moment, is_known: impl Fn(&InstanceRun) -> bool) {
        self.by_run
            .retain(|run, backoff| !backoff.is_over(now) && is_known(run));
    }

    /// Number of stored backoffs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_run.len()
    }

    /// Whether no backoff is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }
}
