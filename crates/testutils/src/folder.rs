//! Temporary folders for tests.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary folder, removed with its contents when dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates an empty folder in the system's temporary directory.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created.
    pub fn new() -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rwr-test-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        // An earlier process with the same id may have left its folder behind.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file into the folder and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Removal is best effort: a process may still be writing into the folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}
