//! The port to a data folder.

use std::io;

/// Files of one flat folder, by name.
///
/// Nothing is durable before its sync: bytes by [`Disk::sync`], names by
/// [`Disk::sync_dir`].
pub trait Disk: Send {
    /// The names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// A whole file.
    ///
    /// # Errors
    ///
    /// Fails when there is none or it can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Makes an empty file, or empties it.
    ///
    /// # Errors
    ///
    /// Fails when it can't be made.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Adds `bytes` at the end of a file; a part may be written on failure.
    ///
    /// # Errors
    ///
    /// Fails when not all bytes could be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's bytes durable.
    ///
    /// # Errors
    ///
    /// Fails when they may be lost; they then can't be relied on for good.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing one of the new name.
    ///
    /// # Errors
    ///
    /// Fails when it can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when it can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's names durable.
    ///
    /// # Errors
    ///
    /// Fails when they may be lost.
    fn sync_dir(&mut self) -> io::Result<()>;
}
