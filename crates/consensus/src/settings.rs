//! Times and bounds of a replica.

use std::time::Duration;

/// Times and bounds; the same at every replica of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout; each is drawn between it and twice it.
    ///
    /// A leader that hasn't heard a quorum for so long steps down.
    pub election_timeout: Duration,
    /// After so long without an answer to a write, a leader steps down and no one campaigns.
    pub write_timeout: Duration,
    /// Entries in one append, in bytes; a larger entry travels alone.
    pub batch_bytes: usize,
    /// Appends on the way to one follower.
    pub window: usize,
    /// One part of a snapshot, in bytes.
    pub chunk_bytes: usize,
    /// Entries that a leader holds uncommitted, in bytes; proposals beyond are rejected.
    pub open_bytes: usize,
    /// Reads that a replica holds open; those beyond are rejected.
    pub open_reads: usize,
    /// Entries kept in memory in front of the snapshot for followers that are slow, in bytes.
    pub max_retained_bytes: usize,
    /// How far behind the commit index a learner may be to become a voter, in entries.
    pub promote_gap: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(2),
            batch_bytes: 256 * 1024,
            window: 16,
            chunk_bytes: 256 * 1024,
            open_bytes: 4 * 1024 * 1024,
            open_reads: 4096,
            max_retained_bytes: 1024 * 1024,
            promote_gap: 64,
        }
    }
}
