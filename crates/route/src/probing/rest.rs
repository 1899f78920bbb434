//! Instances that asked this process to send them nothing, for a time or as they shut down.

use base::prelude::*;

use crate::instance::Phase;
use crate::instance::Pick;
use crate::outcome::OutcomeKind;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::Presence;

impl Entry {
    /// Whether the instance takes nothing from this process now.
    pub(super) fn is_resting(&self, now: Moment) -> bool {
        self.rest_end.is_some_and(|end| now < end)
    }

    /// Whether its rest, if there was one, allows a request now. After a rest, only one request is
    /// in flight until the instance has taken it.
    pub(super) fn is_rested(&self, now: Moment) -> bool {
        let is_returning = self.rest_end.is_some() && !self.starts.is_empty();
        !self.is_resting(now) && !is_returning
    }

    /// Records the end of an attempt: one that the instance took ends its return from a rest.
    pub(super) fn record_taken(&mut self, now: Moment, kind: OutcomeKind) {
        let is_taken = !matches!(kind, OutcomeKind::Shed | OutcomeKind::ConnectFailed);
        if is_taken && !self.is_resting(now) {
            self.rest_end = None;
        }
    }
}

impl ProbingChooser {
    /// Sends the instance nothing before `end`.
    pub fn set_rest(&mut self, pick: Pick, end: Moment) {
        if let Some(entry) = self.entry(pick) {
            entry.rest_end = entry.rest_end.max(Some(end));
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
    pub fn is_resting(&self, now: Moment, pick: Pick) -> bool {
        let entry = self.entries.get(pick.index as usize);
        entry.is_some_and(|entry| entry.generation == pick.generation && entry.is_resting(now))
    }

    /// The instances that asked this process to send them nothing now, though they have announced
    /// that they are ready.
    #[must_use]
    pub fn held(&self, now: Moment) -> Vec<Pick> {
        let is_held = |entry: &Entry| {
            let is_leaving = entry.presence == Presence::Leaving;
            entry.instance.phase == Phase::Ready && (is_leaving || entry.is_resting(now))
        };
        let indexes = 0..self.entries.len();
        let found = indexes.filter(|index| is_held(&self.entries[*index]));
        found.map(|index| self.pick(index)).collect()
    }

    /// When the first rest ends, if all ready instances are resting.
    #[must_use]
    pub fn first_rest_end(&self, now: Moment) -> Option<Moment> {
        let ready = self.entries.iter().filter(|entry| entry.is_ready());
        let ends = ready.map(|entry| entry.rest_end.filter(|_| entry.is_resting(now)));
        ends.collect::<Option<Vec<Moment>>>()?.into_iter().min()
    }
}
