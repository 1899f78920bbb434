//! The at-most-once ledger: who may run the request of one idempotency key.
//!
//! A pure state machine that the replicated log drives. Every replica applies
//! the same commands at the same log times, so that all hold the same bytes.
//! It reads no clock: the leader stamps each command, and the ledger's time
//! never goes back, whatever the stamps say.
//!
//! What holds for every schedule of commands:
//! - at most one claim of a key is granted at a moment;
//! - once a key is done or unknown, none is granted again while its record is
//!   kept, and for a key that tells when it was minted, none ever again;
//! - a settlement touches only the claim that it names.

pub mod limits;
pub mod key;
pub mod machine;
pub mod record;
pub mod snapshot;

pub use limits::Limits;
pub use key::Key;
pub use machine::Counts;
pub use machine::Ledger;
pub use machine::Reply;
pub use record::Record;
pub use record::Standing;
pub use snapshot::RestoreError;
