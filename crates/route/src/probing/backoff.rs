//! Instances that asked this process to send them nothing, for a time or as they shut down.

use base::prelude::*;

use crate::instance::Phase;
use crate::instance::Pick;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::Presence;

impl ProbingChooser {
    /// Sends the instance nothing before `end`.
    pub fn set_backoff(&mut self, pick: Pick, end: Moment) {
        if let Some(entry) = self.entry(pick) {
            entry.backoff.extend(end);
        }
    }

    /// Sends the instance nothing more, as it is shutting down.
    pub fn set_leaving(&mut self, pick: Pick) {
        if let Some(entry) = self.entry(pick) {
            entry.presence = Presence::Leaving;
            self.choose_subset();
        }
    }

    /// Whether the instance takes nothing from this process now.
    #[must_use]
    pub fn is_backed_off(&self, now: Moment, pick: Pick) -> bool {
        let entry = self.entries.get(pick.index as usize);
        entry.is_some_and(|entry| entry.generation == pick.generation && entry.backoff.is_on(now))
    }

    /// The instances that asked this process to send them nothing now, though they have announced
    /// that they are ready.
    #[must_use]
    pub fn backed_off(&self, now: Moment) -> Vec<Pick> {
        let is_backed_off_now = |entry: &Entry| {
            let is_leaving = entry.presence == Presence::Leaving;
            entry.instance.phase == Phase::Ready && (is_leaving || entry.backoff.is_on(now))
        };
        let indexes = 0..self.entries.len();
        let found = indexes.filter(|index| is_backed_off_now(&self.entries[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// When the first backoff ends, if all ready instances are backed off.
    #[must_use]
    pub fn first_backoff_end(&self, now: Moment) -> Option<Moment> {
        let ready = self.entries.iter().filter(|entry| entry.is_ready());
        let ends = ready.map(|entry| entry.backoff.end(now));
        ends.collect::<Option<Vec<Moment>>>()?.into_iter().min()
    }
}
