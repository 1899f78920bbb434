//! A simulated disk: a write is synced later, or a crash keeps a prefix of it.

use consensus::Entry;
use consensus::Index;
use consensus::Stored;
use consensus::Term;
use consensus::Write;

/// The synced state and the write in flight.
pub struct Disk {
    /// The synced state.
    pub stored: Stored,
    /// The write in flight.
    pub pending: Option<Write>,
}

impl Disk {
    pub fn new(stored: Stored) -> Self {
        Self {
            stored,
            pending: None,
        }
    }

    /// Syncs the pending write.
    pub fn sync(&mut self) -> Option<Write> {
        let write = self.pending.take()?;
        self.store_parts(&write, usize::MAX);
        Some(write)
    }

    /// Crashes: the first `parts` of the pending write are stored, the rest is lost.
    pub fn crash(&mut self, parts: usize) {
        if let Some(write) = self.pending.take() {
            self.store_parts(&write, parts);
        }
    }

    fn store_parts(&mut self, write: &Write, parts: usize) {
        if parts > 0 {
            self.stored.hard_state = write.hard_state.unwrap_or(self.stored.hard_state);
        }
        if parts > 1
            && let Some(snapshot) = &write.snapshot
        {
            self.stored.snapshot = snapshot.clone();
        }
        if parts > 2
            && let Some(index) = write.truncate
        {
            self.stored.entries.retain(|e| e.index < index);
        }
        let entries = write.entries.iter().take(parts.saturating_sub(3));
        self.stored.entries.extend(entries.cloned());
        if parts > 3 + write.entries.len() {
            self.stored.commit = self.stored.commit.max(write.commit);
        }
    }

    /// The term of a synced entry; `None` before the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        let base = self.stored.snapshot.position;
        if base.index == index {
            return Some(base.term);
        }
        let entry = |e: &&Entry| e.index == index;
        self.stored.entries.iter().rev().find(entry).map(|e| e.term)
    }

    /// Whether everything up to `index` is synced.
    pub fn has_synced(&self, index: Index) -> bool {
        index <= self.stored.snapshot.position.index || self.term(index).is_some()
    }
}
