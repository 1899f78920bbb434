//! A [`Disk`] in memory that forgets and fails on demand, for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::disk::Disk;

/// What goes wrong, once or from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Only so many more bytes fit.
    Full(u64),
    /// The sync after so many good ones fails, and loses what it should have kept.
    Sync(u32),
    /// At the next crash so many unsynced bytes of each file stay, and new names do.
    Torn(usize),
    /// Of the bytes that stay at the next crash, so many at the front read as
    /// zeros: the write that held them was lost, and later ones were not.
    Hole(usize),
}

/// One file: what a reader sees and how much of it would survive a crash.
#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: Vec<u8>,
}

impl Content {
    fn settle(&mut self) {
        let Self { bytes, durable } = self;
        durable.clone_from(bytes);
    }
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Arc<Mutex<Content>>>,
    durable: BTreeMap<String, Arc<Mutex<Content>>>,
    room: Option<u64>,
    syncs: Option<u32>,
    torn_bytes: usize,
    hole: usize,
    count: u64,
}

/// A folder in memory; clones share it, as processes one after another would.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

impl MemoryDisk {
    /// Arms a fault.
    pub fn arm(&self, fault: Fault) {
        let mut state = self.state();
        match fault {
            Fault::Full(room) => state.room = Some(room),
            Fault::Sync(good) => state.syncs = Some(good),
            Fault::Torn(keep) => state.torn_bytes = keep,
            Fault::Hole(bytes) => state.hole = bytes,
        }
    }

    /// Loses all that wasn't synced and disarms every fault.
    pub fn crash(&self) {
        let mut state = self.state();
        let torn_bytes = std::mem::take(&mut state.torn_bytes);
        let hole = std::mem::take(&mut state.hole);
        let durable = state.durable.clone();
        let seen = std::mem::replace(&mut state.files, durable);
        if torn_bytes > 0 {
            for (name, file) in seen {
                state.files.entry(name).or_insert(file);
            }
        }
        for file in state.files.values() {
            let mut content = lock(file);
            let durable = content.durable.clone();
            let kept = durable.len();
            let end = content.bytes.len().min(kept + torn_bytes);
            let mut tail = content.bytes.get(kept..end).unwrap_or_default().to_vec();
            let lost = hole.min(tail.len());
            tail[..lost].fill(0);
            content.bytes.clone_from(&durable);
            content.bytes.extend(tail);
            content.settle();
        }
        state.durable = state.files.clone();
        state.room = None;
        state.syncs = None;
    }

    /// Inverts the lowest bit of one byte, counted from the end when negative.
    pub fn flip(&self, name: &str, offset: i64) {
        let state = self.state();
        let Some(file) = state.files.get(name) else {
            return;
        };
        let mut content = lock(file);
        let length = i64::try_from(content.bytes.len()).unwrap_or(i64::MAX);
        let place = if offset < 0 { length + offset } else { offset };
        let place = usize::try_from(place).unwrap_or(usize::MAX);
        if let Some(byte) = content.bytes.get_mut(place) {
            *byte ^= 1;
        }
        content.settle();
    }

    /// How many syncs succeeded.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().count
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
        match &mut state.syncs {
            Some(0) => return Err(io::Error::other("injected sync failure")),
            Some(good) => *good -= 1,
            None => {}
        }
        state.count += 1;
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
        if let Some(room) = &mut state.room {
            fits = fits.min(usize::try_from(*room).unwrap_or(usize::MAX));
            *room -= fits as u64;
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
        lock(&file).settle();
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
        state.durable = state.files.clone();
        Ok(())
    }
}
