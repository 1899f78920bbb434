//! The volatile state of a leader.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::config::Change;
use crate::config::Config;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::progress::Progress;
use crate::quorum;

/// A configuration change whose requester has not been answered.
#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) ticket: Ticket,
    pub(crate) change: Change,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: ReplicaId,
    /// When the leader aborts the transfer and continues.
    pub(crate) deadline: Moment,
    /// Whether the voter has been asked to campaign.
    pub(crate) requested: bool,
}

/// The origin of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reader {
    /// This replica's adapter.
    Local,
    /// A follower.
    Peer(ReplicaId),
}

/// A read that waits for a heartbeat round to confirm leadership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    pub(crate) reader: Reader,
    pub(crate) ticket: Ticket,
}

/// Reads at the leader: those of the current round, and those that arrived after it started.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    pub(crate) round: u64,
    pub(crate) index: Index,
    pub(crate) in_round: Vec<Read>,
    pub(crate) queued: Vec<Read>,
}

/// The volatile state of a leader.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    pub(crate) next_heartbeat: Moment,
    pub(crate) proposals: BTreeMap<Index, Ticket>,
    /// Size of the uncommitted entries, in bytes.
    pub(crate) uncommitted_bytes: usize,
    pub(crate) reads: Reads,
    pub(crate) pending_change: Option<PendingChange>,
    pub(crate) transfer: Option<Transfer>,
}

impl Leader {
    /// Creates the state of a new leader whose log ends at `last`. Every member counts as
    /// having responded at `now`.
    pub(crate) fn new(id: ReplicaId, config: &Config, last: Index, now: Moment) -> Self {
        let mut leader = Self {
            peers: BTreeMap::new(),
            next_heartbeat: now,
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
            reads: Reads::default(),
            pending_change: None,
            transfer: None,
        };
        leader.update_peers(id, config, last, now);
        leader
    }

    /// Adds and removes peers to match the configuration.
    pub(crate) fn update_peers(
        &mut self,
        id: ReplicaId,
        config: &Config,
        last: Index,
        now: Moment,
    ) {
        self.peers.retain(|peer, _| config.member(*peer).is_some());
        for member in config.members().filter(|m| m.id != id) {
            let new_progress = || Progress::new(last.next(), now);
            self.peers.entry(member.id).or_insert_with(new_progress);
        }
    }

    /// Whether the peer has responded at or after `moment`.
    pub(crate) fn responded_since(&self, peer: ReplicaId, moment: Moment) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|p| p.last_response >= moment)
    }

    /// The follower's match index; 0 for an unknown replica.
    pub(crate) fn matched(&self, peer: ReplicaId) -> Index {
        self.peers
            .get(&peer)
            .map_or(Index::default(), |p| p.matched)
    }

    /// Whether a quorum has answered the current heartbeat round.
    pub(crate) fn is_round_confirmed(&self, id: ReplicaId, config: &Config) -> bool {
        let answered = |peer: &Progress| peer.round >= self.reads.round;
        quorum::has_election_quorum(config, |voter| {
            voter == id || self.peers.get(&voter).is_some_and(answered)
        })
    }
}
