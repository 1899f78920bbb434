//! A leader's timers, proposals and commit index.

use std::time::Duration;

use std::mem;

use bytes::Bytes;

use crate::action::Action;
use crate::action::Rejection;
use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::leader::Leader;
use crate::leader::Reader;
use crate::message::Body;
use crate::quorum;

use super::Node;
use super::State;

impl Node {
    /// Looks at a leader's timers: its quorum, its disk, its heartbeat, its hand-over.
    pub(super) fn tick_leader(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now < leader.beat {
            return;
        }
        leader.beat = self.now + self.settings.heartbeat_interval;
        if leader
            .transfer
            .as_ref()
            .is_some_and(|t| t.until <= self.now)
        {
            leader.transfer = None;
        }
        let confirmed = quorum::elects(self.log.config(), |id| self.is_active(id));
        if confirmed && !self.disk_hangs() {
            self.broadcast_heartbeat();
        } else {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Whether the disk has left a write unanswered for so long that another should lead.
    pub(super) fn disk_hangs(&self) -> bool {
        self.persistence
            .hangs(self.now, self.settings.write_timeout)
    }

    /// Whether a voter is this leader or has answered it in the last election timeout.
    pub(super) fn is_active(&self, id: ReplicaId) -> bool {
        let since = self.now.before(self.settings.election_timeout);
        let State::Leader(leader) = &self.state else {
            return false;
        };
        id == self.id || leader.heard_since(id, since)
    }

    /// Voters that have not answered this leader for `span`; none elsewhere.
    #[must_use]
    pub fn unresponsive_voters(&self, span: Duration) -> Vec<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let since = self.now.before(span);
        let voters = self.log.config().voters.keys().copied();
        voters
            .filter(|id| *id != self.id && !leader.heard_since(*id, since))
            .collect()
    }

    pub(super) fn broadcast_heartbeat(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        for (to, peer) in &leader.peers {
            let body = Body::Heartbeat {
                commit: self.commit.min(peer.matched),
                round: leader.reads.round,
            };
            self.out.push(Action::Send(self.message(*to, body)));
        }
    }

    /// The entries after `from` up to `to` in bytes.
    pub(super) fn bytes_between(&self, from: Index, to: Index) -> usize {
        let entries = (from.0 + 1..=to.0).filter_map(|i| self.log.get(Index(i)));
        entries.map(Entry::size).sum()
    }

    pub(super) fn append_noop(&mut self) {
        self.append(Payload::Noop);
    }

    /// Appends an entry of the leader's term.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last().index.next(),
            payload,
        };
        let index = entry.index;
        if let State::Leader(leader) = &mut self.state {
            leader.open_bytes += entry.size();
        }
        self.log.push(entry);
        index
    }

    /// Appends a group, which is in force from now on.
    pub(super) fn append_config(&mut self, config: Config) -> Index {
        let index = self.append(Payload::Config(config));
        self.recount = true;
        if let State::Leader(leader) = &mut self.state {
            leader.follow(self.id, self.log.config(), index, self.now);
        }
        index
    }

    pub(super) fn propose(&mut self, ticket: Ticket, data: Bytes) {
        if let Err(reason) = self.check_proposal() {
            return self.reject(ticket, reason);
        }
        let index = self.append(Payload::Data(data));
        if let State::Leader(leader) = &mut self.state {
            leader.tickets.insert(index, ticket);
        }
    }

    /// The state of a leader that isn't handing over.
    pub(super) fn check_office(&self) -> Result<&Leader, Rejection> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_some() => Err(Rejection::Transferring),
            State::Leader(leader) => Ok(leader),
            _ => Err(Rejection::NotLeader(self.leader_id())),
        }
    }

    fn check_proposal(&self) -> Result<(), Rejection> {
        let leader = self.check_office()?;
        if leader.open_bytes >= self.settings.open_bytes {
            return Err(Rejection::Busy);
        }
        let lacking = quorum::lacking_region(self.log.config(), |id| self.is_active(id));
        lacking.map_or(Ok(()), |region| Err(Rejection::RegionDown(region)))
    }

    /// Whether the leader has committed an entry of its own term.
    pub(super) fn is_ready(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Moves the commit index, then applies.
    pub(super) fn advance(&mut self) {
        if self.stopped {
            return;
        }
        if let State::Leader(leader) = &self.state
            && mem::take(&mut self.recount)
        {
            let matched = |id| self.matched(leader, id);
            let accepted = quorum::accepted(self.log.config(), matched);
            self.advance_to(accepted);
        }
        self.apply();
    }

    /// The leader's own entries count once they are synced.
    fn matched(&self, leader: &Leader, id: ReplicaId) -> Index {
        if id == self.id {
            self.persistence.durable()
        } else {
            leader.matched(id)
        }
    }

    /// Counting commits only an entry of the own term, and all before it.
    fn advance_to(&mut self, accepted: Index) {
        if accepted <= self.commit || self.log.term(accepted) != Some(self.hard_state.term) {
            return;
        }
        let closed = self.bytes_between(self.commit, accepted);
        self.commit = accepted;
        if let State::Leader(leader) = &mut self.state {
            leader.open_bytes -= closed;
        }
    }

    /// Answers the proposals whose entries were applied.
    pub(super) fn finish_tickets(&mut self) {
        if let State::Leader(leader) = &mut self.state {
            let open = leader.tickets.split_off(&self.applied.next());
            let done = mem::replace(&mut leader.tickets, open);
            for (index, ticket) in done {
                self.out.push(Action::Committed { ticket, index });
            }
        }
        self.asks.release(self.applied, &mut self.out);
    }

    /// Answers all that a leader which steps down had open.
    pub(super) fn retire(&mut self, leader: Leader) {
        let changes = leader.change.map(|c| c.ticket);
        for ticket in leader.tickets.into_values().chain(changes) {
            self.reject(ticket, Rejection::Uncertain);
        }
        let reads = leader.reads.open.into_iter().chain(leader.reads.waiting);
        for read in reads.filter(|r| r.reader == Reader::Own) {
            self.reject(read.ticket, Rejection::NotLeader(None));
        }
    }
}
