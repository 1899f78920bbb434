//! A replica's data folder: identity, hard state, log and snapshots.
//!
//! All I/O goes through a [`Disk`]; tests use one in memory that loses unsynced data
//! and injects faults. The log is a sequence of segment files of checksummed frames.
//! A frame contains one [`Batch`], and a frame is synced before the next one is
//! written. An invalid frame followed by a valid one is therefore damage, and an
//! invalid frame at the end of the log is an incomplete write that was never
//! acknowledged.
//!
//! After a loss of power each name that was created, renamed or removed since the folder was
//! last synced is there or gone by itself. So nothing is removed before what makes it obsolete
//! is synced with its name, and files whose removal was lost are recognised and ignored.
//!
//! [`Batch`]: wire::store::Batch

pub mod disk;
pub mod error;
pub mod folder;
pub mod frame;
pub mod memory;
pub mod reader;
pub mod replay;
pub mod segment;
pub mod snapshot;
pub mod store;

pub use disk::Disk;
pub use error::StoreError;
pub use folder::Folder;
pub use memory::MemoryDisk;
pub use store::Options;
pub use store::Recovered;
pub use store::Store;
