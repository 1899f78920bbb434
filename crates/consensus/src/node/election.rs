//! Campaigns and votes.

use std::collections::BTreeSet;
use std::mem;

use crate::action::Action;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::leader::Leader;
use crate::message::Body;
use crate::message::Message;
use crate::quorum;
use crate::stored::HardState;

use super::Node;
use super::State;

impl Node {
    /// Looks at the timers of a replica that doesn't lead.
    pub(super) fn tick_follower(&mut self) {
        self.expire_asks();
        if matches!(self.state, State::Leader(_)) || self.stopped || self.now < self.timeout {
            return;
        }
        if self.log.config().is_voter(self.id) && !self.disk_hangs() {
            self.draw_retry();
            self.pre_campaign();
        } else {
            self.draw_timeout();
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Asks for votes without touching anyone's term, so that a cut replica disturbs no one.
    fn pre_campaign(&mut self) {
        self.become_follower(self.hard_state.term, None);
        self.state = State::PreCandidate {
            votes: BTreeSet::from([self.id]),
        };
        let term = self.hard_state.term.next();
        let last = self.log.last();
        for voter in self.other_voters() {
            let mut message = self.message(voter, Body::PreVote { last });
            message.term = term;
            self.out.push(Action::Send(message));
        }
        self.count_votes();
    }

    /// Campaigns in the next term; the requests leave once the own vote is synced.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.become_follower(self.hard_state.term.next(), None);
        self.hard_state.vote = Some(self.id);
        self.state = State::Candidate {
            votes: BTreeSet::new(),
        };
        self.draw_campaign();
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_synced(voter, Body::Vote { last, transfer }, last.index);
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.config().voters.keys();
        voters.copied().filter(|id| *id != self.id).collect()
    }

    /// The own vote counts only once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        let synced = self.persistence.is_hard_synced();
        if let State::Candidate { votes } = &mut self.state
            && synced
        {
            votes.insert(self.id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let config = self.log.config();
        match &self.state {
            State::PreCandidate { votes } if quorum::elects(config, |id| votes.contains(&id)) => {
                self.campaign(false);
            }
            State::Candidate { votes }
                if votes.contains(&self.id) && quorum::elects(config, |id| votes.contains(&id)) =>
            {
                self.become_leader();
            }
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let last = self.log.last().index;
        let mut leader = Leader::new(self.id, self.log.config(), last, self.now);
        leader.open_bytes = self.bytes_between(self.commit, last);
        self.state = State::Leader(Box::new(leader));
        self.append_noop();
    }

    /// Follows `leader` in `term`, which isn't before the own one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persistence.mark_hard();
            self.persistence.forget();
            self.incoming = None;
        }
        let before = self.leader_id();
        let state = mem::replace(&mut self.state, State::Follower { leader });
        if let State::Leader(old) = state {
            self.retire(*old);
            self.draw_timeout();
        }
        if before != leader {
            self.restart_asks();
        }
    }

    /// Whether a leader was heard so lately that no campaign is due.
    fn has_leader(&self) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return true;
        }
        let heard = |moment| self.now.since(moment) < self.settings.election_timeout;
        self.leader_id().is_some() && self.heard.is_some_and(heard)
    }

    /// A replica votes only once a log entry has admitted its id.
    fn is_admitted(&self) -> bool {
        self.log.config().member(self.id).is_some()
    }

    /// Of two replicas that ask at the same time with equal logs, the one with the
    /// higher id goes first. Where no third one is up, they would else both vote for
    /// themselves, and lose an election timeout: of four restarts of two out of three
    /// replicas one took 0.9 s, the others 0.17 s.
    fn goes_first(&self, other: ReplicaId, last: Position) -> bool {
        let asks = matches!(self.state, State::PreCandidate { .. });
        asks && last == self.log.last() && self.id > other
    }

    pub(super) fn receive_pre_vote(&mut self, message: &Message, last: Position) {
        let granted = message.term > self.hard_state.term
            && !self.has_leader()
            && self.is_admitted()
            && last >= self.log.last()
            && !self.goes_first(message.from, last);
        let mut reply = self.message(message.from, Body::PreVoteReply { granted });
        if granted {
            reply.term = message.term;
        }
        self.out.push(Action::Send(reply));
    }

    pub(super) fn receive_pre_vote_reply(&mut self, message: &Message, granted: bool) {
        let current = message.term == self.hard_state.term.next();
        if let State::PreCandidate { votes } = &mut self.state
            && granted
            && current
        {
            votes.insert(message.from);
            self.count_votes();
        }
    }

    pub(super) fn receive_vote(&mut self, message: &Message, last: Position, transfer: bool) {
        if !self.is_admitted() || (self.has_leader() && !transfer) {
            return;
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
        }
        let free = self.hard_state.vote.is_none() || self.hard_state.vote == Some(message.from);
        let granted = message.term == self.hard_state.term && free && last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(message.from);
            self.persistence.mark_hard();
            self.draw_timeout();
        }
        self.send_synced(message.from, Body::VoteReply { granted }, Index::default());
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let State::Candidate { votes } = &mut self.state
            && granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }
}
