//! The durable log with its hard state and snapshots.

use prost::Message;
use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;
use wire::store::Snapshot;

use crate::disk::Disk;
use crate::error::Damage;
use crate::error::Operation;
use crate::error::StoreError;
use crate::frame;
use crate::frame::Found;
use crate::replay::Replay;
use crate::snapshot;
use crate::snapshot::step;

const PREFIX: &str = "log-";

/// Sizes of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bytes after which the log goes on in a new segment.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 4 * 1024 * 1024,
        }
    }
}

/// What a data folder held when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Minted with the folder.
    pub id: u64,
    /// The newest hard state.
    pub state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without a gap.
    pub entries: Vec<Entry>,
    /// Entries up to this index were known to be committed, perhaps later ones are.
    pub commit: u64,
    /// Bytes of a write that a crash had cut short.
    pub torn_bytes: u64,
}

/// One file of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    length: u64,
    /// Highest index that was ever written to it.
    highest: u64,
}

impl Segment {
    fn name(&self) -> String {
        format!("{PREFIX}{:020}", self.number)
    }
}

/// A data folder that is open for writing.
///
/// Invariants: whatever [`Store::append`] and [`Store::save`] returned `Ok`
/// for survives a crash; after a failed write or sync nothing more is written.
pub struct Store {
    disk: Box<dyn Disk>,
    options: Options,
    segments: Vec<Segment>,
    state: HardState,
    last: u64,
    /// Index of the snapshot in place.
    held: Option<u64>,
    stopped: bool,
}

impl Store {
    /// Opens a folder and reads what it holds; an empty one gets the identity `mint`.
    ///
    /// # Errors
    ///
    /// Fails on damage anywhere but in an unfinished write at the very end.
    pub fn open(
        mut disk: Box<dyn Disk>,
        options: Options,
        mint: u64,
    ) -> Result<(Self, Recovered), StoreError> {
        let names = clean(&mut *disk)?;
        let id = snapshot::identity(&mut *disk, &names, mint)?;
        let kept = snapshot::newest(&mut *disk, &names)?;
        let floor = kept.as_ref().map_or(0, |s| s.index);
        let mut log = LogReader::new(&mut *disk, floor);
        log.read_all(&names)?;
        let (segments, torn_bytes) = (log.segments, log.torn_bytes);
        let commit = log.replay.commit;
        let (state, entries) = log.replay.finish(kept.as_ref().map_or(0, |s| s.term));
        let store = Self {
            disk,
            options,
            segments,
            state,
            last: entries.last().map_or(floor, |e| e.index),
            held: kept.as_ref().map(|s| s.index),
            stopped: false,
        };
        let recovered = Recovered {
            id,
            state,
            snapshot: kept,
            entries,
            commit,
            torn_bytes,
        };
        Ok((store, recovered))
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// Fails when the batch may not survive a crash; the store then stops.
    pub fn append(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.guard(|store| store.append_batch(batch))
    }

    /// Puts a snapshot in place and removes the log that it covers.
    ///
    /// # Errors
    ///
    /// Fails when it may not survive a crash; the store then stops.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.guard(|store| store.save_snapshot(snapshot))
    }

    /// Index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last
    }

    /// Bytes of the log's files.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.length).sum()
    }

    fn floor(&self) -> u64 {
        self.held.unwrap_or_default()
    }

    fn guard(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.stopped {
            return Err(StoreError::Stopped);
        }
        let result = work(self);
        self.stopped = result.is_err();
        result
    }

    fn append_batch(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let last = self.check_order(batch)?;
        let state = batch.state.unwrap_or(self.state);
        let segment = self.segment()?;
        let name = segment.name();
        let mut bytes = Vec::new();
        if segment.length == 0 {
            // The segments before may be removed, so each one repeats the state.
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
        step(Operation::Write, &name, self.disk.append(&name, &bytes))?;
        step(Operation::Sync, &name, self.disk.sync(&name))?;
        self.note(bytes.len(), last.max(self.last));
        self.state = state;
        self.last = last;
        self.mark(&name)
    }

    /// Writes an empty frame, which shows that the one before it was synced.
    ///
    /// It isn't synced itself: it reaches the disk with the next sync or soon
    /// after, and until then a damaged last frame counts as a torn one.
    fn mark(&mut self, name: &str) -> Result<(), StoreError> {
        let Some(segment) = self.segments.last() else {
            return Ok(());
        };
        let mut bytes = Vec::new();
        frame::write(&mut bytes, segment.number, segment.length, &[]);
        step(Operation::Write, name, self.disk.append(name, &bytes))?;
        self.note(bytes.len(), 0);
        Ok(())
    }

    fn note(&mut self, bytes: usize, highest: u64) {
        if let Some(segment) = self.segments.last_mut() {
            segment.length += bytes as u64;
            segment.highest = segment.highest.max(highest);
        }
    }

    fn check_order(&self, batch: &Batch) -> Result<u64, StoreError> {
        let mut last = self.last;
        if batch.truncate > 0 {
            last = last.min(batch.truncate - 1).max(self.floor());
        }
        for entry in &batch.entries {
            if entry.index > last + 1 || entry.index <= self.floor() {
                return Err(StoreError::Order(entry.index, last));
            }
            last = entry.index;
        }
        Ok(last)
    }

    fn segment(&mut self) -> Result<Segment, StoreError> {
        match self.segments.last() {
            Some(last) if last.length < self.options.segment_bytes => Ok(*last),
            last => {
                let number = last.map_or(1, |s| s.number + 1);
                self.begin(number)
            }
        }
    }

    /// Begins a segment; the one before has to be whole to its last mark.
    fn begin(&mut self, number: u64) -> Result<Segment, StoreError> {
        if let Some(before) = self.segments.last().map(Segment::name) {
            step(Operation::Sync, &before, self.disk.sync(&before))?;
        }
        let segment = Segment {
            number,
            length: 0,
            highest: 0,
        };
        let name = segment.name();
        step(Operation::Create, &name, self.disk.create(&name))?;
        step(Operation::Sync, &name, self.disk.sync_dir())?;
        self.segments.push(segment);
        Ok(segment)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        snapshot::save(&mut *self.disk, snapshot, self.held)?;
        self.held = Some(snapshot.index);
        self.last = self.last.max(snapshot.index);
        self.compact()
    }

    /// Removes the oldest segments that hold nothing after the snapshot.
    ///
    /// The hard state must go into a segment that stays first.
    fn compact(&mut self) -> Result<(), StoreError> {
        let floor = self.floor();
        let covered = |s: &Segment| s.highest <= floor;
        if self.segments.last().is_some_and(covered) {
            let number = self.segments.last().map_or(1, |s| s.number + 1);
            self.begin(number)?;
            self.append_batch(&Batch::default())?;
        }
        let count = self
            .segments
            .iter()
            .take(self.segments.len().saturating_sub(1))
            .take_while(|s| s.highest <= floor)
            .count();
        for segment in self.segments.drain(..count) {
            let name = segment.name();
            step(Operation::Remove, &name, self.disk.remove(&name))?;
        }
        Ok(())
    }
}

/// Removes unfinished files and lists the others.
fn clean(disk: &mut dyn Disk) -> Result<Vec<String>, StoreError> {
    let names = step(Operation::List, "", disk.list())?;
    let (unfinished, names): (Vec<_>, Vec<_>) = names
        .into_iter()
        .partition(|n| n.ends_with(snapshot::UNFINISHED));
    for name in unfinished {
        step(Operation::Remove, &name, disk.remove(&name))?;
    }
    Ok(names)
}

/// Reads the log's segments in order.
struct LogReader<'a> {
    disk: &'a mut dyn Disk,
    replay: Replay,
    segments: Vec<Segment>,
    torn_bytes: u64,
}

impl<'a> LogReader<'a> {
    fn new(disk: &'a mut dyn Disk, floor: u64) -> Self {
        Self {
            disk,
            replay: Replay::new(floor),
            segments: Vec::new(),
            torn_bytes: 0,
        }
    }

    fn read_all(&mut self, names: &[String]) -> Result<(), StoreError> {
        let mut found: Vec<u64> = names
            .iter()
            .filter_map(|n| n.strip_prefix(PREFIX)?.parse().ok())
            .collect();
        found.sort_unstable();
        let newest = found.last().copied().unwrap_or_default();
        for number in found {
            let missing = self.segments.last().is_some_and(|s| s.number + 1 != number);
            let segment = Segment {
                number,
                length: 0,
                highest: 0,
            };
            if missing {
                return Err(damaged(&segment, 0, Damage::Segment));
            }
            self.read_segment(segment, number == newest)?;
        }
        Ok(())
    }

    fn read_segment(&mut self, mut segment: Segment, newest: bool) -> Result<(), StoreError> {
        let name = segment.name();
        let mut bytes = step(Operation::Read, &name, self.disk.read(&name))?;
        let mut offset = 0;
        let mut marked = true;
        loop {
            match frame::read(&bytes, segment.number, offset) {
                Found::Frame(payload, next) => {
                    marked = payload.is_empty();
                    let batch = Batch::decode(payload)
                        .map_err(|_| damaged(&segment, offset, Damage::Message))?;
                    let highest = batch.entries.iter().map(|e| e.index).max();
                    segment.highest = segment.highest.max(highest.unwrap_or_default());
                    self.replay
                        .take(batch)
                        .map_err(|damage| damaged(&segment, offset, damage))?;
                    offset = next;
                }
                Found::End => break,
                Found::Bad
                    if newest && !marked && frame::lost_mark(&bytes, segment.number, offset) =>
                {
                    let mut mark = Vec::new();
                    frame::write(&mut mark, segment.number, offset as u64, &[]);
                    bytes.splice(offset..offset + frame::HEAD, mark);
                }
                Found::Bad if newest && !frame::any_after(&bytes, segment.number, offset) => break,
                Found::Bad => return Err(damaged(&segment, offset, Damage::Frame)),
            }
        }
        if newest {
            self.renew(&name, &bytes[..offset], bytes.len())?;
        }
        segment.length = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Writes the good part of the newest segment anew.
    ///
    /// This cuts a torn tail. It also makes durable what a process before this
    /// one wrote and couldn't sync: the system may show such bytes to readers
    /// although the disk doesn't have them.
    fn renew(&mut self, name: &str, good: &[u8], length: usize) -> Result<(), StoreError> {
        self.torn_bytes = (length - good.len()) as u64;
        if length > 0 {
            snapshot::place(self.disk, name, good)?;
        }
        Ok(())
    }
}

fn damaged(segment: &Segment, offset: usize, damage: Damage) -> StoreError {
    StoreError::Damaged(segment.name(), offset as u64, damage)
}
