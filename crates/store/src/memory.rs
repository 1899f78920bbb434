//! A [`Disk`] in memory for tests, which loses unsynced data and injects faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

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
}

/// The visible and the durable contents of a file.
#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: Vec<u8>,
}

impl Content {
    fn sync(&mut self) {
        let Self { bytes, durable } = self;
        durable.clone_from(bytes);
    }
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Arc<Mutex<Content>>>,
    durable_files: BTreeMap<String, Arc<Mutex<Content>>>,
    remaining_bytes: Option<u64>,
    remaining_syncs: Option<u32>,
    torn_bytes: usize,
    hole_bytes: usize,
    sync_count: u64,
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
        }
    }

    /// Loses unsynced data, except what armed faults keep, and disarms all faults.
    pub fn crash(&self) {
        let mut state = self.state();
        let torn_bytes = std::mem::take(&mut state.torn_bytes);
        let hole_bytes = std::mem::take(&mut state.hole_bytes);
        let durable = state.durable_files.clone();
        let visible = std::mem::replace(&mut state.files, durable);
        if torn_bytes > 0 {
            for (name, file) in visible {
                state.files.entry(name).or_insert(file);
            }
        }
        for file in state.files.values() {
            let mut content = lock(file);
            let durable = content.durable.clone();
            let durable_length = durable.len();
            let end = content.bytes.len().min(durable_length + torn_bytes);
            let mut tail = content
                .bytes
                .get(durable_length..end)
                .unwrap_or_default()
                .to_vec();
            let lost = hole_bytes.min(tail.len());
            tail[..lost].fill(0);
            content.bytes.clone_from(&durable);
            content.bytes.extend(tail);
            content.sync();
        }
        state.durable_files = state.files.clone();
        state.remaining_bytes = None;
        state.remaining_syncs = None;
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

    fn file(&self, name: &str) -> io::Result<Arc<Mutex<Content>>> {
        let found = self.state().files.get(name).cloned();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn count_sync(&self) -> io::Result<()> {
        let mut state = self.state();
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
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(lock(&*self.file(name)?).bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.state().files.insert(name.to_owned(), Arc::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        let mut state = self.state();
        let mut fits = bytes.len();
        if let Some(remaining_bytes) = &mut state.remaining_bytes {
            fits = fits.min(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
            *remaining_bytes -= fits as u64;
        }
        lock(&file).bytes.extend_from_slice(&bytes[..fits]);
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
        state.files.remove(from);
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let removed = state.files.remove(name);
        removed
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        self.count_sync()?;
        let mut state = self.state();
        state.durable_files = state.files.clone();
        Ok(())
    }
}
