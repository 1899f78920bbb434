//! Whether the table of a process is known to be the newest.
//!
//! Hubs tell which version was the newest at which time, confirmed by a majority. A process that
//! is cut off from the majority gets no such news, and can't know whether keys were removed.

use std::time::Duration;

use base::prelude::*;

/// When the table in force was last known to be the newest.
///
/// Invariant: `ahead` has a version newer than `version`, and `confirmed_at` is `None` while no
/// table is in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    /// The version in force, if there is one.
    version: Option<u64>,
    confirmed_at: Option<Moment>,
    /// The last confirmation of a version that is not in force yet.
    ahead: Option<(u64, Moment)>,
}

impl Confirmation {
    /// Records that `version` is in force.
    pub fn put_in_force(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
        if let Some((_, at)) = self.ahead.take_if(|(ahead, _)| *ahead <= version) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that `version` was the newest at `at`.
    pub fn record(&mut self, version: u64, at: Moment) {
        if Some(version) <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else if self.ahead.is_none_or(|(_, known)| known < at) {
            self.ahead = Some((version, at));
        }
    }

    /// Time since the table in force was last known to be the newest; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether that time is at most `limit`.
    #[must_use]
    pub fn is_within(&self, now: Moment, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
