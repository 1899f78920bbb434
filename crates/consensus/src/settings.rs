//! Timeouts and limits of a replica.

use std::time::Duration;

/// Timeouts and limits, which must be equal on all replicas of a group unless they say otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The minimum election timeout; each timeout is drawn between one and two times this value.
    ///
    /// A leader that has received no response from a quorum for this time steps down
    /// (check-quorum).
    pub election_timeout: Duration,
    /// When a write has been in flight for this time, and for twice as long as the last one took, the
    /// replica doesn't campaign, and steps down if it is the leader.
    pub write_timeout: Duration,
    /// How long the first write after the start is expected to take; unlike the other settings, it
    /// depends on the replica's disk.
    pub first_write: Duration,
    /// Maximum size of the entries in one append, in bytes; a larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum number of unacknowledged appends to one follower.
    pub max_in_flight_appends: usize,
    /// Maximum size of a snapshot chunk, in bytes.
    pub max_chunk_bytes: usize,
    /// Limit on a leader's uncommitted entries, in bytes; further proposals are rejected.
    pub max_uncommitted_bytes: usize,
    /// Limit on a replica's pending reads; further reads are rejected.
    pub max_pending_reads: usize,
    /// Maximum size of the entries before the snapshot that are retained in memory for slow
    /// followers, in bytes.
    pub max_retained_bytes: usize,
    /// Maximum lag behind the commit index at which a learner is promoted to voter, in entries.
    pub max_promotion_lag: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(2),
            first_write: Duration::ZERO,
            max_batch_bytes: 256 * 1024,
            max_in_flight_appends: 16,
            max_chunk_bytes: 256 * 1024,
            max_uncommitted_bytes: 4 * 1024 * 1024,
            max_pending_reads: 4096,
            max_retained_bytes: 1024 * 1024,
            max_promotion_lag: 64,
        }
    }
}
