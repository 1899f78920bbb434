//! Membership: instances of upstreams and the system's entry hosts, with leases.
//!
//! Pure state machines. The directory that receives the announcements of an instance or a
//! gateway keeps its lease and is its *home*. The home publishes a [`partition::Partition`]
//! with the records that it leases, numbered by a cursor; other directories keep copies.
//! Heartbeats change no partition and are not replicated. Directories replicate each change
//! once, and report for each home how long ago it was seen alive. A copy counts only while
//! its home was seen within the home lease, so a home that is partitioned off or has died
//! cannot keep its records alive.
//!
//! [`members::Members`] merges the partitions and decides which records are live.
//! [`confirm::Freshness`] keeps the catalogue version and when a quorum confirmed it.

pub mod confirm;
pub mod floor;
pub mod gossip;
pub mod homes;
pub mod lease;
pub mod members;
pub mod partition;
pub mod record;
pub mod ring;

pub use confirm::Confirmed;
pub use confirm::Freshness;
pub use lease::Accepted;
pub use lease::AnnounceError;
pub use members::Limits;
pub use members::Members;
pub use members::SweepResult;
pub use partition::Delta;
pub use partition::Partition;
pub use record::Host;
pub use record::HostPhase;
pub use record::Instance;
pub use record::Key;
pub use record::Phase;
pub use record::Rank;
pub use record::Record;
