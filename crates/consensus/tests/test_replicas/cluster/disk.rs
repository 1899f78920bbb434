//! A disk on plain values: a write is synced later, or a crash keeps a part of it.

use consensus::Entry;
use consensus::Index;
use consensus::Stored;
use consensus::Term;
use consensus::Write;

/// What is synced, and the write on its way.
pub struct Disk {
    /// What a restart finds.
    pub stored: Stored,
    /// Not synced yet.
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
        self.keep(&write, usize::MAX);
        Some(write)
    }

    /// A crash: `parts` of the pending write reached the disk, the rest is lost.
    pub fn crash(&mut self, parts: usize) {
        if let Some(write) = self.pending.take() {
            self.keep(&write, parts);
        }
    }

    fn keep(&mut self, write: &Write, parts: usize) {
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

    /// The term of a synced entry, none before the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        let base = self.stored.snapshot.position;
        if base.index == index {
            return Some(base.term);
        }
        let entry = |e: &&Entry| e.index == index;
        self.stored.entries.iter().rev().find(entry).map(|e| e.term)
    }

    /// Whether everything up to `index` is synced.
    pub fn holds(&self, index: Index) -> bool {
        index <= self.stored.snapshot.position.index || self.term(index).is_some()
    }
}
