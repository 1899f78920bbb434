//! A [`Disk`] in a folder of the file system.

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

/// Locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// The suffix of a file that is about to replace another one.
const NEXT_SUFFIX: &str = ".next";

/// A folder used exclusively by this process.
///
/// The last written file stays open, because consecutive writes go to the same log segment.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    active: Option<(String, File)>,
    _lock: File,
}

impl Folder {
    /// Opens the folder at `path`, creating it if necessary, and locks it.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created or another process has locked it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let name = path.display().to_string();
        let io_error = |err| StoreError::io(Operation::Create, &name, err);
        create_durably(path).map_err(io_error)?;
        let lock = File::create(path.join(LOCK_FILE)).map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                active: None,
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked(name)),
            Err(TryLockError::Error(err)) => Err(io_error(err)),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self
            .active
            .as_ref()
            .is_some_and(|(active_name, _)| active_name == name);
        if !is_open {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.active = Some((name.to_owned(), file));
        }
        match &mut self.active {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn close(&mut self, name: &str) {
        self.active.take_if(|(active_name, _)| active_name == name);
    }
}

/// Atomically and durably replaces the file at `path`.
///
/// # Errors
///
/// Fails if any step fails; the file may or may not have been replaced.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut next = path.as_os_str().to_owned();
    next.push(NEXT_SUFFIX);
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&next, path)?;
    sync_parent(path)
}

/// Creates a folder and those above it that are missing, with their names synced.
fn create_durably(path: &Path) -> io::Result<()> {
    let is_missing = |p: &&Path| !p.as_os_str().is_empty() && !p.exists();
    let missing: Vec<&Path> = path.ancestors().take_while(is_missing).collect();
    fs::create_dir_all(path)?;
    missing.into_iter().try_for_each(sync_parent)
}

/// Makes the name of `path` durable.
fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            let name = item?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
