//! Linearisable reads (read index): a leader confirms its leadership with a heartbeat round;
//! a follower requests the read index from the leader.

use std::mem;

use base::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::Rejection;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::leader::Read;
use crate::leader::Reader;
use crate::message::Body;
use crate::settings::Settings;

use super::Node;
use super::State;

/// A read index request to the leader, which serves a batch of reads.
#[derive(Debug)]
struct ReadRequest {
    number: Ticket,
    tickets: Vec<Ticket>,
    sent_at: Moment,
}

/// A read whose index is known but not applied locally yet.
#[derive(Debug)]
struct ConfirmedRead {
    ticket: Ticket,
    index: Index,
    confirmed_at: Moment,
}

/// Reads of this replica's adapter: queued, waiting for a read index, or waiting for its entry
/// to be applied.
#[derive(Debug, Default)]
pub(super) struct LocalReads {
    queued: Vec<Ticket>,
    in_flight: Option<ReadRequest>,
    confirmed: Vec<ConfirmedRead>,
}

impl LocalReads {
    fn len(&self) -> usize {
        let in_flight = self
            .in_flight
            .as_ref()
            .map_or(0, |request| request.tickets.len());
        self.queued.len() + in_flight + self.confirmed.len()
    }

    /// When the oldest read times out.
    pub(super) fn deadline(&self, settings: &Settings) -> Option<Moment> {
        let confirmed = self.confirmed.iter().map(|r| r.confirmed_at);
        let first = confirmed
            .chain(self.in_flight.iter().map(|request| request.sent_at))
            .min()?;
        Some(first + settings.election_timeout * 2)
    }

    /// Completes the reads whose index is applied.
    pub(super) fn complete_applied(&mut self, applied: Index, actions: &mut Vec<Action>) {
        self.confirmed.retain(|read| {
            let is_applied = read.index <= applied;
            if is_applied {
                let (ticket, index) = (read.ticket, read.index);
                actions.push(Action::ReadReady { ticket, index });
            }
            !is_applied
        });
    }

    /// Rejects the reads that have no read index yet.
    fn reject_unconfirmed(&mut self, reason: &Rejection, actions: &mut Vec<Action>) {
        let in_flight = self
            .in_flight
            .take()
            .map(|request| request.tickets)
            .unwrap_or_default();
        for ticket in in_flight.into_iter().chain(self.queued.drain(..)) {
            let reason = reason.clone();
            actions.push(Action::Rejected { ticket, reason });
        }
    }

    /// Rejects every read.
    pub(super) fn reject_all(&mut self, reason: &Rejection, actions: &mut Vec<Action>) {
        self.reject_unconfirmed(reason, actions);
        for read in self.confirmed.drain(..) {
            let (ticket, reason) = (read.ticket, reason.clone());
            actions.push(Action::Rejected { ticket, reason });
        }
    }
}

impl Node {
    pub(super) fn read(&mut self, ticket: Ticket) {
        let leader = self.leader_id();
        if self.pending_reads() >= self.settings.max_pending_reads {
            return self.reject(ticket, Rejection::Busy);
        }
        if let State::Leader(leader) = &mut self.state {
            let reader = Reader::Local;
            leader.reads.queued.push(Read { reader, ticket });
        } else if leader.is_some() {
            self.local_reads.queued.push(ticket);
        } else {
            self.reject(ticket, Rejection::NotLeader(None));
        }
    }

    fn pending_reads(&self) -> usize {
        let State::Leader(leader) = &self.state else {
            return self.local_reads.len();
        };
        self.local_reads.len() + leader.reads.in_round.len() + leader.reads.queued.len()
    }

    pub(super) fn receive_read_request(&mut self, from: ReplicaId, ticket: Ticket) {
        let is_full = self.pending_reads() >= self.settings.max_pending_reads;
        if let State::Leader(leader) = &mut self.state
            && leader.peers.contains_key(&from)
            && !is_full
        {
            let reader = Reader::Peer(from);
            leader.reads.queued.push(Read { reader, ticket });
        }
    }

    pub(super) fn receive_read_index(&mut self, number: Ticket, index: Index) {
        let Some(request) = self
            .local_reads
            .in_flight
            .take_if(|request| request.number == number)
        else {
            return;
        };
        for ticket in request.tickets {
            self.complete_when_applied(ticket, index);
        }
    }

    /// Completes a read once its index is applied locally.
    fn complete_when_applied(&mut self, ticket: Ticket, index: Index) {
        let confirmed_at = self.now;
        self.local_reads.confirmed.push(ConfirmedRead {
            ticket,
            index,
            confirmed_at,
        });
        self.local_reads
            .complete_applied(self.applied, &mut self.actions);
    }

    /// Advances pending reads: with heartbeat rounds at a leader, with read index requests at a
    /// follower.
    pub(super) fn advance_reads(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.finish_round();
            self.start_round();
        } else {
            self.request_read_index();
        }
    }

    /// Starts a heartbeat round for all queued reads.
    fn start_round(&mut self) {
        let is_ready = self.is_ready();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let reads = &mut leader.reads;
        if !is_ready || reads.queued.is_empty() || !reads.in_round.is_empty() {
            return;
        }
        reads.round += 1;
        reads.index = self.commit;
        reads.in_round = mem::take(&mut reads.queued);
        self.broadcast_heartbeat();
        self.finish_round();
    }

    fn finish_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.reads.in_round.is_empty()
            || !leader.is_round_confirmed(self.id, self.log.config())
        {
            return;
        }
        let index = leader.reads.index;
        for read in mem::take(&mut leader.reads.in_round) {
            self.answer_read(read, index);
        }
    }

    fn answer_read(&mut self, read: Read, index: Index) {
        let ticket = read.ticket;
        match read.reader {
            Reader::Local => self.complete_when_applied(ticket, index),
            Reader::Peer(to) => self.send(to, Body::ReadAnswer { ticket, index }),
        }
    }

    /// Requests a read index from the leader.
    ///
    /// The request number is random, so that an answer to a request from before a restart
    /// matches no request after it.
    fn request_read_index(&mut self) {
        let Some(to) = self.leader_id() else {
            return;
        };
        if self.local_reads.in_flight.is_some() || self.local_reads.queued.is_empty() {
            return;
        }
        let number = Ticket(self.rng.random());
        self.local_reads.in_flight = Some(ReadRequest {
            number,
            tickets: mem::take(&mut self.local_reads.queued),
            sent_at: self.now,
        });
        self.send(to, Body::ReadAsk { ticket: number });
    }

    /// Rejects the reads that wait for a read index from the previous leader.
    pub(super) fn reject_unconfirmed_reads(&mut self) {
        let reason = Rejection::NotLeader(self.leader_id());
        self.local_reads
            .reject_unconfirmed(&reason, &mut self.actions);
    }

    /// Rejects all reads when the oldest one times out.
    pub(super) fn expire_reads(&mut self) {
        let deadline = self.local_reads.deadline(&self.settings);
        if deadline.is_some_and(|moment| moment <= self.now) {
            self.local_reads
                .reject_all(&Rejection::Timeout, &mut self.actions);
        }
    }
}
