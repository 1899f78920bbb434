//! Instances that lose requests: they never answer what they can't queue.

use std::time::Duration;

use base::prelude::*;

use crate::cost::Evidence;
use crate::cost::Need;
use crate::instance::Pick;

use super::MAX_KNOWN_AGE;
use super::ProbingChooser;
use super::entry::Entry;

/// How long an instance counts as full after it has lost a request. Its queue empties by several
/// requests meanwhile.
const FULL_TIME: Duration = Duration::from_millis(300);
/// The time doubles with each further loss without a response in between, up to 9.6 s, so that an
/// instance that loses everything receives little although its reports show free slots.
const MAX_DOUBLINGS: u32 = 5;

/// Requests that an instance has lost since its last response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Loss {
    count: u32,
    full_until: Moment,
}

impl Loss {
    pub(super) fn record_loss(&mut self, now: Moment) {
        let doublings = self.count.min(MAX_DOUBLINGS);
        self.count = self.count.saturating_add(1);
        self.full_until = now + FULL_TIME * 2_u32.pow(doublings);
    }

    pub(super) fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Whether the instance counts as full.
    pub(super) fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }
}

impl ProbingChooser {
    /// Whether the instance may lose requests: it lost the last one, doesn't answer probes, or is
    /// ejected.
    #[must_use]
    pub fn is_suspected(&self, pick: Pick) -> bool {
        let entry = self.entries.get(pick.index as usize);
        entry.is_some_and(|entry| {
            let is_suspected = entry.loss.count > 0 || entry.last_probe_failed;
            entry.generation == pick.generation && (is_suspected || !entry.health.takes_traffic())
        })
    }

    /// Whether the service's reports count requests. Reports that never do prove nothing of a
    /// single request.
    #[must_use]
    pub fn reports_count_requests(&self) -> bool {
        self.averages.counts_requests
    }

    /// Counts a probe that is sent to the instance outside of a choice. Returns false if it has
    /// been removed.
    pub fn begin_probe(&mut self, pick: Pick) -> bool {
        let entry = self.entry(pick);
        entry.map(|entry| entry.probes_in_flight += 1).is_some()
    }

    /// Whether the instance has a slot free by a young report.
    pub(super) fn has_known_room(&self, now: Moment, need: &Need, index: usize) -> bool {
        let entry = &self.entries[index];
        entry.has_young_report(now) && entry.has_room(now, self.averages, need.max_occupancy)
    }

    /// Whether what is known of the instance suffices to send the request there.
    pub(super) fn has_evidence(&self, now: Moment, need: &Need, index: usize) -> bool {
        need.evidence == Evidence::Any
            || self.has_known_room(now, need, index)
            || self.may_send_blind(now, need.evidence, index)
    }

    /// Whether an instance that could take the request counts as full because of a loss.
    pub(super) fn is_any_full(&self, now: Moment, exclude: &[Pick]) -> bool {
        (0..self.entries.len()).any(|index| {
            self.entries[index].loss.is_full(now) && self.would_be_usable(now, index, exclude)
        })
    }

    /// An ejected instance that is due for a trial request and needs a young report for it.
    pub(super) fn unconfirmed_trial(
        &self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
    ) -> Option<Pick> {
        if need.evidence != Evidence::Report {
            return None;
        }
        let index = self.due_trial(now, exclude)?;
        let entry = &self.entries[index];
        let is_idle = entry.probes_in_flight == 0 && !entry.has_young_report(now);
        is_idle.then(|| self.pick(index))
    }
}

impl Entry {
    /// Whether its latest report says enough about its free slots.
    pub(super) fn has_young_report(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < MAX_KNOWN_AGE)
    }
}
