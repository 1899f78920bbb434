//! Why a data folder can't be used.

use std::io;

use quick_error::quick_error;
use strum::Display;

/// What was done to a file when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Operation {
    /// Listing the folder.
    List,
    /// Reading.
    Read,
    /// Making a file.
    Create,
    /// Writing.
    Write,
    /// Making bytes or names durable.
    Sync,
    /// Putting a finished file in place.
    Rename,
    /// Removing a file that is no longer needed.
    Remove,
}

/// What is wrong with a file that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Damage {
    /// A frame's checksum or length is wrong, and good frames follow.
    Frame,
    /// A frame's checksum is right and its message isn't.
    Message,
    /// Entries are missing between two that are there.
    Gap,
    /// A segment is missing between two that are there.
    Segment,
    /// There is a log without the identity that wrote it.
    Identity,
    /// The newest snapshot can't be read.
    Snapshot,
}

quick_error! {
    /// Why the store stops; after any of these from a write it takes no more.
    #[derive(Debug)]
    pub enum StoreError {
        /// No room is left on the disk.
        Full(name: String) {
            display("{name}: the disk is full")
        }
        /// The system refused an operation.
        Io(operation: Operation, name: String, err: io::Error) {
            source(err)
            display("{name}: {operation}: {err}")
        }
        /// What was synced before can't be read any more.
        Damaged(name: String, offset: u64, damage: Damage) {
            display("{name}: damaged at byte {offset}: {damage}")
        }
        /// An earlier write or sync failed.
        Stopped {
            display("the store stopped after an earlier failure")
        }
        /// Another process uses the folder.
        Locked(name: String) {
            display("{name}: another process uses this data folder")
        }
        /// The caller broke the order of entries.
        Order(found: u64, last: u64) {
            display("entry {found} can't follow entry {last}")
        }
    }
}

impl StoreError {
    /// The error of `operation` on `name`.
    #[must_use]
    pub fn io(operation: Operation, name: &str, err: io::Error) -> Self {
        if err.kind() == io::ErrorKind::StorageFull {
            return Self::Full(name.to_owned());
        }
        Self::Io(operation, name.to_owned(), err)
    }
}
