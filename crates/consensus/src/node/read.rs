//! Linearisable reads: a leader confirms itself by a round of heartbeats, a follower asks it.

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

/// One question to the leader, for all the reads that had come by then.
#[derive(Debug)]
struct Ask {
    number: Ticket,
    tickets: Vec<Ticket>,
    since: Moment,
}

/// A read whose index is known and not applied here yet.
#[derive(Debug)]
struct Ready {
    ticket: Ticket,
    index: Index,
    since: Moment,
}

/// A replica's own reads that wait: for the next question, for its answer, for the index.
#[derive(Debug, Default)]
pub(super) struct Asks {
    queued: Vec<Ticket>,
    open: Option<Ask>,
    ready: Vec<Ready>,
}

impl Asks {
    fn len(&self) -> usize {
        let open = self.open.as_ref().map_or(0, |ask| ask.tickets.len());
        self.queued.len() + open + self.ready.len()
    }

    /// When the first wait is over.
    pub(super) fn deadline(&self, settings: &Settings) -> Option<Moment> {
        let ready = self.ready.iter().map(|r| r.since);
        let first = ready.chain(self.open.iter().map(|ask| ask.since)).min()?;
        Some(first + settings.election_timeout * 2)
    }

    /// Answers the reads whose index is applied.
    pub(super) fn release(&mut self, applied: Index, out: &mut Vec<Action>) {
        self.ready.retain(|read| {
            let due = read.index <= applied;
            if due {
                let (ticket, index) = (read.ticket, read.index);
                out.push(Action::ReadReady { ticket, index });
            }
            !due
        });
    }

    /// Rejects the reads that have no index yet.
    fn reject_asked(&mut self, reason: &Rejection, out: &mut Vec<Action>) {
        let open = self.open.take().map(|ask| ask.tickets).unwrap_or_default();
        for ticket in open.into_iter().chain(self.queued.drain(..)) {
            let reason = reason.clone();
            out.push(Action::Rejected { ticket, reason });
        }
    }

    /// Rejects every read.
    pub(super) fn reject_all(&mut self, reason: &Rejection, out: &mut Vec<Action>) {
        self.reject_asked(reason, out);
        for read in self.ready.drain(..) {
            let (ticket, reason) = (read.ticket, reason.clone());
            out.push(Action::Rejected { ticket, reason });
        }
    }
}

impl Node {
    pub(super) fn read(&mut self, ticket: Ticket) {
        let leader = self.leader_id();
        if self.open_reads() >= self.settings.open_reads {
            return self.reject(ticket, Rejection::Busy);
        }
        if let State::Leader(leader) = &mut self.state {
            let reader = Reader::Own;
            leader.reads.waiting.push(Read { reader, ticket });
        } else if leader.is_some() {
            self.asks.queued.push(ticket);
        } else {
            self.reject(ticket, Rejection::NotLeader(None));
        }
    }

    fn open_reads(&self) -> usize {
        let State::Leader(leader) = &self.state else {
            return self.asks.len();
        };
        self.asks.len() + leader.reads.open.len() + leader.reads.waiting.len()
    }

    pub(super) fn receive_ask(&mut self, from: ReplicaId, ticket: Ticket) {
        let full = self.open_reads() >= self.settings.open_reads;
        if let State::Leader(leader) = &mut self.state
            && leader.peers.contains_key(&from)
            && !full
        {
            let reader = Reader::Peer(from);
            leader.reads.waiting.push(Read { reader, ticket });
        }
    }

    pub(super) fn receive_answer(&mut self, number: Ticket, index: Index) {
        let Some(ask) = self.asks.open.take_if(|ask| ask.number == number) else {
            return;
        };
        for ticket in ask.tickets {
            self.settle_read(ticket, index);
        }
    }

    /// Answers a read once its index is applied here.
    fn settle_read(&mut self, ticket: Ticket, index: Index) {
        let since = self.now;
        self.asks.ready.push(Ready {
            ticket,
            index,
            since,
        });
        self.asks.release(self.applied, &mut self.out);
    }

    /// Moves reads on: a leader's by rounds, a follower's by questions.
    pub(super) fn pump_reads(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.finish_round();
            self.start_round();
        } else {
            self.ask_leader();
        }
    }

    /// One round serves all the reads that came before it began.
    fn start_round(&mut self) {
        let settled = self.is_ready();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let reads = &mut leader.reads;
        if !settled || reads.waiting.is_empty() || !reads.open.is_empty() {
            return;
        }
        reads.round += 1;
        reads.index = self.commit;
        reads.open = mem::take(&mut reads.waiting);
        self.broadcast_heartbeat();
        self.finish_round();
    }

    fn finish_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.reads.open.is_empty() || !leader.is_confirmed(self.id, self.log.config()) {
            return;
        }
        let index = leader.reads.index;
        for read in mem::take(&mut leader.reads.open) {
            self.answer_read(read, index);
        }
    }

    fn answer_read(&mut self, read: Read, index: Index) {
        let ticket = read.ticket;
        match read.reader {
            Reader::Own => self.settle_read(ticket, index),
            Reader::Peer(to) => self.send(to, Body::ReadAnswer { ticket, index }),
        }
    }

    /// Numbers are drawn, so that an answer to this replica before a restart fits no question after it.
    fn ask_leader(&mut self) {
        let Some(to) = self.leader_id() else {
            return;
        };
        if self.asks.open.is_some() || self.asks.queued.is_empty() {
            return;
        }
        let number = Ticket(self.rng.random());
        self.asks.open = Some(Ask {
            number,
            tickets: mem::take(&mut self.asks.queued),
            since: self.now,
        });
        self.send(to, Body::ReadAsk { ticket: number });
    }

    /// Rejects the reads that another leader was asked for.
    pub(super) fn restart_asks(&mut self) {
        let reason = Rejection::NotLeader(self.leader_id());
        self.asks.reject_asked(&reason, &mut self.out);
    }

    /// Rejects the reads that have waited too long.
    pub(super) fn expire_asks(&mut self) {
        let deadline = self.asks.deadline(&self.settings);
        if deadline.is_some_and(|moment| moment <= self.now) {
            self.asks.reject_all(&Rejection::Timeout, &mut self.out);
        }
    }
}
