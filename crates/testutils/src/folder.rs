//! Folders that live as long as their test.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NUMBER: AtomicU32 = AtomicU32::new(0);

/// A new empty folder, removed with all in it when dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one.
    ///
    /// # Errors
    ///
    /// Fails where the system's folder for temporary files takes none.
    pub fn new() -> io::Result<Self> {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rwr-test-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        // What an earlier process of the same id left behind.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in it, whose path is the answer.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A file that a process still holds may stay; the system clears the folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}
