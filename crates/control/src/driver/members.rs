//! Automatic membership changes.
//!
//! A replica whose data folder was emptied, or that replaces a lost host, asks to join.
//! The leader first removes the voter that it replaces, so that the number of voters, and
//! thus of tolerated failures, stays the same. A replica with an emptied data folder has
//! a new id and never votes under its old one.

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
use crate::driver::Driver;
use crate::driver::PENDING_AFTER;
use crate::driver::propose::refused;
use crate::tickets::OpenRequest;
use crate::tickets::membership;

/// Time without contact after which a voter may be replaced by a joining replica.
///
/// More than three election timeouts, so that a change of leader never counts as a loss.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Groups of this many voters or fewer never lose a silent voter without a replacement.
const MIN_VOTERS: usize = 3;

impl Driver {
    /// Starts the next membership change towards adding `replica`, which repeats its
    /// request until it is a voter.
    pub(super) fn handle_join(&mut self, replica: &Replica, reply: oneshot::Sender<AskReply>) {
        if !self.is_leader() {
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
        let Some(change) = self.next_change(&member) else {
            let _ = reply.send(membership(membership_reply::Kind::Done(MembershipDone {})));
            return;
        };
        info!(self.parts.log, "taking in"; "id" => member.id.0,
            "address" => %member.address, "step" => format!("{change:?}"));
        let added = Some(member.id);
        let pending_at = self.clock.now() + PENDING_AFTER;
        let ticket = self
            .tickets
            .open(OpenRequest::Membership(reply, added, pending_at));
        self.step(Event::Change { ticket, change });
    }

    /// The next change on the way to making `member` a voter; `None` once it is one at its
    /// current address.
    fn next_change(&self, member: &Member) -> Option<Change> {
        let config = self.node.status().config;
        if config.voters.get(&member.id) == Some(member) {
            return None;
        }
        let same_address = config
            .members()
            .find(|m| m.address == member.address && m.id != member.id)
            .map(|m| m.id);
        let is_member = config.member(member.id).is_some();
        let silent_voter = || {
            self.node
                .unresponsive_voters(SILENT_VOTER_TIMEOUT)
                .into_iter()
                .next()
        };
        let replaced = same_address.or_else(|| if is_member { None } else { silent_voter() });
        Some(replaced.map_or_else(|| Change::Add(member.clone()), Change::Remove))
    }

    /// Removes a silent voter from a group with an even number of voters, where it adds to
    /// the quorum size but not to the number of tolerated failures.
    pub(super) fn remove_surplus_voter(&mut self) {
        if !self.parts.automatic || !self.is_leader() {
            return;
        }
        let voters = self.node.status().config.voters.len();
        if voters <= MIN_VOTERS || voters % 2 == 1 {
            return;
        }
        if let Some(id) = self
            .node
            .unresponsive_voters(SILENT_VOTER_TIMEOUT)
            .into_iter()
            .next()
        {
            self.remove_silent_voter(id);
        }
    }

    fn remove_silent_voter(&mut self, id: ReplicaId) {
        info!(self.parts.log, "letting go"; "id" => id.0,
            "silent_ms" => SILENT_VOTER_TIMEOUT.as_millis());
        let ticket = self.tickets.open(OpenRequest::Internal);
        let change = Change::Remove(id);
        self.step(Event::Change { ticket, change });
    }
}
