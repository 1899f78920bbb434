//! A real folder as a [`Disk`].

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::disk::Disk;
use crate::error::Operation;
use crate::error::StoreError;

/// Held for as long as a process uses the folder.
const LOCK: &str = "lock";

/// A folder that this process alone uses.
///
/// The file that was last written stays open, as the log goes to the same one
/// for long.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    active: Option<(String, File)>,
    _lock: File,
}

impl Folder {
    /// Opens the folder at `path`, making it when there is none.
    ///
    /// # Errors
    ///
    /// Fails when it can't be made or another process holds it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let name = path.display().to_string();
        let fail = |err| StoreError::io(Operation::Create, &name, err);
        fs::create_dir_all(path).map_err(fail)?;
        let lock = File::create(path.join(LOCK)).map_err(fail)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                active: None,
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked(name)),
            Err(TryLockError::Error(err)) => Err(fail(err)),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = self.active.as_ref().is_some_and(|(held, _)| held == name);
        if !open {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.active = Some((name.to_owned(), file));
        }
        match &mut self.active {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn release(&mut self, name: &str) {
        self.active.take_if(|(held, _)| held == name);
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            let name = item?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.release(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.release(from);
        self.release(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.release(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
