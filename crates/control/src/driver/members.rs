//! Replicas that come and go without an operator.
//!
//! A replica whose disk was emptied, or that stands in for a lost host, asks to
//! be taken in. The leader lets go of the voter that it stands in for first, so
//! that the number of voters, and with it the number of losses that are borne,
//! stays the same. An emptied replica has a new identity, so it never votes as
//! its old self.

use std::time::Duration;

use consensus::Change;
use consensus::Event;
use consensus::Member;
use consensus::Rejection;
use consensus::ReplicaId;
use slog::info;
use tokio::sync::oneshot;
use wire::control::MembershipDone;
use wire::control::Replica;
use wire::control::membership_reply;
use wire::replica::AskReply;

use crate::convert;
use crate::driver::PENDING_AFTER;
use crate::driver::Task;
use crate::driver::propose::refused;
use crate::tickets::Open;
use crate::tickets::membership;

/// A voter that was silent for so long gives its place to one that asks for it.
///
/// Over three elections, so that a change of leader alone never counts as a loss.
const LOST_AFTER: Duration = Duration::from_secs(2);
/// A silent voter is let go only where more voters than these are left.
const LEAST_VOTERS: usize = 3;

impl Task {
    /// Does the next step of taking `replica` in; it asks again until it is a voter.
    pub(super) fn take_in(&mut self, replica: &Replica, reply: oneshot::Sender<AskReply>) {
        if !self.leads() {
            let leader = self.node.status().leader;
            let _ = reply.send(self.declined(&Rejection::NotLeader(leader)));
            return;
        }
        let member = match convert::member(replica) {
            Ok(member) => member,
            Err(err) => {
                let _ = reply.send(refused(&err.to_string()));
                return;
            }
        };
        let Some(change) = self.next_step(&member) else {
            let _ = reply.send(membership(membership_reply::Kind::Done(MembershipDone {})));
            return;
        };
        info!(self.parts.log, "taking in"; "id" => member.id.0,
            "address" => %member.address, "step" => format!("{change:?}"));
        let added = Some(member.id);
        let at = self.clock.now() + PENDING_AFTER;
        let ticket = self.tickets.open(Open::Group(reply, added, at));
        self.step(Event::Change { ticket, change });
    }

    /// Nothing once it votes from its address.
    fn next_step(&self, member: &Member) -> Option<Change> {
        let config = self.node.status().config;
        if config.voters.get(&member.id) == Some(member) {
            return None;
        }
        let former = config
            .members()
            .find(|m| m.address == member.address && m.id != member.id)
            .map(|m| m.id);
        let known = config.member(member.id).is_some();
        let lost = || self.node.unresponsive_voters(LOST_AFTER).into_iter().next();
        let place = former.or_else(|| if known { None } else { lost() });
        Some(place.map_or_else(|| Change::Add(member.clone()), Change::Remove))
    }

    /// Lets go of a silent voter where an even number makes it a burden only.
    pub(super) fn trim(&mut self) {
        if !self.parts.automatic || !self.leads() {
            return;
        }
        let voters = self.node.status().config.voters.len();
        if voters <= LEAST_VOTERS || voters % 2 == 1 {
            return;
        }
        if let Some(id) = self.node.unresponsive_voters(LOST_AFTER).into_iter().next() {
            self.let_go(id);
        }
    }

    fn let_go(&mut self, id: ReplicaId) {
        info!(self.parts.log, "letting go"; "id" => id.0, "silent_ms" => LOST_AFTER.as_millis());
        let ticket = self.tickets.open(Open::Own);
        let change = Change::Remove(id);
        self.step(Event::Change { ticket, change });
    }
}
