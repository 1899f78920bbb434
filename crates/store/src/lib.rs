//! A replica's data folder: identity, hard state, log and snapshots.
//!
//! Everything goes through a [`Disk`], which tests replace by one in memory
//! that forgets what wasn't synced and fails on demand. The log is a row of
//! segment files that hold checksummed frames. One frame is one [`Batch`],
//! and the next frame is begun only after the one before was synced. So a bad
//! frame with a good one behind it is damage, and a bad one at the very end is
//! a write that a crash cut short and that nobody was ever told of.
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
