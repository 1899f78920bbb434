//! What a candidate tells the voters while it campaigns, and how they hold back for it.
//!
//! A second campaign beside the first splits the votes, and costs all voters another write.

use base::prelude::*;

use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::message::Body;
use crate::message::Message;

use super::Node;
use super::State;
use super::VOTER_SYNCS;

/// How long a replica holds back for a candidate that it has heard, as a fraction of the election
/// timeout.
const PROMISE_FACTOR: f64 = 0.5;
/// Interval at which a candidate tells the voters that it campaigns, as a fraction of the election
/// timeout: some of these messages may be lost or late.
const NOTICE_FACTOR: f64 = PROMISE_FACTOR / 4.0;

/// A candidate for which a replica holds back its own pre-votes, and what it grants others.
#[derive(Debug)]
pub(super) struct Promise {
    candidate: ReplicaId,
    /// The term in which it campaigns.
    term: Term,
    /// When it was first heard of.
    since: Moment,
    until: Moment,
}

impl Node {
    /// Reminds the voters that this replica campaigns. Until its own vote is synced, they would start
    /// campaigns of their own; after that, one that was down when it was asked for its vote is asked
    /// again.
    pub(super) fn tick_candidate(&mut self) {
        let State::Candidate {
            votes,
            is_refused: false,
        } = &self.state
        else {
            return;
        };
        if self.now < self.next_notice {
            return;
        }
        let last = self.log.last();
        let body = if votes.contains(&self.id) {
            let transfer = false;
            Body::Vote { last, transfer }
        } else {
            Body::Campaigning { last }
        };
        let voters = self.log.config().voters.keys().copied();
        let silent: Vec<ReplicaId> = voters
            .filter(|id| *id != self.id && !votes.contains(id))
            .collect();
        for voter in silent {
            self.send(voter, body.clone());
        }
        self.next_notice = self.now + self.settings.election_timeout.mul_f64(NOTICE_FACTOR);
    }

    /// Holds back for a candidate that may get this replica's vote or has it: a second campaign would
    /// split the votes and cost all voters another write. A candidate whose disk is much slower than
    /// the own one is no reason: as the leader it would make each change wait for that disk.
    pub(super) fn receive_campaigning(&mut self, message: &Message, last: Position) {
        let vote = self.hard_state.vote;
        let can_vote = message.term > self.hard_state.term
            || (message.term == self.hard_state.term
                && vote.is_none_or(|vote| vote == message.from));
        let is_bound = matches!(self.state, State::Candidate { .. }) || self.has_live_leader();
        if !can_vote || is_bound || last < self.log.last() || self.is_promised_against(message.from)
        {
            return;
        }
        self.promise_to(message.from, message.term);
        if self.is_promised() {
            self.give_way();
        }
    }

    /// Holds back for a candidate from now on, but not for much longer than two writes take here.
    pub(super) fn promise_to(&mut self, candidate: ReplicaId, term: Term) {
        let known = self.promise.as_ref();
        let is_same = |p: &&Promise| p.candidate == candidate && p.term == term;
        let since = known.filter(is_same).map_or(self.now, |p| p.since);
        let hold = self.settings.election_timeout.mul_f64(PROMISE_FACTOR);
        let latest = since + self.persistence.last_duration() * VOTER_SYNCS + hold;
        self.promise = Some(Promise {
            candidate,
            term,
            since,
            until: latest.min(self.now + hold),
        });
    }

    /// Whether this replica's vote for another is being synced.
    pub(super) fn is_voting(&self) -> bool {
        let vote = self.hard_state.vote.filter(|vote| *vote != self.id);
        vote.is_some() && !self.persistence.is_hard_state_synced()
    }

    /// Whether this replica is a candidate that no voter has refused.
    pub(super) fn is_winning(&self) -> bool {
        matches!(
            self.state,
            State::Candidate {
                is_refused: false,
                ..
            }
        )
    }

    /// Whether this replica holds back for a candidate now.
    pub(super) fn is_promised(&self) -> bool {
        self.promise
            .as_ref()
            .is_some_and(|promise| self.now < promise.until)
    }

    /// Whether this replica holds back for another candidate.
    pub(super) fn is_promised_against(&self, candidate: ReplicaId) -> bool {
        self.promise
            .as_ref()
            .is_some_and(|p| self.now < p.until && p.candidate != candidate)
    }

    /// Starts no pre-vote while this replica holds back, and gives up the one that is under way.
    fn give_way(&mut self) {
        if matches!(self.state, State::PreCandidate { .. }) {
            self.become_follower(self.hard_state.term, None);
        }
        if let Some(promise) = &self.promise {
            self.election_deadline = self.election_deadline.max(promise.until);
        }
    }
}
