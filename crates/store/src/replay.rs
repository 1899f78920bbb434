//! Rebuilds the log from its stored batches.

use std::collections::VecDeque;

use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;

use crate::error::Damage;

/// The log rebuilt from the batches applied so far.
///
/// Invariant: the entries are consecutive.
#[derive(Debug, Default)]
pub struct Replay {
    /// The newest hard state.
    pub state: HardState,
    /// Whether a batch had a hard state.
    pub has_state: bool,
    /// The entries that were not truncated or superseded.
    pub entries: VecDeque<Entry>,
    /// The stored commit index.
    pub commit: u64,
    snapshot_index: u64,
}

/// What the log's batches led to.
#[derive(Debug)]
pub struct Log {
    /// The newest hard state.
    pub state: HardState,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Whether the snapshot supersedes entries that are still stored.
    pub is_superseded: bool,
}

impl Replay {
    /// Starts from a snapshot up to `snapshot_index`, or 0 without one.
    #[must_use]
    pub fn new(snapshot_index: u64) -> Self {
        Self {
            snapshot_index,
            ..Self::default()
        }
    }

    /// Applies the next batch.
    ///
    /// # Errors
    ///
    /// Fails on a gap that the snapshot doesn't cover.
    pub fn apply(&mut self, batch: Batch) -> Result<(), Damage> {
        if let Some(state) = batch.state {
            self.state = state;
            self.has_state = true;
        }
        if batch.truncate > 0 {
            self.truncate(batch.truncate);
        }
        self.commit = self.commit.max(batch.commit);
        batch.entries.into_iter().try_for_each(|e| self.push(e))
    }

    /// Returns the log after the snapshot, whose last entry has `term`.
    ///
    /// Entries that have another term at the snapshot's index, or a lower one after it, belong to
    /// another history than a snapshot that came from a leader, which supersedes all of them.
    #[must_use]
    pub fn finish(mut self, term: u64) -> Log {
        let snapshot_index = self.snapshot_index;
        let is_superseded = self.entries.iter().any(|e| {
            (e.index == snapshot_index && e.term != term)
                || (e.index > snapshot_index && e.term < term)
        });
        if is_superseded {
            self.entries.clear();
        }
        self.entries.retain(|e| e.index > snapshot_index);
        Log {
            state: self.state,
            entries: self.entries.into(),
            is_superseded,
        }
    }

    fn push(&mut self, entry: Entry) -> Result<(), Damage> {
        self.truncate(entry.index);
        let expected = self.entries.back().map(|last| last.index + 1);
        match expected {
            Some(next) if next == entry.index => {}
            // A snapshot received from a leader replaced all entries before this one.
            _ if entry.index <= self.snapshot_index + 1 => self.entries.clear(),
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
