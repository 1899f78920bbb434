//! Messages, and a follower's side of the log.

use bytes::Bytes;
use bytes::BytesMut;

use crate::action::Fault;
use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::message::Body;
use crate::message::Message;
use crate::stored::Snapshot;

use super::Node;
use super::State;

/// A snapshot that is coming in parts.
#[derive(Debug)]
pub(super) struct Incoming {
    position: Position,
    data: BytesMut,
}

/// One part of a snapshot.
struct Part {
    position: Position,
    config: Config,
    total: u64,
    offset: u64,
    data: Bytes,
}

impl Node {
    pub(super) fn receive(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        match message.body {
            Body::PreVote { last } => self.receive_pre_vote(&message, last),
            Body::PreVoteReply { granted: true } => self.receive_pre_vote_reply(&message, true),
            Body::Vote { last, transfer } => self.receive_vote(&message, last, transfer),
            _ if message.term < self.hard_state.term => self.refuse_stale(&message),
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => {
                self.receive_leader(message);
            }
            _ => self.receive_reply(message),
        }
    }

    /// Tells a leader of a past term that its term is over; other stale messages are dropped.
    fn refuse_stale(&mut self, message: &Message) {
        let leads = matches!(
            message.body,
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. }
        );
        if leads {
            let body = Body::Refused {
                previous: Index::default(),
                hint: Index::default(),
            };
            self.send_synced(message.from, body, Index::default());
        }
    }

    fn receive_leader(&mut self, message: Message) {
        let from = message.from;
        self.become_follower(message.term, Some(from));
        self.heard = Some(self.now);
        self.draw_timeout();
        match message.body {
            Body::Append {
                previous,
                entries,
                commit,
            } => self.receive_append(from, previous, entries, commit),
            Body::Heartbeat { commit, round } => self.receive_heartbeat(from, commit, round),
            Body::Chunk {
                position,
                config,
                total,
                offset,
                data,
            } => self.receive_chunk(
                from,
                Part {
                    position,
                    config,
                    total,
                    offset,
                    data,
                },
            ),
            _ => {}
        }
    }

    fn receive_reply(&mut self, message: Message) {
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            return;
        }
        let from = message.from;
        match message.body {
            Body::VoteReply { granted } => self.receive_vote_reply(from, granted),
            Body::CampaignNow => self.receive_campaign_now(from),
            Body::ReadAsk { ticket } => self.receive_ask(from, ticket),
            Body::ReadAnswer { ticket, index } => self.receive_answer(ticket, index),
            body => self.receive_progress(from, &body),
        }
    }

    /// An answer of a follower to its leader.
    fn receive_progress(&mut self, from: ReplicaId, body: &Body) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.heard = self.now;
        match *body {
            Body::Accepted { matched } => {
                peer.accept(matched, self.now);
                self.recount = true;
            }
            Body::Refused { previous, hint } => peer.refuse(previous, hint),
            Body::HeartbeatReply { round } => peer.round = peer.round.max(round),
            Body::ChunkReply { position, received } => peer.received(position, received),
            _ => {}
        }
    }

    fn receive_heartbeat(&mut self, from: ReplicaId, commit: Index, round: u64) {
        self.commit = self.commit.max(commit.min(self.log.last().index));
        self.send_synced(from, Body::HeartbeatReply { round }, Index::default());
    }

    fn receive_append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        if previous.index > self.commit && !self.log.has(previous) {
            let body = Body::Refused {
                previous: previous.index,
                hint: self.hint(previous.index),
            };
            return self.send_synced(from, body, Index::default());
        }
        let sent = Index(previous.index.0 + entries.len() as u64);
        if let Err(fault) = self.merge(entries) {
            return self.stop(fault);
        }
        let matched = sent.max(self.commit);
        self.commit = self.commit.max(commit.min(matched));
        self.send_synced(from, Body::Accepted { matched }, matched);
    }

    /// The last index before `previous` that may be equal at the leader.
    fn hint(&self, previous: Index) -> Index {
        let last = self.log.last().index;
        if last < previous {
            return last;
        }
        let term = self.log.term(previous);
        let mut index = previous.previous();
        while index > self.commit && self.log.term(index) == term {
            index = index.previous();
        }
        index
    }

    /// Takes entries that follow one which is equal; what is committed is equal too.
    fn merge(&mut self, entries: Vec<Entry>) -> Result<(), Fault> {
        for entry in entries {
            let known = entry.index < self.log.first() || self.log.has(entry.position());
            if known {
                continue;
            }
            if entry.index <= self.commit {
                return Err(Fault::CommittedConflict(entry.index));
            }
            if entry.index <= self.log.last().index {
                self.log.truncate(entry.index);
                self.persistence.truncate(entry.index);
            }
            self.log.push(entry);
        }
        Ok(())
    }

    fn receive_chunk(&mut self, from: ReplicaId, part: Part) {
        let position = part.position;
        if position.index > self.commit && self.log.has(position) {
            self.commit = position.index;
        }
        if position.index <= self.commit {
            let matched = self.commit;
            return self.send_synced(from, Body::Accepted { matched }, matched);
        }
        let received = self.collect(&part);
        if received < part.total {
            let body = Body::ChunkReply { position, received };
            return self.send_synced(from, body, Index::default());
        }
        self.install(position, part.config);
        let matched = position.index;
        self.send_synced(from, Body::Accepted { matched }, matched);
    }

    /// Adds a part that follows what has come, and returns how much has come.
    fn collect(&mut self, part: &Part) -> u64 {
        let incoming = self.incoming.take().filter(|i| i.position == part.position);
        let mut incoming = incoming.unwrap_or_else(|| Incoming {
            position: part.position,
            data: BytesMut::new(),
        });
        if incoming.data.len() as u64 == part.offset {
            incoming.data.extend_from_slice(&part.data);
        }
        let received = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        received
    }

    /// Replaces the log by the snapshot; it is handed to the adapter once it is synced.
    fn install(&mut self, position: Position, config: Config) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = Snapshot {
            position,
            config,
            data: incoming.data.freeze(),
        };
        self.commit = position.index;
        self.log.reset(snapshot.clone());
        self.persistence.install(snapshot, self.applied);
    }

    /// Takes a snapshot of the applied state into the log's place.
    pub(super) fn compact(&mut self, index: Index, data: Bytes) {
        if index > self.applied || index <= self.log.snapshot().position.index {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        let snapshot = Snapshot {
            position: Position { term, index },
            config: self.log.config_at(index).clone(),
            data,
        };
        self.log
            .compact(snapshot.clone(), self.settings.max_retained_bytes);
        self.persistence.compact(snapshot);
    }
}
