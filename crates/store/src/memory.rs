//! A [`Disk`] in memory for tests, which loses unsynced data and injects faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::disk::Disk;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The disk is full after this many more bytes.
    Full(u64),
    /// Syncs fail after this many successful ones; the data stays unsynced.
    Sync(u32),
    /// At the next crash, this many unsynced bytes of each file survive, and unsynced file
    /// names if it is not 0.
    Torn(usize),
    /// Of the unsynced bytes that survive the next crash, this many at the front become
    /// zeros, as if an earlier write was lost and later ones were not.
    Hole(usize),
    /// At the next crash, each unsynced name and each unsynced write is kept or lost by itself,
    /// as this seed decides.
    Random(u64),
    /// All operations fail after this many more ones, as if the power was lost before the next.
    Power(u64),
}

/// The visible and the durable contents of a file.
#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: Vec<u8>,
    /// The offsets at which the unsynced writes start, ascending.
    unsynced_writes: Vec<usize>,
}

impl Content {
    fn append(&mut self, bytes: &[u8]) {
        self.unsynced_writes.push(self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    fn sync(&mut self) {
        self.unsynced_writes.clear();
        let Self { bytes, durable, .. } = self;
        durable.clone_from(bytes);
    }

    /// Keeps the durable bytes and each unsynced write, a part of it, or nothing of it; a lost
    /// write before a kept one leaves zeros.
    fn keep_random_writes(&mut self, random: &mut SmallRng) {
        let ends = self.unsynced_writes.iter().skip(1).copied();
        let ends: Vec<usize> = ends.chain([self.bytes.len()]).collect();
        let mut kept = self.durable.clone();
        for (start, end) in std::mem::take(&mut self.unsynced_writes)
            .into_iter()
            .zip(ends)
        {
            let kept_end = match random.random_range(0..3) {
                0 => continue,
                1 => random.random_range(start..=end),
                _ => end,
            };
            kept.resize(start, 0);
            kept.extend_from_slice(&self.bytes[start..kept_end]);
        }
        self.bytes = kept;
        self.sync();
    }

    /// Keeps the durable bytes and the first `torn_bytes` unsynced ones, the first `hole_bytes`
    /// of these as zeros.
    fn keep_front(&mut self, torn_bytes: usize, hole_bytes: usize) {
        let durable_length = self.durable.len();
        let end = self.bytes.len().min(durable_length + torn_bytes);
        let tail = self.bytes.get(durable_length..end).unwrap_or_default();
        let mut tail = tail.to_vec();
        let lost = hole_bytes.min(tail.len());
        tail[..lost].fill(0);
        self.bytes.clone_from(&self.durable);
        self.bytes.extend(tail);
        self.sync();
    }
}

/// The contents that names refer to; a renamed file is found under both names after a crash
/// that keeps one change of the two.
type FileRef = Arc<Mutex<Content>>;

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, FileRef>,
    /// What each name with unsynced changes referred to before each of them, the durable state first.
    unsynced_names: BTreeMap<String, Vec<Option<FileRef>>>,
    remaining_bytes: Option<u64>,
    remaining_syncs: Option<u32>,
    remaining_operations: Option<u64>,
    torn_bytes: usize,
    hole_bytes: usize,
    seed: Option<u64>,
    sync_count: u64,
    operation_count: u64,
}

impl State {
    /// Counts an operation, which fails when the power is lost.
    fn operate(&mut self) -> io::Result<()> {
        if let Some(remaining) = &mut self.remaining_operations {
            let Some(fewer) = remaining.checked_sub(1) else {
                return Err(io::Error::other("injected loss of power"));
            };
            *remaining = fewer;
        }
        self.operation_count += 1;
        Ok(())
    }

    /// Lets `name` refer to `file`, or to nothing.
    fn set_name(&mut self, name: &str, file: Option<FileRef>) {
        let before = match file {
            Some(file) => self.files.insert(name.to_owned(), file),
            None => self.files.remove(name),
        };
        let states = self.unsynced_names.entry(name.to_owned()).or_default();
        states.push(before);
    }

    /// Replaces each unsynced name by one of its earlier states, which `choose` returns for their
    /// number, or leaves it for `None`.
    fn revert_names(&mut self, mut choose: impl FnMut(usize) -> Option<usize>) {
        for (name, mut states) in std::mem::take(&mut self.unsynced_names) {
            let Some(chosen) = choose(states.len()) else {
                continue;
            };
            match states.swap_remove(chosen) {
                Some(file) => self.files.insert(name, file),
                None => self.files.remove(&name),
            };
        }
    }

    fn crash(&mut self) {
        if let Some(seed) = self.seed {
            let mut random = SmallRng::seed_from_u64(seed);
            self.revert_names(|count| Some(random.random_range(0..=count)).filter(|c| *c < count));
            for file in self.files.values() {
                lock(file).keep_random_writes(&mut random);
            }
        } else {
            let keeps_names = self.torn_bytes > 0;
            // Without `Random`, surviving names are those of files that were created.
            let files = self.files.clone();
            self.revert_names(|_| Some(0));
            if keeps_names {
                for (name, file) in files {
                    self.files.entry(name).or_insert(file);
                }
            }
            for file in self.files.values() {
                lock(file).keep_front(self.torn_bytes, self.hole_bytes);
            }
        }
        self.disarm();
    }

    fn disarm(&mut self) {
        self.remaining_bytes = None;
        self.remaining_syncs = None;
        self.remaining_operations = None;
        self.torn_bytes = 0;
        self.hole_bytes = 0;
        self.seed = None;
    }
}

/// A folder in memory, shared by its clones, as by consecutive processes.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

impl MemoryDisk {
    /// Arms a fault, which stays until the next crash.
    pub fn arm(&self, fault: Fault) {
        let mut state = self.state();
        match fault {
            Fault::Full(bytes) => state.remaining_bytes = Some(bytes),
            Fault::Sync(count) => state.remaining_syncs = Some(count),
            Fault::Torn(bytes) => state.torn_bytes = bytes,
            Fault::Hole(bytes) => state.hole_bytes = bytes,
            Fault::Random(seed) => state.seed = Some(seed),
            Fault::Power(operations) => state.remaining_operations = Some(operations),
        }
    }

    /// Loses unsynced data, except what armed faults keep, and disarms all faults.
    pub fn crash(&self) {
        self.state().crash();
    }

    /// Disarms all faults and keeps unsynced data, as after the end of a process alone.
    pub fn disarm(&self) {
        self.state().disarm();
    }

    /// Flips the lowest bit of the byte at `offset`, which counts from the end if negative.
    pub fn flip(&self, name: &str, offset: i64) {
        let state = self.state();
        let Some(file) = state.files.get(name) else {
            return;
        };
        let mut content = lock(file);
        let length = i64::try_from(content.bytes.len()).unwrap_or(i64::MAX);
        let index = if offset < 0 { length + offset } else { offset };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        if let Some(byte) = content.bytes.get_mut(index) {
            *byte ^= 1;
        }
        content.sync();
    }

    /// Returns the number of successful syncs.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().sync_count
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the number of successful operations.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operation_count
    }

    fn file(&self, name: &str) -> io::Result<FileRef> {
        let found = self.state().files.get(name).cloned();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn count_sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        match &mut state.remaining_syncs {
            Some(0) => return Err(io::Error::other("injected sync failure")),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        state.sync_count += 1;
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.operate()?;
        Ok(state.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.state().operate()?;
        Ok(lock(&*self.file(name)?).bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.set_name(name, Some(FileRef::default()));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        let mut state = self.state();
        state.operate()?;
        let mut fits = bytes.len();
        if let Some(remaining_bytes) = &mut state.remaining_bytes {
            fits = fits.min(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
            *remaining_bytes -= fits as u64;
        }
        lock(&file).append(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let file = self.file(name)?;
        self.count_sync()?;
        lock(&file).sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let file = self.file(from)?;
        let mut state = self.state();
        state.operate()?;
        state.set_name(from, None);
        state.set_name(to, Some(file));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?;
        let mut state = self.state();
        state.operate()?;
        state.set_name(name, None);
        Ok(())
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        self.count_sync()?;
        self.state().unsynced_names.clear();
        Ok(())
    }
}
