//! The crashes and the refusal of one request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;

use super::Crash;
use super::INITIAL_REFUSAL;
use super::MAX_REFUSAL;
use super::MIN_SUSPECT_CRASHES;
use super::REFUSAL_GROWTH;
use super::WINDOW;

// The crashes and the refusal of one request, or of the same request of all senders.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    // The runs that crashed, each with the senders of the request.
    pub(super) runs: BTreeMap<InstanceRun, BTreeSet<u64>>,
    pub(super) last_crash: Moment,
    // Number of refusals so far.
    pub(super) refusals: u32,
    pub(super) first_refusal: Option<Moment>,
    pub(super) refused_until: Moment,
}

impl Record {
    pub(super) fn is_refused(&self, now: Moment) -> bool {
        now < self.refused_until
    }

    pub(super) fn is_reported(&self, now: Moment) -> bool {
        self.is_refused(now) || self.runs.len() >= MIN_SUSPECT_CRASHES
    }

    pub(super) fn is_retained(&self, now: Moment) -> bool {
        now.since(self.last_crash.max(self.refused_until)) < WINDOW
    }

    // Adds a crash. Returns false if it was known.
    pub(super) fn add_crash(&mut self, crash: &Crash) -> bool {
        self.last_crash = self.last_crash.max(crash.at);
        let senders = self.runs.entry(crash.run.clone()).or_default();
        senders.insert(crash.request.sender)
    }

    // Refuses the request because of a crash at `crashed_at`.
    pub(super) fn refuse(&mut self, now: Moment, crashed_at: Moment) -> Duration {
        let duration = INITIAL_REFUSAL.saturating_mul(REFUSAL_GROWTH.saturating_pow(self.refusals));
        let duration = duration.min(MAX_REFUSAL);
        self.refusals += 1;
        self.first_refusal.get_or_insert(crashed_at);
        self.refused_until = now + duration;
        duration
    }
}
