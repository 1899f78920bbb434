//! What a candidate tells the voters while it campaigns, and how they defer to it.
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

/// How long a replica defers to a candidate that it has heard, as a fraction of the election
/// timeout.
const DEFERRAL_FACTOR: f64 = 0.5;
/// Interval at which a candidate tells the voters that it campaigns, as a fraction of the election
/// timeout: some of these messages may be lost or late.
const NOTICE_FACTOR: f64 = DEFERRAL_FACTOR / 4.0;

/// A candidate for which a replica starts no pre-vote of its own and grants none to others.
#[derive(Debug)]
pub(super) struct Deferral {
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

    /// Defers to a candidate that may get this replica's vote or has it: a second campaign would
    /// split the votes and cost all voters another write. A candidate whose disk is much slower than
    /// the own one is no reason: as the leader it would make each change wait for that disk.
    pub(super) fn receive_campaigning(&mut self, message: &Message, last: Position) {
        let vote = self.hard_state.vote;
        let can_vote = message.term > self.hard_state.term
            || (message.term == self.hard_state.term
                && vote.is_none_or(|vote| vote == message.from));
        let is_settled = matches!(self.state, State::Candidate { .. }) || self.has_live_leader();
        if !can_vote || is_settled || last < self.log.last() || self.defers_to_another(message.from)
        {
            return;
        }
        self.defer_to(message.from, message.term);
        if self.is_deferring() {
            self.give_way();
        }
    }

    /// Defers to a candidate from now on, but not for much longer than two writes take here.
    pub(super) fn defer_to(&mut self, candidate: ReplicaId, term: Term) {
        let known = self.deferral.as_ref();
        let is_same = |p: &&Deferral| p.candidate == candidate && p.term == term;
        let since = known.filter(is_same).map_or(self.now, |p| p.since);
        let hold = self.settings.election_timeout.mul_f64(DEFERRAL_FACTOR);
        let latest = since + self.persistence.last_duration() * VOTER_SYNCS + hold;
        self.deferral = Some(Deferral {
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

    /// Whether this replica defers to a candidate now.
    pub(super) fn is_deferring(&self) -> bool {
        self.deferral
            .as_ref()
            .is_some_and(|deferral| self.now < deferral.until)
    }

    /// Whether this replica defers to another candidate.
    pub(super) fn defers_to_another(&self, candidate: ReplicaId) -> bool {
        self.deferral
            .as_ref()
            .is_some_and(|p| self.now < p.until && p.candidate != candidate)
    }

    /// Starts no pre-vote while this replica defers, and gives up the one that is under way.
    fn give_way(&mut self) {
        if matches!(self.state, State::PreCandidate { .. }) {
            self.become_follower(self.hard_state.term, None);
        }
        if let Some(deferral) = &self.deferral {
            self.election_deadline = self.election_deadline.max(deferral.until);
        }
    }
}
