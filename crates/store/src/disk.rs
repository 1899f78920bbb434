//! The storage interface to a data folder.

use std::io;

/// The files of one flat folder, by name.
///
/// File contents become durable with [`Disk::sync`], and file names with
/// [`Disk::sync_dir`].
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails if the file doesn't exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, truncating an existing one.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends `bytes` to a file. On failure some of them may have been written.
    ///
    /// # Errors
    ///
    /// Fails if not all bytes could be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's contents durable.
    ///
    /// # Errors
    ///
    /// Fails if unsynced bytes may be lost; a later successful sync doesn't make them durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing an existing file with the new name.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's file names durable.
    ///
    /// # Errors
    ///
    /// Fails if file names may be lost.
    fn sync_dir(&mut self) -> io::Result<()>;
}
