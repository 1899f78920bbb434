//! The durable log with the hard state and snapshots.

use std::time::Duration;
use std::time::Instant;

use prost::Message;
use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;
use wire::store::Identity;
use wire::store::Snapshot;

use crate::disk::Disk;
use crate::error::Operation;
use crate::error::StoreError;
use crate::frame;
use crate::reader::LogReader;
use crate::segment::Segment;
use crate::snapshot;
use crate::snapshot::with_context;

/// The part of a segment's size by which small batches may exceed it.
const OVERFLOW_DIVISOR: u64 = 8;

/// Options of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The size in bytes from which the log continues in a new segment.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 4 * 1024 * 1024,
        }
    }
}

/// The contents of a data folder when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The replica's identity, generated when the folder was created.
    pub identity: Identity,
    /// The last hard state.
    pub state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The stored commit index, a lower bound of the actual one.
    pub commit: u64,
    /// The number of bytes of an incomplete last write, which were discarded.
    pub torn_bytes: u64,
    /// How long a sync of the folder took.
    pub sync_time: Duration,
}

/// An open data folder.
///
/// Invariants: data for which [`Store::append`] or [`Store::save`] returned `Ok`
/// survives a crash; after a failed write or sync nothing more is written.
pub struct Store {
    disk: Box<dyn Disk>,
    options: Options,
    identity: Identity,
    segments: Vec<Segment>,
    state: HardState,
    last_index: u64,
    /// The index of the stored snapshot.
    snapshot_index: Option<u64>,
    /// The bytes that this process has added to the newest segment since that was full.
    overflow: u64,
    stopped: bool,
}

impl Store {
    /// Opens a folder and reads its contents; an empty one gets the identity `new`, and one with
    /// another id the initial replicas that `new` names.
    ///
    /// # Errors
    ///
    /// Fails on I/O errors and on damage other than an incomplete write at the end of the log.
    pub fn open(
        mut disk: Box<dyn Disk>,
        options: Options,
        new: Identity,
    ) -> Result<(Self, Recovered), StoreError> {
        let names = with_context(Operation::List, "", disk.list())?;
        let names: Vec<String> = names.into_iter().filter(|n| !is_temporary(n)).collect();
        let identity = snapshot::load_or_create_identity(&mut *disk, &names, new)?;
        let (loaded, old_snapshots) = snapshot::load_newest(&*disk, &names)?;
        let compacted_index = loaded.as_ref().map_or(0, |s| s.index);
        let mut reader = LogReader::new(&mut *disk, loaded.as_ref().map(|s| s.index));
        reader.read_all(&names)?;
        let (segments, torn_bytes) = (reader.segments, reader.torn_bytes);
        let discarded = reader.discarded;
        let commit = reader.replay.commit;
        let log = reader.replay.finish(loaded.as_ref().map_or(0, |s| s.term));
        let (state, entries) = (log.state, log.entries);
        let sync_time = sync_folder(&mut *disk)?;
        let listed = with_context(Operation::List, "", disk.list())?;
        let temporary = listed.into_iter().filter(|n| is_temporary(n));
        let obsolete = temporary.chain(old_snapshots);
        for name in obsolete.chain(discarded.iter().map(Segment::name)) {
            with_context(Operation::Remove, &name, disk.remove(&name))?;
        }
        let mut store = Self {
            disk,
            options,
            identity: identity.clone(),
            segments,
            state,
            last_index: entries.last().map_or(compacted_index, |e| e.index),
            snapshot_index: loaded.as_ref().map(|s| s.index),
            overflow: 0,
            stopped: false,
        };
        if log.is_superseded {
            store.remove_entries()?;
        }
        let recovered = Recovered {
            identity,
            state,
            snapshot: loaded,
            entries,
            commit,
            torn_bytes,
            sync_time,
        };
        Ok((store, recovered))
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the batch may not survive a crash; the store then stops.
    pub fn append(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.stop_on_error(|store| store.append_batch(batch))
    }

    /// Stores a snapshot and removes log segments that it covers.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot may not survive a crash; the store then stops.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.stop_on_error(|store| store.save_snapshot(snapshot))
    }

    /// Stores a snapshot that replaces the whole log, as one from a leader does.
    ///
    /// The log's entries are removed before its segments: a crash between the two would leave
    /// entries of another history after the snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot may not survive a crash; the store then stops.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.stop_on_error(|store| {
            store.write_snapshot(snapshot)?;
            store.remove_entries()?;
            store.compact()
        })
    }

    /// Stores the sorted addresses of the replicas that found the group together.
    ///
    /// # Errors
    ///
    /// Fails if they may not survive a crash; the store then stops.
    pub fn save_initial(&mut self, initial: Vec<String>) -> Result<(), StoreError> {
        self.identity.initial = initial;
        self.stop_on_error(|store| snapshot::save_identity(&mut *store.disk, &store.identity))
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Returns the size of the log's files in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.length).sum()
    }

    fn compacted_index(&self) -> u64 {
        self.snapshot_index.unwrap_or_default()
    }

    fn stop_on_error(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.stopped {
            return Err(StoreError::Stopped);
        }
        let result = operation(self);
        self.stopped = result.is_err();
        result
    }

    fn append_batch(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let last = self.check_order(batch)?;
        let state = batch.state.unwrap_or(self.state);
        let segment = self.active_segment(batch.encoded_len())?;
        let name = segment.name();
        let mut bytes = Vec::new();
        if segment.length == 0 {
            // Earlier segments may be removed, so each segment repeats the hard state.
            let first = Batch {
                state: Some(state),
                ..batch.clone()
            };
            frame::write(&mut bytes, segment.number, 0, &first.encode_to_vec());
        } else {
            frame::write(
                &mut bytes,
                segment.number,
                segment.length,
                &batch.encode_to_vec(),
            );
        }
        with_context(Operation::Write, &name, self.disk.append(&name, &bytes))?;
        with_context(Operation::Sync, &name, self.disk.sync(&name))?;
        self.record_write(bytes.len(), last.max(self.last_index));
        self.state = state;
        self.last_index = last;
        self.write_sync_marker(&name)
    }

    /// Writes an empty frame as a marker that the frame before it was synced.
    ///
    /// The marker itself is only synced with the next frame; until then, a damaged last
    /// frame is treated as an incomplete write.
    fn write_sync_marker(&mut self, name: &str) -> Result<(), StoreError> {
        let Some(segment) = self.segments.last() else {
            return Ok(());
        };
        let mut bytes = Vec::new();
        frame::write(&mut bytes, segment.number, segment.length, &[]);
        with_context(Operation::Write, name, self.disk.append(name, &bytes))?;
        self.record_write(bytes.len(), 0);
        Ok(())
    }

    fn record_write(&mut self, bytes: usize, highest_index: u64) {
        let segment_bytes = self.options.segment_bytes;
        if let Some(segment) = self.segments.last_mut() {
            if segment.length >= segment_bytes {
                self.overflow += bytes as u64;
            }
            segment.length += bytes as u64;
            segment.highest_index = segment.highest_index.max(highest_index);
        }
    }

    fn check_order(&self, batch: &Batch) -> Result<u64, StoreError> {
        let mut last = self.last_index;
        if batch.truncate > 0 {
            last = last.min(batch.truncate - 1).max(self.compacted_index());
        }
        for entry in &batch.entries {
            if entry.index > last + 1 || entry.index <= self.compacted_index() {
                return Err(StoreError::Order(entry.index, last));
            }
            last = entry.index;
        }
        Ok(last)
    }

    /// The segment for a batch of this size.
    ///
    /// A small batch still goes to a full segment: a new one takes two more syncs, which votes would
    /// wait for after a large entry.
    fn active_segment(&mut self, batch_bytes: usize) -> Result<Segment, StoreError> {
        let limit = self.options.segment_bytes;
        let overflow = self.overflow + batch_bytes as u64;
        match self.segments.last() {
            Some(last) if last.length < limit || overflow <= limit / OVERFLOW_DIVISOR => Ok(*last),
            last => {
                let number = last.map_or(1, |s| s.number + 1);
                self.start_segment(number)
            }
        }
    }

    /// Starts a new segment after syncing the last marker of the previous one.
    fn start_segment(&mut self, number: u64) -> Result<Segment, StoreError> {
        if let Some(before) = self.segments.last().map(Segment::name) {
            with_context(Operation::Sync, &before, self.disk.sync(&before))?;
        }
        let segment = Segment::new(number);
        let name = segment.name();
        with_context(Operation::Create, &name, self.disk.create(&name))?;
        with_context(Operation::Sync, &name, self.disk.sync_dir())?;
        self.segments.push(segment);
        self.overflow = 0;
        Ok(segment)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.write_snapshot(snapshot)?;
        self.compact()
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        snapshot::save(&mut *self.disk, snapshot, self.snapshot_index)?;
        self.snapshot_index = Some(snapshot.index);
        self.last_index = self.last_index.max(snapshot.index);
        Ok(())
    }

    /// Removes all entries of the log.
    fn remove_entries(&mut self) -> Result<(), StoreError> {
        self.append_batch(&Batch {
            truncate: 1,
            ..Batch::default()
        })
    }

    /// Removes the oldest segments without entries after the snapshot.
    ///
    /// If the newest segment has none either, a new segment with the hard state is
    /// written first. The removals aren't synced, which would hold up writes: after a loss of
    /// power the reader discards the segments that are there again.
    fn compact(&mut self) -> Result<(), StoreError> {
        let compacted_index = self.compacted_index();
        let is_covered = |s: &Segment| s.highest_index <= compacted_index;
        if self.segments.last().is_some_and(is_covered) {
            let number = self.segments.last().map_or(1, |s| s.number + 1);
            self.start_segment(number)?;
            self.append_batch(&Batch::default())?;
        }
        let count = self
            .segments
            .iter()
            .take(self.segments.len().saturating_sub(1))
            .take_while(|s| s.highest_index <= compacted_index)
            .count();
        for segment in self.segments.drain(..count) {
            let name = segment.name();
            with_context(Operation::Remove, &name, self.disk.remove(&name))?;
        }
        Ok(())
    }
}

/// Syncs the names that were found, and returns how long that took: an earlier process may have ended
/// before it synced one of them, and what the name makes obsolete is removed next.
fn sync_folder(disk: &mut dyn Disk) -> Result<Duration, StoreError> {
    let started_at = Instant::now();
    with_context(Operation::Sync, "", disk.sync_dir())?;
    Ok(started_at.elapsed())
}

fn is_temporary(name: &str) -> bool {
    name.ends_with(snapshot::TEMP_SUFFIX)
}
