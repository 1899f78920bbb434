//! Freshness of the catalogue: the version that a quorum confirmed, and when.
//!
//! A confirmation states that `version` was the latest accepted one at `moment` or later.
//! The moment is on the receiver's clock: the time at which the request was sent, less the
//! age that the answering peer reported. Message delay and clock differences can therefore
//! only make a confirmation look older than it is, never newer.

use std::time::Duration;

use base::prelude::*;

/// A confirmed version and its moment, ordered by version, then moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Confirmed {
    /// Catalogue version.
    pub version: u64,
    /// The version was the latest one at this moment or later.
    pub moment: Moment,
}

/// The confirmed catalogue version of this process and the age of its confirmation.
///
/// Invariant: the version never decreases. Merging takes the maximum of (version, moment),
/// which is commutative, associative and idempotent.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    start: Moment,
    lease: Duration,
    latest: Option<Confirmed>,
}

impl Freshness {
    /// Creates a state without a confirmation for a process that started at `start`.
    #[must_use]
    pub fn new(start: Moment, lease: Duration) -> Self {
        Self {
            start,
            lease,
            latest: None,
        }
    }

    /// Merges a confirmation; returns whether the version increased.
    ///
    /// Confirmations from before the start are ignored: a version accepted between them and the
    /// start may already have been in force here.
    pub fn merge(&mut self, confirmation: Confirmed) -> bool {
        if self.predates_start(confirmation) {
            return false;
        }
        let increased = self.latest.is_none_or(|b| confirmation.version > b.version);
        self.latest = self.latest.max(Some(confirmation));
        increased
    }

    /// Whether the confirmation may be from before the start of the process.
    #[must_use]
    pub fn predates_start(&self, confirmation: Confirmed) -> bool {
        confirmation.moment < self.start
    }

    /// The confirmation with the greatest (version, moment).
    #[must_use]
    pub fn latest(&self) -> Option<Confirmed> {
        self.latest
    }

    /// Time since the moment of the latest confirmation.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest.map(|b| now.since(b.moment))
    }

    /// Whether the version was confirmed within the lease; otherwise the process is fenced.
    #[must_use]
    pub fn is_current(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= self.lease)
    }
}
