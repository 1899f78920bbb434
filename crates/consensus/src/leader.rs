//! What a replica knows only while it leads.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::config::Change;
use crate::config::Config;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::progress::Progress;
use crate::quorum;

/// A change of the group that someone waits for.
#[derive(Debug)]
pub(crate) struct OpenChange {
    pub(crate) ticket: Ticket,
    pub(crate) change: Change,
}

/// Leadership on its way to another voter.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) to: ReplicaId,
    /// When the leader gives up and serves on.
    pub(crate) until: Moment,
    /// Whether the voter was asked to campaign.
    pub(crate) asked: bool,
}

/// Who asked for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reader {
    /// This replica's adapter.
    Own,
    /// A follower.
    Peer(ReplicaId),
}

/// A read that waits for a round of heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    pub(crate) reader: Reader,
    pub(crate) ticket: Ticket,
}

/// Reads at the leader: those of the round under way, and those that came after it began.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    pub(crate) round: u64,
    pub(crate) index: Index,
    pub(crate) open: Vec<Read>,
    pub(crate) waiting: Vec<Read>,
}

/// A leader's state.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// When the next heartbeat is due.
    pub(crate) beat: Moment,
    pub(crate) tickets: BTreeMap<Index, Ticket>,
    /// Uncommitted entries in bytes.
    pub(crate) open_bytes: usize,
    pub(crate) reads: Reads,
    pub(crate) change: Option<OpenChange>,
    pub(crate) transfer: Option<Transfer>,
}

impl Leader {
    /// A new leader whose log ends at `last`, counting every member as heard now.
    pub(crate) fn new(id: ReplicaId, config: &Config, last: Index, now: Moment) -> Self {
        let mut leader = Self {
            peers: BTreeMap::new(),
            beat: now,
            tickets: BTreeMap::new(),
            open_bytes: 0,
            reads: Reads::default(),
            change: None,
            transfer: None,
        };
        leader.follow(id, config, last, now);
        leader
    }

    /// Brings the followers in line with the group.
    pub(crate) fn follow(&mut self, id: ReplicaId, config: &Config, last: Index, now: Moment) {
        self.peers.retain(|peer, _| config.member(*peer).is_some());
        for member in config.members().filter(|m| m.id != id) {
            let fresh = || Progress::new(last.next(), now);
            self.peers.entry(member.id).or_insert_with(fresh);
        }
    }

    /// Whether the peer answered since `moment`.
    pub(crate) fn heard_since(&self, peer: ReplicaId, moment: Moment) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.heard >= moment)
    }

    /// The follower's known index, 0 for a stranger.
    pub(crate) fn matched(&self, peer: ReplicaId) -> Index {
        self.peers
            .get(&peer)
            .map_or(Index::default(), |p| p.matched)
    }

    /// Whether a quorum has answered the round of reads under way.
    pub(crate) fn is_confirmed(&self, id: ReplicaId, config: &Config) -> bool {
        let answered = |peer: &Progress| peer.round >= self.reads.round;
        quorum::elects(config, |voter| {
            voter == id || self.peers.get(&voter).is_some_and(answered)
        })
    }
}
