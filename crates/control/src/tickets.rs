//! Requests that the log has not answered yet.

use std::collections::BTreeMap;
use std::collections::HashMap;

use base::prelude::*;
use consensus::Index;
use consensus::Rejection;
use consensus::ReplicaId;
use consensus::Ticket;
use tokio::sync::oneshot;
use wire::control::MembershipDone;
use wire::control::MembershipReply;
use wire::control::membership_reply;
use wire::hub::Registered;
use wire::replica::AskReply;
use wire::replica::Declined;
use wire::replica::ask_reply::Kind;

use crate::state_machine::Output;

/// Outputs kept for tickets that are about to be answered.
const MAX_OUTPUTS: usize = 65_536;

/// One open request.
#[derive(Debug)]
pub enum Open {
    /// A command.
    Command(oneshot::Sender<AskReply>),
    /// A change of the group: who is added, and when it counts as pending.
    Group(oneshot::Sender<AskReply>, Option<ReplicaId>, Moment),
    /// A read.
    Read(oneshot::Sender<bool>),
    /// The driver's own command.
    Own,
}

/// All open requests, and outputs of the last entries applied.
#[derive(Debug, Default)]
pub struct Tickets {
    next: u64,
    open: HashMap<Ticket, Open>,
    outputs: BTreeMap<Index, Output>,
}

impl Tickets {
    /// Opens a request.
    pub fn open(&mut self, open: Open) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.open.insert(ticket, open);
        ticket
    }

    /// Keeps an output while any request is open.
    pub fn keep(&mut self, index: Index, output: Output) {
        if self.open.is_empty() {
            self.outputs.clear();
            return;
        }
        self.outputs.insert(index, output);
        if self.outputs.len() > MAX_OUTPUTS {
            self.outputs.pop_first();
        }
    }

    /// Answers a request whose entry was applied.
    pub fn committed(&mut self, ticket: Ticket, index: Index) {
        let output = self.outputs.remove(&index);
        match self.open.remove(&ticket) {
            Some(Open::Command(reply)) => {
                let kind = output.map_or_else(|| declined(None, true, "stopped"), to_reply);
                let _ = reply.send(AskReply { kind: Some(kind) });
            }
            Some(Open::Group(reply, ..)) => {
                let _ = reply.send(membership(membership_reply::Kind::Done(MembershipDone {})));
            }
            Some(Open::Read(reply)) => {
                let _ = reply.send(true);
            }
            Some(Open::Own) | None => {}
        }
    }

    /// Takes a request that the log has refused.
    pub fn take(&mut self, ticket: Ticket) -> Option<Open> {
        self.open.remove(&ticket)
    }

    /// Takes additions that have been open for long.
    pub fn pending(&mut self, now: Moment) -> Vec<(oneshot::Sender<AskReply>, ReplicaId)> {
        let due: Vec<Ticket> = self
            .open
            .iter()
            .filter(|(_, open)| matches!(open, Open::Group(_, Some(_), at) if *at <= now))
            .map(|(ticket, _)| *ticket)
            .collect();
        due.iter()
            .filter_map(|ticket| match self.open.remove(ticket) {
                Some(Open::Group(reply, Some(id), _)) => Some((reply, id)),
                _ => None,
            })
            .collect()
    }
}

/// The answer of a request that wasn't done.
#[must_use]
pub fn declined(leader: Option<ReplicaId>, uncertain: bool, reason: &str) -> Kind {
    Kind::Declined(Declined {
        leader: leader.map_or(0, |id| id.0),
        address: String::new(),
        uncertain,
        reason: reason.to_owned(),
    })
}

/// The answer of a request that the log has refused.
#[must_use]
pub fn rejected(reason: &Rejection) -> Kind {
    let word: &str = reason.into();
    match reason {
        Rejection::NotLeader(leader) => declined(*leader, false, word),
        Rejection::Uncertain | Rejection::Stopped | Rejection::Timeout => {
            declined(None, true, word)
        }
        _ => declined(None, false, word),
    }
}

/// The answer to a change of the group.
#[must_use]
pub fn membership(kind: membership_reply::Kind) -> AskReply {
    AskReply {
        kind: Some(Kind::Membership(MembershipReply { kind: Some(kind) })),
    }
}

fn to_reply(output: Output) -> Kind {
    match output {
        Output::Change { reply, .. } => Kind::Change(reply),
        Output::Claim(reply) => Kind::Claim(reply),
        Output::Settle(reply) => Kind::Settle(reply),
        Output::Table(reply) => Kind::Table(reply),
        Output::Instance => Kind::Instance(Registered {}),
        Output::Evacuation { reply, .. } => Kind::Evacuation(reply),
        Output::Expire => declined(None, false, "expire"),
    }
}
