//! Message dispatch and log replication on a follower.

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

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    position: Position,
    data: BytesMut,
}

/// One chunk of a snapshot.
struct SnapshotChunk {
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
            Body::Campaigning { last } => self.receive_campaigning(&message, last),
            Body::PreVoteReply { granted: true } => self.receive_pre_vote_reply(&message, true),
            Body::Vote { last, transfer } => self.receive_vote(&message, last, transfer),
            _ if message.term < self.hard_state.term => self.reply_to_stale(&message),
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => {
                self.receive_from_leader(message);
            }
            _ => self.receive_reply(message),
        }
    }

    /// Informs a stale leader of the current term; other stale messages are ignored.
    fn reply_to_stale(&mut self, message: &Message) {
        let from_leader = matches!(
            message.body,
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. }
        );
        if from_leader {
            let body = Body::Refused {
                previous: Index::default(),
                hint: Index::default(),
            };
            self.send_synced(message.from, body, Index::default());
        }
    }

    fn receive_from_leader(&mut self, message: Message) {
        let from = message.from;
        self.become_follower(message.term, Some(from));
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
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
                SnapshotChunk {
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
            Body::ReadAsk { ticket } => self.receive_read_request(from, ticket),
            Body::ReadAnswer { ticket, index } => self.receive_read_index(ticket, index),
            body => self.receive_from_follower(from, &body),
        }
    }

    /// Handles a follower's response at the leader.
    fn receive_from_follower(&mut self, from: ReplicaId, body: &Body) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.last_response = self.now;
        match *body {
            Body::Accepted { matched } => {
                peer.handle_accepted(matched, self.now);
                self.commit_outdated = true;
            }
            Body::Refused { previous, hint } => peer.handle_refused(previous, hint),
            Body::HeartbeatReply { round } => peer.round = peer.round.max(round),
            Body::ChunkReply { position, received } => peer.handle_chunk_reply(position, received),
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
        if previous.index > self.commit && !self.log.contains(previous) {
            let body = Body::Refused {
                previous: previous.index,
                hint: self.conflict_hint(previous.index),
            };
            return self.send_synced(from, body, Index::default());
        }
        let last_sent = Index(previous.index.0 + entries.len() as u64);
        if let Err(fault) = self.merge_entries(entries) {
            return self.stop(fault);
        }
        let matched = last_sent.max(self.commit);
        self.commit = self.commit.max(commit.min(matched));
        self.send_synced(from, Body::Accepted { matched }, matched);
    }

    /// Returns the last index before `previous` that may match the leader's log.
    ///
    /// Skips all entries of the conflicting term.
    fn conflict_hint(&self, previous: Index) -> Index {
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

    /// Appends entries that follow a matching one, replacing uncommitted conflicting entries.
    ///
    /// Fails if a committed entry conflicts.
    fn merge_entries(&mut self, entries: Vec<Entry>) -> Result<(), Fault> {
        for entry in entries {
            let is_known = entry.index < self.log.first() || self.log.contains(entry.position());
            if is_known {
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

    fn receive_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let position = chunk.position;
        if position.index > self.commit && self.log.contains(position) {
            self.commit = position.index;
        }
        if position.index <= self.commit {
            let matched = self.commit;
            return self.send_synced(from, Body::Accepted { matched }, matched);
        }
        let received = self.append_chunk(&chunk);
        if received < chunk.total {
            let body = Body::ChunkReply { position, received };
            return self.send_synced(from, body, Index::default());
        }
        self.install_snapshot(position, chunk.config);
        let matched = position.index;
        self.send_synced(from, Body::Accepted { matched }, matched);
    }

    /// Appends a chunk if it is the next one, and returns the number of bytes received.
    fn append_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let incoming = self
            .incoming_snapshot
            .take()
            .filter(|i| i.position == chunk.position);
        let mut incoming = incoming.unwrap_or_else(|| IncomingSnapshot {
            position: chunk.position,
            data: BytesMut::new(),
        });
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        self.incoming_snapshot = Some(incoming);
        received
    }

    /// Replaces the log with the received snapshot, which is passed to the adapter once synced.
    fn install_snapshot(&mut self, position: Position, config: Config) {
        let Some(incoming) = self.incoming_snapshot.take() else {
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

    /// Compacts the log with a snapshot of the applied state.
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
