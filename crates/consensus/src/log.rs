//! The in-memory log: a snapshot and the entries kept before and after it.

use std::collections::VecDeque;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::Position;
use crate::entry::Term;
use crate::stored::Snapshot;

/// Consecutive entries after `start`, which is at or before the snapshot's position.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    /// The position before the first entry in memory.
    start: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Configurations after the snapshot with the indexes of their entries, ascending.
    configs: Vec<(Index, Config)>,
}

impl Log {
    /// Builds the log from stored state. The second value is the first index whose stored
    /// entries were ignored and must be removed, if any.
    ///
    /// A crash between the write of a received snapshot and the removal of the entries
    /// that it supersedes leaves such entries in storage; they are ignored here.
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

    /// Replaces the whole log with a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::from_snapshot(snapshot);
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The index of the first entry in memory, or of the next one if the log is empty.
    pub(crate) fn first(&self) -> Index {
        self.start.index.next()
    }

    /// The position of the last entry, or of `start` if the log is empty.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.start, Entry::position)
    }

    /// The term of the entry at `index`, if it is in memory.
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

    /// Whether the log contains the entry at this index with this term.
    pub(crate) fn contains(&self, position: Position) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Appends an entry, whose index must follow that of the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        self.bytes += entry.size();
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        while self.last().index >= index {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        self.configs.retain(|(at, _)| *at < index);
    }

    /// Returns the entries from `from` to `to`, limited to `max_bytes` but at least one.
    pub(crate) fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while index <= to
            && let Some(entry) = self.get(index)
        {
            bytes += entry.size();
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// The current configuration: the last one in the log, committed or not.
    pub(crate) fn config(&self) -> &Config {
        self.configs
            .last()
            .map_or(&self.snapshot.config, |(_, config)| config)
    }

    /// The index of the current configuration.
    pub(crate) fn config_index(&self) -> Index {
        self.configs
            .last()
            .map_or(self.snapshot.position.index, |(index, _)| *index)
    }

    /// The configuration as of `index`, which must not precede the snapshot.
    pub(crate) fn config_at(&self, index: Index) -> &Config {
        self.configs
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.config, |(_, config)| config)
    }

    /// Compacts the log up to a newer snapshot, retaining at most `max_retained_bytes` of
    /// the entries that the snapshot covers.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, max_retained_bytes: usize) {
        let index = snapshot.position.index;
        self.configs.retain(|(at, _)| *at > index);
        self.snapshot = snapshot;
        let first_retained = self.first_retained(index, max_retained_bytes);
        while self.first() < first_retained {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.start = entry.position();
        }
    }

    /// The first of the last entries up to `index` that fit into `max_bytes`.
    fn first_retained(&self, index: Index, max_bytes: usize) -> Index {
        let mut bytes = 0;
        let mut first = index.next();
        while let Some(entry) = self.get(first.previous()) {
            bytes += entry.size();
            if bytes > max_bytes {
                break;
            }
            first = first.previous();
        }
        first
    }
}
