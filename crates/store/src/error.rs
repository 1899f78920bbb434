//! Errors of the store.

use std::io;

use quick_error::quick_error;
use strum::Display;

/// The file operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Operation {
    /// Listing the folder's files.
    List,
    /// Reading a file.
    Read,
    /// Creating a file or folder.
    Create,
    /// Writing to a file.
    Write,
    /// Syncing a file or the folder.
    Sync,
    /// Renaming a finished temporary file to its final name.
    Rename,
    /// Removing an obsolete file.
    Remove,
}

/// The kind of damage found in stored data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Damage {
    /// A frame's checksum or length is wrong, and the frame is not an incomplete last write.
    Frame,
    /// A frame's checksum is correct but its message can't be decoded.
    Message,
    /// Log entries are missing.
    Gap,
    /// A log segment is missing between two existing ones.
    Segment,
    /// The identity file is damaged, or missing although other files exist.
    Identity,
    /// The newest snapshot is damaged.
    Snapshot,
}

quick_error! {
    /// An error of the store. After a failed write the store accepts no more writes.
    #[derive(Debug)]
    pub enum StoreError {
        /// The disk is full.
        Full(name: String) {
            display("{name}: the disk is full")
        }
        /// An I/O operation failed.
        Io(operation: Operation, name: String, err: io::Error) {
            source(err)
            display("{name}: {operation}: {err}")
        }
        /// Data that was synced before is damaged.
        Damaged(name: String, offset: u64, damage: Damage) {
            display("{name}: damaged at byte {offset}: {damage}")
        }
        /// An earlier write or sync failed, so the store has stopped.
        Stopped {
            display("the store stopped after an earlier failure")
        }
        /// Another process has locked the folder.
        Locked(name: String) {
            display("{name}: another process uses this data folder")
        }
        /// An appended entry leaves a gap in the log or is already covered by the snapshot.
        Order(found: u64, last: u64) {
            display("log entry out of order: entry {found} can't follow entry {last}")
        }
    }
}

impl StoreError {
    /// Creates the error for a failed `operation` on the file `name`.
    #[must_use]
    pub fn io(operation: Operation, name: &str, err: io::Error) -> Self {
        if err.kind() == io::ErrorKind::StorageFull {
            return Self::Full(name.to_owned());
        }
        Self::Io(operation, name.to_owned(), err)
    }
}
