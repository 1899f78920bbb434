//! Instances that are cold, where the processes share what these take.

use base::prelude::*;

use crate::instance::Pick;

use super::ProbingChooser;
use super::row::Row;
use super::row::Share;

impl ProbingChooser {
    /// Takes by which list of processes cold instances are shared; none where they aren't.
    pub fn share_cold(&mut self, sharing: Option<u64>) {
        self.sharing = sharing;
    }

    /// Cold instances of which this process's share by that list isn't known yet.
    #[must_use]
    pub fn cold_without_share(&self, now: Moment) -> Vec<Pick> {
        let Some(mark) = self.sharing else {
            return Vec::new();
        };
        let open = |row: &Row| row.is_ready() && row.is_cold(now) && row.share.mark != mark;
        let rows = 0..self.rows.len();
        let found = rows.filter(|index| open(&self.rows[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// Takes how many requests this process may start there in a second.
    pub fn set_share(&mut self, pick: Pick, starts: u32) {
        let Some(mark) = self.sharing else {
            return;
        };
        if let Some(row) = self.row(pick) {
            row.share = Share { mark, starts };
        }
    }

    /// Whether a request may be sent there: anywhere that is warm, and to one that is cold
    /// while this process has a part of its share left.
    pub(super) fn may_send(&self, now: Moment, row: &Row) -> bool {
        match self.sharing {
            Some(mark) if row.is_cold(now) => row.has_share(now, mark),
            _ => true,
        }
    }
}
