//! Requests on their way into the log.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use consensus::Action;
use consensus::Change;
use consensus::Event;
use consensus::ReplicaId;
use prost::Message;
use tokio::sync::oneshot;
use wire::catalogue::ChangeReply;
use wire::control::Membership;
use wire::control::MembershipRefused;
use wire::control::membership;
use wire::control::membership_reply;
use wire::ledger::Expire;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Command;
use wire::replica::ask;
use wire::replica::ask_reply;
use wire::replica::command::Kind;

use crate::convert;
use crate::convert::ConvertError;
use crate::driver::EXPIRY;
use crate::driver::PENDING_AFTER;
use crate::driver::Task;
use crate::tickets;
use crate::tickets::Open;

/// Requests that wait for the write before them; further ones are declined.
const MAX_WAITING: usize = 16_384;

impl Task {
    /// Takes a request; it waits while its group of commands is full.
    pub(super) fn ask(&mut self, ask: Ask, reply: oneshot::Sender<AskReply>) {
        if self.admitted < self.parts.group {
            return self.admit(ask, reply);
        }
        if self.waiting.len() < MAX_WAITING {
            return self.waiting.push_back((ask, reply));
        }
        let kind = Some(tickets::declined(None, false, "busy"));
        let _ = reply.send(AskReply { kind });
    }

    /// Takes requests that waited for the write before them.
    pub(super) fn admit_waiting(&mut self) {
        while self.admitted < self.parts.group {
            let Some((ask, reply)) = self.waiting.pop_front() else {
                return;
            };
            self.admit(ask, reply);
        }
    }

    fn admit(&mut self, ask: Ask, reply: oneshot::Sender<AskReply>) {
        match ask.kind {
            Some(ask::Kind::Change(change)) => match self.parts.state_machine.known(&change) {
                Some(known) => answer(reply, known),
                None => self.propose(Kind::Change(change), reply),
            },
            Some(ask::Kind::Ledger(command)) => self.propose(Kind::Ledger(command), reply),
            Some(ask::Kind::Membership(change)) => self.change_group(&change, reply),
            Some(ask::Kind::Table(table)) => self.propose(Kind::Table(table), reply),
            Some(ask::Kind::Instance(instance)) => self.propose(Kind::Instance(instance), reply),
            Some(ask::Kind::Evacuation(order)) => self.propose(Kind::Evacuation(order), reply),
            Some(ask::Kind::Join(replica)) => self.take_in(&replica, reply),
            None => {
                let kind = Some(tickets::declined(None, false, "empty"));
                let _ = reply.send(AskReply { kind });
            }
        }
    }

    fn propose(&mut self, kind: Kind, reply: oneshot::Sender<AskReply>) {
        let data = self.command(kind);
        let ticket = self.tickets.open(Open::Command(reply));
        let before = self.actions.len();
        self.step(Event::Propose { ticket, data });
        let refused = self.actions[before..]
            .iter()
            .any(|a| matches!(a, Action::Rejected { ticket: t, .. } if *t == ticket));
        if !refused {
            self.admitted += 1;
        }
    }

    /// Stamps a command with log time, which never goes back.
    fn command(&self, kind: Kind) -> bytes::Bytes {
        let command = Command {
            now_ms: self.log_time(),
            kind: Some(kind),
        };
        command.encode_to_vec().into()
    }

    fn log_time(&self) -> u64 {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        wall.max(self.parts.state_machine.ledger().now_ms())
    }

    /// The leader moves log time on when a record is due, so that all replicas
    /// let it expire at the same place of the log.
    pub(super) fn expire(&mut self) {
        self.next_expiry = self.clock.now() + EXPIRY;
        let due = self.parts.state_machine.ledger().next_due_ms();
        if due.is_none_or(|due| due > self.log_time()) || !self.leads() {
            return;
        }
        let inner = wire::ledger::Command {
            kind: Some(wire::ledger::command::Kind::Expire(Expire {})),
        };
        let data = self.command(Kind::Ledger(inner));
        let ticket = self.tickets.open(Open::Own);
        self.step(Event::Propose { ticket, data });
    }

    fn change_group(&mut self, change: &Membership, reply: oneshot::Sender<AskReply>) {
        let change = match &change.kind {
            Some(membership::Kind::Add(replica)) => convert::member(replica).map(Change::Add),
            Some(membership::Kind::Remove(id)) => Ok(Change::Remove(ReplicaId(*id))),
            Some(membership::Kind::Evict(name)) => region(name).map(Change::Evict),
            Some(membership::Kind::Readmit(name)) => region(name).map(Change::Readmit),
            None => Err(ConvertError::Missing("change")),
        };
        let change = match change {
            Ok(change) => change,
            Err(err) => {
                let _ = reply.send(refused(&err.to_string()));
                return;
            }
        };
        let added = match &change {
            Change::Add(member) => Some(member.id),
            _ => None,
        };
        let at = self.clock.now() + PENDING_AFTER;
        let ticket = self.tickets.open(Open::Group(reply, added, at));
        self.step(Event::Change { ticket, change });
    }
}

fn region(name: &str) -> Result<RegionName, ConvertError> {
    Ok(RegionName::new(name)?)
}

/// The answer to a change of the group that can't be made.
pub(super) fn refused(reason: &str) -> AskReply {
    tickets::membership(membership_reply::Kind::Refused(MembershipRefused {
        reason: reason.to_owned(),
    }))
}

fn answer(reply: oneshot::Sender<AskReply>, known: ChangeReply) {
    let kind = Some(ask_reply::Kind::Change(known));
    let _ = reply.send(AskReply { kind });
}
