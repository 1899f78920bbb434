//! Leadership transfer.

use crate::entry::ReplicaId;
use crate::leader::Transfer;
use crate::message::Body;

use super::Node;
use super::State;

impl Node {
    /// Starts a transfer to the most up-to-date active voter. Proposals are rejected until
    /// the transfer succeeds or times out.
    pub(super) fn start_transfer(&mut self) {
        let Some(to) = self.transfer_target() else {
            return;
        };
        let deadline = self.now + self.settings.election_timeout;
        if let State::Leader(leader) = &mut self.state
            && leader.transfer.is_none()
        {
            leader.transfer = Some(Transfer {
                to,
                deadline,
                requested: false,
            });
        }
    }

    fn transfer_target(&self) -> Option<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let config = self.log.config();
        let peers = leader.peers.iter();
        peers
            .filter(|(id, _)| config.is_voter(**id) && self.is_active(**id))
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(id, _)| *id)
    }

    /// Asks the target to campaign once it has the whole log.
    pub(super) fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let to = transfer.to;
        let has_whole_log = leader.peers.get(&to).is_some_and(|p| p.matched == last);
        if has_whole_log && !transfer.requested {
            transfer.requested = true;
            self.send(to, Body::CampaignNow);
        }
    }

    pub(super) fn receive_campaign_now(&mut self, from: ReplicaId) {
        if self.leader_id() == Some(from) && self.log.config().is_voter(self.id) {
            self.campaign(true);
        }
    }
}
