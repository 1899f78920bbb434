//! The operators' catalogue: typed entries, INI files, and the state machine
//! that accepts or refuses each change as a whole.
//!
//! [`State`] is pure: the replicated log drives it, every replica applies the
//! same changes in the same order and holds the same bytes. Faults are
//! collected, so that an operator learns all of them from one answer.

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
