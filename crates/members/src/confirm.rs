//! How current the catalogue is: the version a quorum confirmed, and when.
//!
//! A confirmation says: `version` was the latest accepted at `moment` or later.
//! The moment is on the receiver's own clock and is when the request was sent,
//! less the age that an answering peer stated, so it errs only towards older,
//! however long a message was on its way and however clocks differ.

use std::time::Duration;

use base::prelude::*;

/// A confirmed version with its moment; a later one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Confirmed {
    /// Catalogue version.
    pub version: u64,
    /// It was the latest then or later.
    pub moment: Moment,
}

/// What this process may say of its catalogue.
///
/// Invariant: the version never goes back. Taking the greatest of (version,
/// moment) is commutative, associative and idempotent.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    start: Moment,
    lease: Duration,
    best: Option<Confirmed>,
}

impl Standing {
    /// Nothing confirmed yet; the process started at `start`.
    #[must_use]
    pub fn new(start: Moment, lease: Duration) -> Self {
        Self {
            start,
            lease,
            best: None,
        }
    }

    /// Takes a confirmation; returns whether the version rose.
    ///
    /// One from before the start is ignored: a version accepted between it and
    /// the start may have been in force here.
    pub fn merge(&mut self, found: Confirmed) -> bool {
        if self.is_early(found) {
            return false;
        }
        let rose = self.best.is_none_or(|b| found.version > b.version);
        self.best = self.best.max(Some(found));
        rose
    }

    /// Whether the confirmation may be from before the process's start.
    #[must_use]
    pub fn is_early(&self, found: Confirmed) -> bool {
        found.moment < self.start
    }

    /// The best confirmation.
    #[must_use]
    pub fn best(&self) -> Option<Confirmed> {
        self.best
    }

    /// Time since the best confirmation's moment.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.best.map(|b| now.since(b.moment))
    }

    /// Whether the version was confirmed within the lease; otherwise the process is fenced.
    #[must_use]
    pub fn is_current(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= self.lease)
    }
}
