//! What a replica keeps over a restart.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;

/// The term and the vote in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// Whom the replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// The applied state at one position, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub position: Position,
    /// The group at that position.
    pub config: Config,
    /// The state as the adapter encoded it; empty at index 0.
    pub data: Bytes,
}

/// All that a replica finds on its disk when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Minted with the data folder.
    pub id: ReplicaId,
    /// The last hard state that was synced.
    pub hard_state: HardState,
    /// The last snapshot that was synced; the founding group at index 0 before the first.
    pub snapshot: Snapshot,
    /// The log, without gaps; what the snapshot holds may still be in front.
    pub entries: Vec<Entry>,
    /// Entries up to here were known to be committed, perhaps later ones are.
    pub commit: Index,
}

impl Stored {
    /// An empty disk: the replica belongs to no group, and neither votes nor campaigns.
    #[must_use]
    pub fn empty(id: ReplicaId) -> Self {
        Self::founding(id, Config::default())
    }

    /// A member of a new group; every founder must be given the same group.
    ///
    /// The adapter saves the snapshot of index 0 before the node's first step.
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
