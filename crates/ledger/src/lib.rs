//! At-most-once execution: a ledger of idempotency keys.
//!
//! A deterministic state machine that the replicated log drives. Every replica
//! applies the same commands at the same log times, so that all of them have
//! byte-identical snapshots. The ledger reads no clock: the leader stamps each
//! command, and the ledger's time is the maximum of all stamps so far.
//!
//! Invariants, for every sequence of commands:
//! - at most one claim of a key is granted at a time;
//! - once a key is done or unknown, no claim of it is granted while its record is
//!   stored; if the key is timed (contains its creation time), none is granted
//!   afterwards either;
//! - a settlement affects only the claim whose id it carries.

pub mod key;
pub mod limits;
pub mod machine;
pub mod record;
pub mod snapshot;

pub use key::Key;
pub use limits::Limits;
pub use machine::Counts;
pub use machine::Ledger;
pub use machine::Reply;
pub use record::Record;
pub use record::RecordState;
pub use snapshot::RestoreError;
