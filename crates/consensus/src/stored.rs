//! The state that a replica keeps across restarts.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;

/// The current term and the vote in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The candidate that the replica voted for in this term.
    pub vote: Option<ReplicaId>,
}

/// The applied state at a position, which replaces the log up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry included.
    pub position: Position,
    /// The configuration at that position.
    pub config: Config,
    /// The state in the adapter's encoding; empty at index 0.
    pub data: Bytes,
}

/// The stored state that a replica starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Generated when the data folder is created.
    pub id: ReplicaId,
    /// The last synced hard state.
    pub hard_state: HardState,
    /// The last synced snapshot; before the first one, the founding configuration at index 0.
    pub snapshot: Snapshot,
    /// The log, without gaps; it may still start with entries that the snapshot covers.
    pub entries: Vec<Entry>,
    /// The stored commit index, a lower bound of the actual one.
    pub commit: Index,
}

impl Stored {
    /// Creates the state of an empty disk: the replica belongs to no group and neither votes
    /// nor campaigns.
    #[must_use]
    pub fn empty(id: ReplicaId) -> Self {
        Self::founding(id, Config::default())
    }

    /// Creates the state of a member of a new group; all founders must get the same configuration.
    ///
    /// The adapter must store the snapshot of index 0 before the node's first step.
    #[must_use]
    pub fn founding(id: ReplicaId, config: Config) -> Self {
        Self {
            id,
            hard_state: HardState::default(),
            snapshot: Snapshot {
                config,
                ..Snapshot::default()
            },
            entries: Vec::new(),
            commit: Index::default(),
        }
    }
}
