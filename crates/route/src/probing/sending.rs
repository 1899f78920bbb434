//! Whether and when a request may be sent to an instance.

use std::time::Duration;

use base::prelude::*;

use crate::cost::Need;

use super::Decision;
use super::ProbingChooser;
use super::entry::Entry;

impl ProbingChooser {
    /// Whether a request may be sent to the instance: it isn't backed off, and this process's
    /// share of it is not used up, if it is cold or has a limit.
    pub(super) fn may_send(&self, now: Moment, entry: &Entry) -> bool {
        if !entry.is_within_limit(now) || !entry.backoff.allows(now, entry.starts.len()) {
            return false;
        }
        match self.cold_sharing {
            Some(list_revision) if entry.is_cold(now) => entry.has_share(now, list_revision),
            _ => true,
        }
    }

    /// The decision where no ready instance may receive a request now: wait if a backoff or a limit
    /// allows one in time, or if an instance is blocked for another reason.
    pub(super) fn decide_blocked(&self, now: Moment, need: &Need, ready: &[usize]) -> Decision {
        let starts = ready
            .iter()
            .filter_map(|index| self.entries[*index].next_start(now));
        let wait = starts.min().map_or(Duration::MAX, |at| at.since(now));
        if wait > need.aim.saturating_sub(need.work) {
            Decision::Full
        } else {
            Decision::Wait
        }
    }
}

impl Entry {
    /// When its backoff and its limit allow this process's next request; `None` if never.
    fn next_start(&self, now: Moment) -> Option<Moment> {
        let limited = match &self.limit {
            Some(limit) => limit.next_start()?,
            None => now,
        };
        Some(limited.max(self.backoff.end(now).unwrap_or(now)))
    }
}
