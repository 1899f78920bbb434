//! Proposes requests to the replicated log.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use consensus::Action;
use consensus::Change;
use consensus::Event;
use consensus::ReplicaId;
use prost::Message;
use tokio::sync::oneshot;
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
use crate::driver::Driver;
use crate::driver::EXPIRY_INTERVAL;
use crate::driver::PENDING_AFTER;
use crate::tickets;
use crate::tickets::OpenRequest;

/// Maximum number of requests queued behind the current write; further ones are declined.
const MAX_QUEUED: usize = 16_384;

impl Driver {
    /// Proposes a request, or queues it while the current write is full.
    pub(super) fn ask(&mut self, request: Ask, reply: oneshot::Sender<AskReply>) {
        if self.admitted < self.parts.max_write_commands {
            return self.admit(request, reply);
        }
        if self.queued.len() < MAX_QUEUED {
            return self.queued.push_back((request, reply));
        }
        let kind = Some(tickets::declined(None, false, "busy"));
        let _ = reply.send(AskReply { kind });
    }

    /// Proposes queued requests until the next write is full.
    pub(super) fn admit_queued(&mut self) {
        while self.admitted < self.parts.max_write_commands {
            let Some((request, reply)) = self.queued.pop_front() else {
                return;
            };
            self.admit(request, reply);
        }
    }

    fn admit(&mut self, request: Ask, reply: oneshot::Sender<AskReply>) {
        match request.kind {
            Some(ask::Kind::Change(change)) => match self.parts.state_machine.known(&change) {
                Some(known) => send_reply(reply, ask_reply::Kind::Change(known)),
                None => self.propose(Kind::Change(change), reply),
            },
            Some(ask::Kind::Ledger(command)) => self.propose(Kind::Ledger(command), reply),
            Some(ask::Kind::Membership(change)) => self.change_group(&change, reply),
            Some(ask::Kind::Table(table)) => match self.parts.state_machine.known_table(&table) {
                Some(known) => send_reply(reply, ask_reply::Kind::Table(known)),
                None => self.propose(Kind::Table(table), reply),
            },
            Some(ask::Kind::Instance(instance)) => self.propose(Kind::Instance(instance), reply),
            Some(ask::Kind::Instances(instances)) => {
                self.propose(Kind::Instances(instances), reply);
            }
            Some(ask::Kind::Evacuation(order)) => self.propose(Kind::Evacuation(order), reply),
            Some(ask::Kind::Join(replica)) => self.handle_join(&replica, reply),
            None => {
                let kind = Some(tickets::declined(None, false, "empty"));
                let _ = reply.send(AskReply { kind });
            }
        }
    }

    fn propose(&mut self, kind: Kind, reply: oneshot::Sender<AskReply>) {
        let data = self.command(kind);
        let ticket = self.tickets.open(OpenRequest::Command(reply));
        let before = self.actions.len();
        self.step(Event::Propose { ticket, data });
        let refused = self.actions[before..]
            .iter()
            .any(|a| matches!(a, Action::Rejected { ticket: t, .. } if *t == ticket));
        if !refused {
            self.admitted += 1;
        }
    }

    /// Encodes a command with the current log time.
    fn command(&self, kind: Kind) -> bytes::Bytes {
        let command = Command {
            now_ms: self.log_time_ms(),
            kind: Some(kind),
        };
        command.encode_to_vec().into()
    }

    /// The wall clock in ms since the Unix epoch, but never less than the time of an
    /// applied entry.
    fn log_time_ms(&self) -> u64 {
        let wall_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_ms = u64::try_from(wall_ms.as_millis()).unwrap_or(u64::MAX);
        wall_ms.max(self.parts.state_machine.ledger().now_ms())
    }

    /// On the leader, proposes an `Expire` command when a ledger record is due, so that
    /// all replicas expire it at the same log index.
    pub(super) fn propose_expiry(&mut self) {
        self.next_expiry_check = self.clock.now() + EXPIRY_INTERVAL;
        let due_ms = self.parts.state_machine.ledger().next_expiry_ms();
        if due_ms.is_none_or(|due_ms| due_ms > self.log_time_ms()) || !self.is_leader() {
            return;
        }
        let ledger_command = wire::ledger::Command {
            kind: Some(wire::ledger::command::Kind::Expire(Expire {})),
        };
        let data = self.command(Kind::Ledger(ledger_command));
        let ticket = self.tickets.open(OpenRequest::Internal);
        self.step(Event::Propose { ticket, data });
    }

    fn change_group(&mut self, change: &Membership, reply: oneshot::Sender<AskReply>) {
        let change = match &change.kind {
            Some(membership::Kind::Add(replica)) => convert::member(replica).map(Change::Add),
            Some(membership::Kind::Remove(id)) => Ok(Change::Remove(ReplicaId(*id))),
            Some(membership::Kind::Evict(name)) => region_name(name).map(Change::Evict),
            Some(membership::Kind::Readmit(name)) => region_name(name).map(Change::Readmit),
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
        let pending_at = self.clock.now() + PENDING_AFTER;
        let ticket = self
            .tickets
            .open(OpenRequest::Membership(reply, added, pending_at));
        self.step(Event::Change { ticket, change });
    }
}

fn region_name(name: &str) -> Result<RegionName, ConvertError> {
    Ok(RegionName::new(name)?)
}

/// The reply to a refused membership change.
pub(super) fn refused(reason: &str) -> AskReply {
    tickets::membership(membership_reply::Kind::Refused(MembershipRefused {
        reason: reason.to_owned(),
    }))
}

fn send_reply(reply: oneshot::Sender<AskReply>, kind: ask_reply::Kind) {
    let _ = reply.send(AskReply { kind: Some(kind) });
}
