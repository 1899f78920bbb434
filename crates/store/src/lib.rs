//! A replica's data folder: identity, hard state, log and snapshots.
//!
//! All I/O goes through a [`Disk`]; tests use one in memory that loses unsynced data
//! and injects faults. The log is a sequence of segment files of checksummed frames.
//! A frame contains one [`Batch`], and a frame is synced before the next one is
//! written. An invalid frame followed by a valid one is therefore damage, and an
//! invalid frame at the end of the log is an incomplete write that was never
//! acknowledged.
//!
//! [`Batch`]: wire::store::Batch

pub mod disk;
pub mod error;
pub mod folder;
pub mod frame;
pub mod memory;
pub mod replay;
pub mod snapshot;
pub mod store;

pub use disk::Disk;
pub use error::StoreError;
pub use folder::Folder;
pub use memory::MemoryDisk;
pub use store::Options;
pub use store::Recovered;
pub use store::Store;
