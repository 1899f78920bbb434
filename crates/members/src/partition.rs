//! A numbered table of records with a bounded memory of what left it.
//!
//! Copies are brought up to date with a [`Delta`]: what changed after a cursor,
//! or the whole table when the cursor is older than the memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::record::Key;
use crate::record::Record;

/// Removals that are remembered; a copy that missed more gets the whole table.
pub const MEMORY: usize = 1024;

const EPOCH_MASK: u64 = 0xFFFF;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Slot {
    record: Record,
    at: u64,
}

/// The records of one home, or the merged view of one directory.
///
/// Invariant: (`epoch`, `cursor`) never goes back, and at one such point every
/// copy holds the same records.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    epoch: u64,
    cursor: u64,
    /// Removals up to here are forgotten.
    floor: u64,
    slots: BTreeMap<Key, Slot>,
    removed: VecDeque<(u64, Key)>,
}

/// Brings a copy from `from` to `cursor`; whole when `from` is zero.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The home's start.
    pub epoch: u64,
    /// Cursor that a copy must have reached; zero replaces any copy.
    pub from: u64,
    /// Cursor after it.
    pub cursor: u64,
    /// Records that are new or changed.
    pub records: Vec<Record>,
    /// Records that left.
    pub removed: Vec<Key>,
}

impl Partition {
    /// An empty table of the start `epoch`.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Start of its home.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the latest change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Its point in the home's history, which never goes back.
    #[must_use]
    pub fn point(&self) -> (u64, u64) {
        (self.epoch, self.cursor)
    }

    /// The record of `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.slots.get(key).map(|slot| &slot.record)
    }

    /// The records, sorted by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.slots.values().map(|slot| &slot.record)
    }

    /// The keys, sorted.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.slots.keys()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Writes a record as the next change.
    pub fn put(&mut self, record: Record) {
        self.cursor += 1;
        let at = self.cursor;
        self.slots.insert(record.key(), Slot { record, at });
    }

    /// Removes a record as the next change; nothing happens without one.
    pub fn remove(&mut self, key: &Key) {
        if self.slots.remove(key).is_none() {
            return;
        }
        self.cursor += 1;
        self.remember(key.clone());
    }

    /// Begins a new history after `epoch`, with the same records.
    ///
    /// The low bits of the own start go into the new epoch, so that several
    /// starts with a clock set back don't meet at the same one.
    pub fn restart(&mut self, epoch: u64) {
        let step = 1 + (self.epoch & EPOCH_MASK);
        self.epoch = self.epoch.max(epoch).saturating_add(step);
        self.floor = self.cursor;
        self.removed.clear();
    }

    /// What a copy at `cursor` of this epoch lacks; `None` when it lacks nothing.
    ///
    /// Zero asks for the whole table.
    #[must_use]
    pub fn since(&self, cursor: u64) -> Option<Delta> {
        if cursor >= self.cursor && cursor > 0 {
            return None;
        }
        let from = if cursor < self.floor { 0 } else { cursor };
        let changed = self.slots.values().filter(|slot| slot.at > from);
        let removed = self.removed.iter().filter(|(at, _)| *at > from);
        let removed: BTreeSet<&Key> = removed.map(|(_, key)| key).collect();
        let absent = |key: &&Key| from > 0 && !self.slots.contains_key(*key);
        Some(Delta {
            epoch: self.epoch,
            from,
            cursor: self.cursor,
            records: changed.map(|slot| slot.record.clone()).collect(),
            removed: removed.into_iter().filter(absent).cloned().collect(),
        })
    }

    /// Whether [`Partition::merge`] would move this copy on.
    #[must_use]
    pub fn takes(&self, delta: &Delta) -> bool {
        let newer = (delta.epoch, delta.cursor) > self.point();
        let reaches = delta.epoch == self.epoch && delta.from <= self.cursor;
        newer && (delta.from == 0 || reaches)
    }

    /// Moves this copy on and returns the keys that may have changed.
    ///
    /// A delta that is old, or starts after this copy's cursor, changes nothing,
    /// so order, repetition and loss do no harm.
    pub fn merge(&mut self, delta: &Delta) -> BTreeSet<Key> {
        if !self.takes(delta) {
            return BTreeSet::new();
        }
        let mut touched = BTreeSet::new();
        if delta.from == 0 {
            touched.extend(self.slots.keys().cloned());
            self.slots.clear();
            self.removed.clear();
            self.floor = delta.cursor;
            self.epoch = delta.epoch;
        }
        self.cursor = delta.cursor;
        for record in &delta.records {
            let at = delta.cursor;
            touched.insert(record.key());
            let record = record.clone();
            self.slots.insert(record.key(), Slot { record, at });
        }
        for key in &delta.removed {
            if self.slots.remove(key).is_some() {
                touched.insert(key.clone());
            }
            self.remember(key.clone());
        }
        touched
    }

    fn remember(&mut self, key: Key) {
        self.removed.push_back((self.cursor, key));
        while self.removed.len() > MEMORY {
            if let Some((at, _)) = self.removed.pop_front() {
                self.floor = at;
            }
        }
    }
}
