//! Who is there: instances of upstreams and the system's own hosts, with leases.
//!
//! Pure state machines. A directory that hears an instance or a gateway keeps
//! its lease and is its *home*. The home publishes one [`partition::Partition`]:
//! the records whose leases it keeps, numbered by a cursor. Other directories
//! keep copies. A heartbeat changes no partition, so it travels no further than
//! the home; what travels is each change, once, and for each home a short
//! statement how long ago it was heard. A copy counts only while its home was
//! heard of lately: a home that was cut off or died can't keep its records alive.
//!
//! [`members::Members`] puts the partitions together and decides what is alive.
//! [`confirm::Standing`] keeps the catalogue version and when a quorum confirmed it.

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
pub use confirm::Standing;
pub use lease::AnnounceError;
pub use lease::Heard;
pub use members::Limits;
pub use members::Members;
pub use members::Swept;
pub use partition::Delta;
pub use partition::Partition;
pub use record::Host;
pub use record::HostPhase;
pub use record::Instance;
pub use record::Key;
pub use record::Phase;
pub use record::Rank;
pub use record::Record;
