//! The log in memory: a snapshot, and entries of which the last may be unsynced.

use std::collections::VecDeque;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::Position;
use crate::entry::Term;
use crate::stored::Snapshot;

/// Entries after `start`, without a gap; `start` is at or before the snapshot's position.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    start: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Configurations after the snapshot, by their entries' indexes, ascending.
    configs: Vec<(Index, Config)>,
}

impl Log {
    /// The log of a disk, and from where on entries on that disk were left out, if any were.
    ///
    /// A crash may come between the write of a received snapshot and the removal
    /// of the entries that it overrules, so those are left out here.
    pub(crate) fn open(snapshot: Snapshot, entries: Vec<Entry>) -> (Self, Option<Index>) {
        let base = snapshot.position;
        let mut log = Self::from_snapshot(snapshot);
        let differs = |e: &Entry| e.index == base.index && e.term != base.term;
        if entries.iter().any(differs) {
            return (log, Some(Index(1)));
        }
        for entry in entries.into_iter().filter(|e| e.index > base.index) {
            if entry.index != log.last().index.next() {
                let from = log
                    .entries
                    .front()
                    .map_or(Index(1), |_| log.last().index.next());
                return (log, Some(from));
            }
            log.push(entry);
        }
        (log, None)
    }

    fn from_snapshot(snapshot: Snapshot) -> Self {
        Self {
            start: snapshot.position,
            snapshot,
            entries: VecDeque::new(),
            bytes: 0,
            configs: Vec::new(),
        }
    }

    /// Replaces everything by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::from_snapshot(snapshot);
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The first entry's index, whether there is one or not.
    pub(crate) fn first(&self) -> Index {
        self.start.index.next()
    }

    /// The last entry's position, or that of what lies before the first.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.start, Entry::position)
    }

    /// The term at `index`, where it is known.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Whether the log has exactly this entry.
    pub(crate) fn has(&self, position: Position) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Appends an entry, which follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        self.bytes += entry.size();
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        while self.last().index >= index {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        self.configs.retain(|(at, _)| *at < index);
    }

    /// The entries of a range, at least one and then as many as `most` bytes hold.
    pub(crate) fn slice(&self, from: Index, to: Index, most: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while index <= to
            && let Some(entry) = self.get(index)
        {
            bytes += entry.size();
            if !entries.is_empty() && bytes > most {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// The group in force: the last one in the log, committed or not.
    pub(crate) fn config(&self) -> &Config {
        self.configs
            .last()
            .map_or(&self.snapshot.config, |(_, config)| config)
    }

    /// Where the group in force was set.
    pub(crate) fn config_index(&self) -> Index {
        self.configs
            .last()
            .map_or(self.snapshot.position.index, |(index, _)| *index)
    }

    /// The group as of `index`, which isn't before the snapshot.
    pub(crate) fn config_at(&self, index: Index) -> &Config {
        self.configs
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.config, |(_, config)| config)
    }

    /// Takes a newer snapshot of this log, and keeps at most `keep` bytes of entries in front of it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: usize) {
        let index = snapshot.position.index;
        self.configs.retain(|(at, _)| *at > index);
        self.snapshot = snapshot;
        let kept = self.reach_back(index, keep);
        while self.first() < kept {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.start = entry.position();
        }
    }

    /// The first of the entries up to `index` that together take at most `most` bytes.
    fn reach_back(&self, index: Index, most: usize) -> Index {
        let mut bytes = 0;
        let mut first = index.next();
        while let Some(entry) = self.get(first.previous()) {
            bytes += entry.size();
            if bytes > most {
                break;
            }
            first = first.previous();
        }
        first
    }
}
