//! How a leader sends its log.

use base::prelude::*;

use crate::action::Action;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::progress::Flow;
use crate::progress::Progress;
use crate::settings::Settings;

use super::Node;
use super::State;

/// A leader's view from which one follower is served.
struct Feed<'a> {
    id: ReplicaId,
    term: Term,
    log: &'a Log,
    settings: &'a Settings,
    commit: Index,
    /// Entries beyond are in no write yet: what gathers for one write gathers for one append.
    limit: Index,
    now: Moment,
    out: &'a mut Vec<Action>,
}

impl Node {
    /// Sends each follower what it lacks and may have now.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut feed = Feed {
            id: self.id,
            term: self.hard_state.term,
            log: &self.log,
            settings: &self.settings,
            commit: self.commit,
            limit: self.persistence.written(),
            now: self.now,
            out: &mut self.out,
        };
        for (to, peer) in &mut leader.peers {
            feed.serve(*to, peer);
        }
    }
}

impl Feed<'_> {
    fn serve(&mut self, to: ReplicaId, peer: &mut Progress) {
        self.restart_stalled(peer);
        if peer.next < self.log.first() && !matches!(peer.flow, Flow::Snapshot { .. }) {
            peer.flow = Flow::Snapshot {
                snapshot: self.log.snapshot().clone(),
                offset: 0,
                asked: None,
            };
        }
        match peer.flow {
            Flow::Probe { asked } => self.probe(to, peer, asked),
            Flow::Stream { .. } => self.stream(to, peer),
            Flow::Snapshot { .. } => self.send_chunk(to, peer),
        }
    }

    /// Goes back to probing where answers have stopped, and lets go of the snapshot of a silent one.
    fn restart_stalled(&self, peer: &mut Progress) {
        let stalled = match &peer.flow {
            Flow::Probe { .. } => false,
            Flow::Stream { flight, since } => !flight.is_empty() && self.is_late(*since),
            Flow::Snapshot { .. } => {
                self.now.since(peer.heard) >= self.settings.election_timeout * 2
            }
        };
        if stalled {
            let silent = matches!(peer.flow, Flow::Snapshot { .. });
            peer.probe(if silent {
                self.log.last().index.next()
            } else {
                peer.matched.next()
            });
        }
    }

    fn is_late(&self, since: Moment) -> bool {
        self.now.since(since) >= self.settings.election_timeout / 2
    }

    /// The first probe carries entries; when it isn't answered, the next ones are empty.
    fn probe(&mut self, to: ReplicaId, peer: &mut Progress, asked: Option<Moment>) {
        if asked.is_some_and(|moment| !self.is_late(moment)) {
            return;
        }
        peer.flow = Flow::Probe {
            asked: Some(self.now),
        };
        let limit = if asked.is_none() {
            self.limit
        } else {
            peer.next.previous()
        };
        self.send_append(to, peer.next, limit);
    }

    fn stream(&mut self, to: ReplicaId, peer: &mut Progress) {
        let Flow::Stream { flight, since } = &mut peer.flow else {
            return;
        };
        while peer.next <= self.limit && flight.len() < self.settings.window {
            let last = self.send_append(to, peer.next, self.limit);
            if flight.is_empty() {
                *since = self.now;
            }
            flight.push_back(last);
            peer.next = last.next();
        }
    }

    /// Sends entries from `next` and returns the last one's index.
    fn send_append(&mut self, to: ReplicaId, next: Index, limit: Index) -> Index {
        let index = next.previous();
        let previous = Position {
            term: self.log.term(index).unwrap_or_default(),
            index,
        };
        let entries = self.log.slice(next, limit, self.settings.batch_bytes);
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
        let Flow::Snapshot {
            snapshot,
            offset,
            asked,
        } = &mut peer.flow
        else {
            return;
        };
        if asked.is_some_and(|moment| !self.is_late(moment)) {
            return;
        }
        *asked = Some(self.now);
        let end = snapshot.data.len().min(*offset + self.settings.chunk_bytes);
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
        self.out.push(Action::Send(message));
    }
}
