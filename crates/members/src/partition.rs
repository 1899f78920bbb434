//! A table of records, numbered by a cursor, with a bounded log of removals.
//!
//! Copies are updated by a [`Delta`]: the changes after a cursor, or the whole table when
//! the log no longer reaches back to that cursor.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::record::Key;
use crate::record::Record;

/// Maximum length of the removal log; a copy that missed more gets the whole table.
pub const MAX_REMOVALS: usize = 1024;

const EPOCH_MASK: u64 = 0xFFFF;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: Record,
    cursor: u64,
}

/// The records of one home, or the merged view of one directory.
///
/// Invariant: (`epoch`, `cursor`) never decreases, and all copies at the same position
/// contain the same records.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    epoch: u64,
    cursor: u64,
    /// Removals up to this cursor are no longer in the log.
    compacted: u64,
    entries: BTreeMap<Key, Entry>,
    removed: VecDeque<(u64, Key)>,
}

/// Moves a copy from cursor `from` to `cursor`; replaces the copy when `from` is zero.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Epoch of the home.
    pub epoch: u64,
    /// Cursor that a copy must have reached; zero replaces any copy.
    pub from: u64,
    /// Cursor of the copy afterwards.
    pub cursor: u64,
    /// New and changed records.
    pub records: Vec<Record>,
    /// Keys of removed records.
    pub removed: Vec<Key>,
}

impl Partition {
    /// Creates an empty table.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Epoch of the home, which grows with each of its starts.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the latest change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Epoch and cursor, which never decrease.
    #[must_use]
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.cursor)
    }

    /// The record of `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.entries.get(key).map(|entry| &entry.record)
    }

    /// Records sorted by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.entries.keys()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Writes a record as the next change.
    pub fn put(&mut self, record: Record) {
        self.cursor += 1;
        let cursor = self.cursor;
        self.entries.insert(record.key(), Entry { record, cursor });
    }

    /// Removes a record as the next change; does nothing when there is none.
    pub fn remove(&mut self, key: &Key) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.cursor += 1;
        self.record_removal(key.clone());
    }

    /// Starts a new epoch after `epoch`, with the same records.
    ///
    /// The low bits of the old epoch are added, so that several starts with a clock set back
    /// do not end up in the same epoch.
    pub fn restart(&mut self, epoch: u64) {
        let step = 1 + (self.epoch & EPOCH_MASK);
        self.epoch = self.epoch.max(epoch).saturating_add(step);
        self.compacted = self.cursor;
        self.removed.clear();
    }

    /// The changes after `cursor` of this epoch; `None` when there are none.
    ///
    /// Zero asks for the whole table.
    #[must_use]
    pub fn delta_since(&self, cursor: u64) -> Option<Delta> {
        if cursor >= self.cursor && cursor > 0 {
            return None;
        }
        let from = if cursor < self.compacted { 0 } else { cursor };
        let changed = self.entries.values().filter(|entry| entry.cursor > from);
        let removed = self.removed.iter().filter(|(cursor, _)| *cursor > from);
        let removed: BTreeSet<&Key> = removed.map(|(_, key)| key).collect();
        let absent = |key: &&Key| from > 0 && !self.entries.contains_key(*key);
        Some(Delta {
            epoch: self.epoch,
            from,
            cursor: self.cursor,
            records: changed.map(|entry| entry.record.clone()).collect(),
            removed: removed.into_iter().filter(absent).cloned().collect(),
        })
    }

    /// Whether [`Partition::merge`] would apply the delta.
    #[must_use]
    pub fn accepts(&self, delta: &Delta) -> bool {
        let newer = (delta.epoch, delta.cursor) > self.position();
        let reaches = delta.epoch == self.epoch && delta.from <= self.cursor;
        newer && (delta.from == 0 || reaches)
    }

    /// Applies a delta and returns the keys that may have changed.
    ///
    /// A delta that is old, or starts after this copy's cursor, changes nothing. Deltas may
    /// therefore be reordered, repeated or lost.
    pub fn merge(&mut self, delta: &Delta) -> BTreeSet<Key> {
        if !self.accepts(delta) {
            return BTreeSet::new();
        }
        let mut touched = BTreeSet::new();
        if delta.from == 0 {
            touched.extend(self.entries.keys().cloned());
            self.entries.clear();
            self.removed.clear();
            self.compacted = delta.cursor;
            self.epoch = delta.epoch;
        }
        self.cursor = delta.cursor;
        for record in &delta.records {
            let cursor = delta.cursor;
            touched.insert(record.key());
            let record = record.clone();
            self.entries.insert(record.key(), Entry { record, cursor });
        }
        for key in &delta.removed {
            if self.entries.remove(key).is_some() {
                touched.insert(key.clone());
            }
            self.record_removal(key.clone());
        }
        touched
    }

    fn record_removal(&mut self, key: Key) {
        self.removed.push_back((self.cursor, key));
        while self.removed.len() > MAX_REMOVALS {
            if let Some((cursor, _)) = self.removed.pop_front() {
                self.compacted = cursor;
            }
        }
    }
}
