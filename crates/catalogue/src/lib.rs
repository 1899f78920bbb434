//! The service catalogue, which operators edit: typed entries, INI files, and the state
//! machine that accepts or refuses each change atomically.
//!
//! [`State`] is deterministic: every replica applies the same changes of the replicated
//! log in the same order and has a byte-identical snapshot. Checks collect all faults, so
//! that one reply reports every one of them.

pub mod catalogue;
pub mod change;
pub mod diff;
pub mod entry;
pub mod fault;
pub mod file;
pub mod history;
pub mod state;

pub use catalogue::Catalogue;
pub use entry::Entry;
pub use entry::Limits;
pub use fault::Fault;
pub use fault::Field;
pub use fault::Problem;
pub use state::RestoreError;
pub use state::State;
