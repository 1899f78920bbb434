//! Whether a process reaches the instances of a service, and which other process takes its
//! requests while it doesn't.
//!
//! An instance that accepts no connection may be down, or the path to it may be cut. A process
//! suspects its own path once several instances of a service accept none, and checks the others:
//! [`Path`] says when, and holds the result. While the path is cut, requests are relayed by
//! another process that reaches the instances; [`PeerSearch`] finds and selects it.
//!
//! The types are state machines without I/O; the time is an argument. [`check`] runs the checks,
//! over connections that the process makes, and [`changes`] waits for their results.

pub mod changes;
pub mod check;
pub mod path;
pub mod peer;
pub mod search;
pub mod spread;

pub use path::Belief;
pub use path::Path;
pub use peer::Candidate;
pub use peer::select_peer;
pub use search::Answer;
pub use search::ListedPeer;
pub use search::PeerCounts;
pub use search::PeerPath;
pub use search::PeerSearch;
pub use spread::interleave_domains;
