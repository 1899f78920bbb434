//! Limits on requests to cold instances, which the processes share.

use base::prelude::*;

use crate::instance::Pick;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::Share;

impl ProbingChooser {
    /// Sets the revision of the process list by which cold instances are shared; `None` if they
    /// aren't.
    pub fn share_cold(&mut self, list_revision: Option<u64>) {
        self.cold_sharing = list_revision;
    }

    /// Cold instances for which this process's share by the current list isn't set yet.
    #[must_use]
    pub fn cold_without_share(&self, now: Moment) -> Vec<Pick> {
        let Some(list_revision) = self.cold_sharing else {
            return Vec::new();
        };
        let lacks_share = |entry: &Entry| {
            entry.is_ready() && entry.is_cold(now) && entry.share.list_revision != list_revision
        };
        let indexes = 0..self.entries.len();
        let found = indexes.filter(|index| lacks_share(&self.entries[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// Sets how many requests this process may start at the instance per second.
    pub fn set_share(&mut self, pick: Pick, starts: u32) {
        let Some(list_revision) = self.cold_sharing else {
            return;
        };
        if let Some(entry) = self.entry(pick) {
            entry.share = Share {
                list_revision,
                starts,
            };
        }
    }
}
