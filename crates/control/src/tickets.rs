//! Open requests to the replicated log.

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

/// Maximum number of outputs retained for open requests.
const MAX_OUTPUTS: usize = 65_536;

/// An open request.
#[derive(Debug)]
pub enum OpenRequest {
    /// A command for the state machine.
    Command(oneshot::Sender<AskReply>),
    /// A membership change: the replica that it adds, and the time from which it is
    /// answered as pending.
    Membership(oneshot::Sender<AskReply>, Option<ReplicaId>, Moment),
    /// Confirmation that the applied state is current.
    Read(oneshot::Sender<bool>),
    /// A proposal of the driver itself, which needs no reply.
    Internal,
}

/// All open requests, and the outputs of recently applied entries.
#[derive(Debug, Default)]
pub struct Tickets {
    next: u64,
    requests: HashMap<Ticket, OpenRequest>,
    outputs: BTreeMap<Index, Output>,
}

impl Tickets {
    /// Registers a request and returns its ticket.
    pub fn open(&mut self, request: OpenRequest) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.requests.insert(ticket, request);
        ticket
    }

    /// Retains an output while any request is open.
    pub fn store_output(&mut self, index: Index, output: Output) {
        if self.requests.is_empty() {
            self.outputs.clear();
            return;
        }
        self.outputs.insert(index, output);
        if self.outputs.len() > MAX_OUTPUTS {
            self.outputs.pop_first();
        }
    }

    /// Answers a request whose entry was applied or whose read was confirmed.
    pub fn complete(&mut self, ticket: Ticket, index: Index) {
        let output = self.outputs.remove(&index);
        match self.requests.remove(&ticket) {
            Some(OpenRequest::Command(reply)) => {
                let kind = output.map_or_else(|| declined(None, true, "stopped"), to_reply);
                let _ = reply.send(AskReply { kind: Some(kind) });
            }
            Some(OpenRequest::Membership(reply, ..)) => {
                let _ = reply.send(membership(membership_reply::Kind::Done(MembershipDone {})));
            }
            Some(OpenRequest::Read(reply)) => {
                let _ = reply.send(true);
            }
            Some(OpenRequest::Internal) | None => {}
        }
    }

    /// Removes a request that the log has rejected.
    pub fn take(&mut self, ticket: Ticket) -> Option<OpenRequest> {
        self.requests.remove(&ticket)
    }

    /// Removes additions whose reply is due at `now`.
    pub fn take_overdue_additions(
        &mut self,
        now: Moment,
    ) -> Vec<(oneshot::Sender<AskReply>, ReplicaId)> {
        let overdue: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, r)| matches!(r, OpenRequest::Membership(_, Some(_), at) if *at <= now))
            .map(|(ticket, _)| *ticket)
            .collect();
        overdue
            .iter()
            .filter_map(|ticket| match self.requests.remove(ticket) {
                Some(OpenRequest::Membership(reply, Some(id), _)) => Some((reply, id)),
                _ => None,
            })
            .collect()
    }
}

/// The reply to a request that was declined; `uncertain` if it may still take effect.
#[must_use]
pub fn declined(leader: Option<ReplicaId>, uncertain: bool, reason: &str) -> Kind {
    Kind::Declined(Declined {
        leader: leader.map_or(0, |id| id.0),
        address: String::new(),
        uncertain,
        reason: reason.to_owned(),
    })
}

/// The reply to a request that the log has rejected.
#[must_use]
pub fn rejected(reason: &Rejection) -> Kind {
    let text: &str = reason.into();
    match reason {
        Rejection::NotLeader(leader) => declined(*leader, false, text),
        Rejection::Uncertain | Rejection::Stopped | Rejection::Timeout => {
            declined(None, true, text)
        }
        _ => declined(None, false, text),
    }
}

/// The reply to a membership change.
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
