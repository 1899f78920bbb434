//! Log replication on the leader.

use base::prelude::*;

use crate::action::Action;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::progress::Progress;
use crate::progress::ReplicationState;
use crate::settings::Settings;

use super::Node;
use super::State;

/// The parts of a leader's state needed to replicate to one follower.
struct Replicator<'a> {
    id: ReplicaId,
    term: Term,
    log: &'a Log,
    settings: &'a Settings,
    commit: Index,
    /// The last entry included in a write. Later entries are held back, so that a batch for
    /// one write is also sent in one append.
    limit: Index,
    now: Moment,
    actions: &'a mut Vec<Action>,
}

impl Node {
    /// Sends each follower the entries or snapshot chunks that flow control allows.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut replicator = Replicator {
            id: self.id,
            term: self.hard_state.term,
            log: &self.log,
            settings: &self.settings,
            commit: self.commit,
            limit: self.persistence.last_written(),
            now: self.now,
            actions: &mut self.actions,
        };
        for (to, peer) in &mut leader.peers {
            replicator.replicate_to(*to, peer);
        }
    }
}

impl Replicator<'_> {
    fn replicate_to(&mut self, to: ReplicaId, peer: &mut Progress) {
        self.restart_stalled(peer);
        if peer.next < self.log.first() && !matches!(peer.state, ReplicationState::Snapshot { .. })
        {
            peer.state = ReplicationState::Snapshot {
                snapshot: self.log.snapshot().clone(),
                offset: 0,
                sent_at: None,
            };
        }
        match peer.state {
            ReplicationState::Probe { sent_at } => self.send_probe(to, peer, sent_at),
            ReplicationState::Replicate { .. } => self.send_appends(to, peer),
            ReplicationState::Snapshot { .. } => self.send_chunk(to, peer),
        }
    }

    /// Returns to probing if a follower has stopped responding, and releases its snapshot.
    fn restart_stalled(&self, peer: &mut Progress) {
        let stalled = match &peer.state {
            ReplicationState::Probe { .. } => false,
            ReplicationState::Replicate {
                in_flight,
                last_progress,
            } => !in_flight.is_empty() && self.is_overdue(*last_progress),
            ReplicationState::Snapshot { .. } => {
                self.now.since(peer.last_response) >= self.settings.election_timeout * 2
            }
        };
        if stalled {
            let in_snapshot = matches!(peer.state, ReplicationState::Snapshot { .. });
            peer.start_probe(if in_snapshot {
                self.log.last().index.next()
            } else {
                peer.matched.next()
            });
        }
    }

    fn is_overdue(&self, sent_at: Moment) -> bool {
        self.now.since(sent_at) >= self.settings.election_timeout / 2
    }

    /// Sends a probe. The first one carries entries; retries are empty.
    fn send_probe(&mut self, to: ReplicaId, peer: &mut Progress, sent_at: Option<Moment>) {
        if sent_at.is_some_and(|moment| !self.is_overdue(moment)) {
            return;
        }
        peer.state = ReplicationState::Probe {
            sent_at: Some(self.now),
        };
        let limit = if sent_at.is_none() {
            self.limit
        } else {
            peer.next.previous()
        };
        self.send_append(to, peer.next, limit);
    }

    fn send_appends(&mut self, to: ReplicaId, peer: &mut Progress) {
        let ReplicationState::Replicate {
            in_flight,
            last_progress,
        } = &mut peer.state
        else {
            return;
        };
        while peer.next <= self.limit && in_flight.len() < self.settings.max_in_flight_appends {
            let last = self.send_append(to, peer.next, self.limit);
            if in_flight.is_empty() {
                *last_progress = self.now;
            }
            in_flight.push_back(last);
            peer.next = last.next();
        }
    }

    /// Sends entries from `next` on and returns the index of the last one sent.
    fn send_append(&mut self, to: ReplicaId, next: Index, limit: Index) -> Index {
        let index = next.previous();
        let previous = Position {
            term: self.log.term(index).unwrap_or_default(),
            index,
        };
        let entries = self.log.slice(next, limit, self.settings.max_batch_bytes);
        let last = entries.last().map_or(index, |e| e.index);
        let body = Body::Append {
            previous,
            entries,
            commit: self.commit,
        };
        self.send(to, body);
        last
    }

    fn send_chunk(&mut self, to: ReplicaId, peer: &mut Progress) {
        let ReplicationState::Snapshot {
            snapshot,
            offset,
            sent_at,
        } = &mut peer.state
        else {
            return;
        };
        if sent_at.is_some_and(|moment| !self.is_overdue(moment)) {
            return;
        }
        *sent_at = Some(self.now);
        let end = snapshot
            .data
            .len()
            .min(*offset + self.settings.max_chunk_bytes);
        let body = Body::Chunk {
            position: snapshot.position,
            config: snapshot.config.clone(),
            total: snapshot.data.len() as u64,
            offset: *offset as u64,
            data: snapshot.data.slice(*offset..end),
        };
        self.send(to, body);
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term: self.term,
            body,
        };
        self.actions.push(Action::Send(message));
    }
}
