//! Rebuilds the log from its batches.

use std::collections::VecDeque;

use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;

use crate::error::Damage;

/// The log as far as it was read.
///
/// Invariant: the entries follow each other without a gap, from after `floor`
/// or above.
#[derive(Debug, Default)]
pub struct Replay {
    /// The newest hard state.
    pub state: HardState,
    /// Entries that are not void.
    pub entries: VecDeque<Entry>,
    /// Entries up to here were known to be committed.
    pub commit: u64,
    floor: u64,
}

impl Replay {
    /// Starts with a snapshot up to `floor`, 0 without one.
    #[must_use]
    pub fn new(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Takes the next batch.
    ///
    /// # Errors
    ///
    /// Fails on a gap that no snapshot covers.
    pub fn take(&mut self, batch: Batch) -> Result<(), Damage> {
        if let Some(state) = batch.state {
            self.state = state;
        }
        if batch.truncate > 0 {
            self.truncate(batch.truncate);
        }
        self.commit = self.commit.max(batch.commit);
        batch.entries.into_iter().try_for_each(|e| self.push(e))
    }

    /// Ends with the entries after a snapshot of the given term.
    ///
    /// Entries after the snapshot are void when the log held another entry at
    /// its index: the snapshot came from a leader that had overruled them.
    #[must_use]
    pub fn finish(mut self, term: u64) -> (HardState, Vec<Entry>) {
        let overruled = self
            .entries
            .iter()
            .any(|e| e.index == self.floor && e.term != term);
        if overruled {
            self.entries.clear();
        }
        let floor = self.floor;
        self.entries.retain(|e| e.index > floor);
        (self.state, self.entries.into())
    }

    fn push(&mut self, entry: Entry) -> Result<(), Damage> {
        self.truncate(entry.index);
        let expected = self.entries.back().map(|last| last.index + 1);
        match expected {
            Some(next) if next == entry.index => {}
            // A snapshot from a leader replaced everything before this entry.
            _ if entry.index <= self.floor + 1 => self.entries.clear(),
            _ => return Err(Damage::Gap),
        }
        self.entries.push_back(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        while self.entries.back().is_some_and(|e| e.index >= from) {
            self.entries.pop_back();
        }
    }
}
