//! Instances that are cold, where the processes share what these take.

use base::prelude::*;

use crate::instance::Pick;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::Share;

impl ProbingChooser {
    /// Takes by which list of processes cold instances are shared; none where they aren't.
    pub fn share_cold(&mut self, cold_sharing: Option<u64>) {
        self.cold_sharing = cold_sharing;
    }

    /// Cold instances of which this process's share by that list isn't known yet.
    #[must_use]
    pub fn cold_without_share(&self, now: Moment) -> Vec<Pick> {
        let Some(list_version) = self.cold_sharing else {
            return Vec::new();
        };
        let open = |entry: &Entry| {
            entry.is_ready() && entry.is_cold(now) && entry.share.list_version != list_version
        };
        let entries = 0..self.entries.len();
        let found = entries.filter(|index| open(&self.entries[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// Takes how many requests this process may start there in a second.
    pub fn set_share(&mut self, pick: Pick, starts: u32) {
        let Some(list_version) = self.cold_sharing else {
            return;
        };
        if let Some(entry) = self.entry(pick) {
            entry.share = Share {
                list_version,
                starts,
            };
        }
    }

    /// Whether a request may be sent there: anywhere that is warm, and to one that is cold
    /// while this process has a part of its share left.
    pub(super) fn may_send(&self, now: Moment, entry: &Entry) -> bool {
        match self.cold_sharing {
            Some(list_version) if entry.is_cold(now) => entry.has_share(now, list_version),
            _ => true,
        }
    }
}
