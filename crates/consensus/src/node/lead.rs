//! A leader's timers, proposals and commit index.

use std::time::Duration;

use std::mem;

use bytes::Bytes;

use crate::action::Action;
use crate::action::Rejection;
use crate::action::StepDown;
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
    /// Processes a leader's timers: check-quorum, stalled writes, heartbeats and transfers.
    pub(super) fn tick_leader(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if self.now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = self.now + self.settings.heartbeat_interval;
        if leader
            .transfer
            .as_ref()
            .is_some_and(|t| t.deadline <= self.now)
        {
            leader.transfer = None;
        }
        let confirmed = quorum::has_election_quorum(self.log.config(), |id| self.is_active(id));
        if !confirmed {
            self.step_down(StepDown::NoQuorum);
        } else if self.is_write_stalled() {
            self.step_down(StepDown::WriteStalled);
        } else {
            self.broadcast_heartbeat();
        }
    }

    /// Whether a write has been in flight for at least the write timeout, and for longer than the
    /// disk's last write makes likely.
    pub(super) fn is_write_stalled(&self) -> bool {
        self.persistence
            .is_write_stalled(self.now, self.settings.write_timeout)
    }

    /// Whether a voter is this leader or has responded to it within the minimum election timeout.
    pub(super) fn is_active(&self, id: ReplicaId) -> bool {
        let since = self.now.before(self.settings.election_timeout);
        let State::Leader(leader) = &self.state else {
            return false;
        };
        id == self.id || leader.responded_since(id, since)
    }

    /// Returns the voters that have not responded to this leader for `timeout`; empty if this
    /// replica is not the leader.
    #[must_use]
    pub fn unresponsive_voters(&self, timeout: Duration) -> Vec<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let since = self.now.before(timeout);
        let voters = self.log.config().voters.keys().copied();
        voters
            .filter(|id| *id != self.id && !leader.responded_since(*id, since))
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
            self.actions.push(Action::Send(self.message(*to, body)));
        }
    }

    /// The size of the entries after `from` up to `to`, in bytes.
    pub(super) fn bytes_between(&self, from: Index, to: Index) -> usize {
        let entries = (from.0 + 1..=to.0).filter_map(|i| self.log.get(Index(i)));
        entries.map(Entry::size).sum()
    }

    pub(super) fn append_noop(&mut self) {
        self.append(Payload::Noop);
    }

    /// Appends an entry in the leader's term.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last().index.next(),
            payload,
        };
        let index = entry.index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size();
        }
        self.log.push(entry);
        index
    }

    /// Appends a configuration, which takes effect immediately.
    pub(super) fn append_config(&mut self, config: Config) -> Index {
        let index = self.append(Payload::Config(config));
        self.commit_outdated = true;
        if let State::Leader(leader) = &mut self.state {
            leader.update_peers(self.id, self.log.config(), index, self.now);
        }
        index
    }

    pub(super) fn propose(&mut self, ticket: Ticket, data: Bytes) {
        if let Err(reason) = self.check_proposal() {
            return self.reject(ticket, reason);
        }
        let index = self.append(Payload::Data(data));
        if let State::Leader(leader) = &mut self.state {
            leader.proposals.insert(index, ticket);
        }
    }

    /// Returns the leader state; fails if this replica is not the leader or a transfer is in
    /// progress.
    pub(super) fn require_leader(&self) -> Result<&Leader, Rejection> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_some() => Err(Rejection::Transferring),
            State::Leader(leader) => Ok(leader),
            _ => Err(Rejection::NotLeader(self.leader_id())),
        }
    }

    fn check_proposal(&self) -> Result<(), Rejection> {
        let leader = self.require_leader()?;
        if leader.uncommitted_bytes >= self.settings.max_uncommitted_bytes {
            return Err(Rejection::Busy);
        }
        let lacking = quorum::region_without_majority(self.log.config(), |id| self.is_active(id));
        lacking.map_or(Ok(()), |region| Err(Rejection::RegionDown(region)))
    }

    /// Whether the leader has committed an entry of its own term.
    pub(super) fn is_ready(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Advances the commit index, then applies entries.
    pub(super) fn advance_commit(&mut self) {
        if self.stopped {
            return;
        }
        if let State::Leader(leader) = &self.state
            && mem::take(&mut self.commit_outdated)
        {
            let matched = |id| self.matched(leader, id);
            let index = quorum::quorum_index(self.log.config(), matched);
            self.commit_to(index);
        }
        self.apply();
    }

    /// A replica's match index; the leader's own entries count once they are synced.
    fn matched(&self, leader: &Leader, id: ReplicaId) -> Index {
        if id == self.id {
            self.persistence.durable()
        } else {
            leader.matched(id)
        }
    }

    /// Commits up to `index` if its entry has the current term; earlier terms' entries are
    /// committed only along with it.
    fn commit_to(&mut self, index: Index) {
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        let committed_bytes = self.bytes_between(self.commit, index);
        self.commit = index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes -= committed_bytes;
        }
    }

    /// Completes the proposals and reads whose entries have been applied.
    pub(super) fn complete_tickets(&mut self) {
        if let State::Leader(leader) = &mut self.state {
            let remaining = leader.proposals.split_off(&self.applied.next());
            let done = mem::replace(&mut leader.proposals, remaining);
            for (index, ticket) in done {
                self.actions.push(Action::Committed { ticket, index });
            }
        }
        self.local_reads
            .complete_applied(self.applied, &mut self.actions);
    }

    /// Rejects all pending requests of a leader that steps down.
    pub(super) fn reject_pending_requests(&mut self, leader: Leader) {
        let changes = leader.pending_change.map(|c| c.ticket);
        for ticket in leader.proposals.into_values().chain(changes) {
            self.reject(ticket, Rejection::Uncertain);
        }
        let reads = leader.reads.in_round.into_iter().chain(leader.reads.queued);
        for read in reads.filter(|r| r.reader == Reader::Local) {
            self.reject(read.ticket, Rejection::NotLeader(None));
        }
    }
}
