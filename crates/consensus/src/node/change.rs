//! Configuration changes, one at a time, each as a log entry.
//!
//! A new replica starts as a learner. The current leader promotes it with a second
//! entry once it has caught up; the request completes only when that entry is
//! committed and synced by the new voter itself.

use base::prelude::*;

use crate::action::Action;
use crate::action::Rejection;
use crate::config::Change;
use crate::config::Config;
use crate::config::Member;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::leader::PendingChange;
use crate::quorum;

use super::Node;
use super::State;

impl Node {
    pub(super) fn change(&mut self, ticket: Ticket, change: Change) {
        let next = self.check_change(&change);
        let next = match next {
            Ok(next) => next,
            Err(reason) => return self.reject(ticket, reason),
        };
        if let Some(config) = next {
            self.append_config(config);
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if let Some(pending) = leader
            .pending_change
            .replace(PendingChange { ticket, change })
        {
            self.reject(pending.ticket, Rejection::Withdrawn);
        }
    }

    /// Returns the configuration after the change, or `None` if it is already in effect.
    fn check_change(&mut self, change: &Change) -> Result<Option<Config>, Rejection> {
        self.require_leader()?;
        if !matches!(change, Change::Evict(_)) {
            self.check_no_pending_change(change)?;
        }
        match change {
            Change::Add(member) => self.check_add(member),
            Change::Remove(id) => self.check_remove(*id),
            Change::Evict(region) => self.check_evict(region),
            Change::Readmit(region) => self.check_readmit(region),
        }
    }

    /// Requires that no other change is pending and that the leader has committed an entry
    /// in its term.
    ///
    /// Evictions are exempt: they don't change the voters, so majorities still
    /// intersect, and a leader that lacks a region's majority can't commit anything
    /// before the eviction.
    fn check_no_pending_change(&self, change: &Change) -> Result<(), Rejection> {
        if !self.is_ready() {
            return Err(Rejection::NotReady);
        }
        if self.is_change_pending(change) || self.log.config_index() > self.commit {
            return Err(Rejection::ChangeOpen);
        }
        Ok(())
    }

    /// Whether another change is pending; a pending addition may be cancelled by a removal.
    fn is_change_pending(&self, change: &Change) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        match (leader.pending_change.as_ref().map(|c| &c.change), change) {
            (None, _) => false,
            (Some(Change::Add(member)), Change::Remove(id)) => member.id != *id,
            (Some(_), _) => true,
        }
    }

    fn check_add(&self, member: &Member) -> Result<Option<Config>, Rejection> {
        let config = self.log.config();
        if config.member(member.id) == Some(member) {
            return Ok(None);
        }
        if config.learners.keys().any(|id| *id != member.id) {
            return Err(Rejection::ChangeOpen);
        }
        let mut next = config.clone();
        let members = if config.is_voter(member.id) {
            &mut next.voters
        } else {
            &mut next.learners
        };
        members.insert(member.id, member.clone());
        Ok(Some(next))
    }

    /// A leader doesn't remove itself: it transfers leadership, and the request must be
    /// repeated at the new leader.
    fn check_remove(&mut self, id: ReplicaId) -> Result<Option<Config>, Rejection> {
        if id == self.id {
            self.start_transfer();
            return Err(Rejection::Transferring);
        }
        let mut next = self.log.config().clone();
        if next.member(id).is_none() {
            return Ok(None);
        }
        next.voters.remove(&id);
        next.learners.remove(&id);
        if !quorum::has_commit_quorum(&next, |voter| self.is_active(voter)) {
            return Err(Rejection::QuorumLost);
        }
        Ok(Some(next))
    }

    fn check_evict(&self, region: &RegionName) -> Result<Option<Config>, Rejection> {
        let mut next = self.log.config().clone();
        if !next.voters.values().any(|m| m.region == *region) {
            return Err(Rejection::Unknown);
        }
        Ok(next.evicted.insert(region.clone()).then_some(next))
    }

    fn check_readmit(&self, region: &RegionName) -> Result<Option<Config>, Rejection> {
        let mut next = self.log.config().clone();
        if !next.evicted.remove(region) {
            return Ok(None);
        }
        let lacking = quorum::region_without_majority(&next, |id| self.is_active(id));
        lacking.map_or(Ok(Some(next)), |region| Err(Rejection::RegionDown(region)))
    }

    /// Runs the leader's pending configuration changes and transfers after each event.
    pub(super) fn maintain(&mut self) {
        self.promote_learner();
        self.complete_change();
        self.continue_transfer();
    }

    /// Appends an entry that promotes a learner which has caught up.
    fn promote_learner(&mut self) {
        let mut learners = self.log.config().learners.values();
        let Some(member) = learners.find(|m| self.has_caught_up(m.id)) else {
            return;
        };
        let is_ready = self.is_ready() && self.log.config_index() <= self.commit;
        if !is_ready || self.require_leader().is_err() {
            return;
        }
        let member = member.clone();
        let mut next = self.log.config().clone();
        next.learners.remove(&member.id);
        next.voters.insert(member.id, member);
        self.append_config(next);
    }

    /// Whether a learner is active and its lag is within the promotion limit.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let matched = leader.matched(id);
        let admitted = matched >= self.log.config_index();
        let near = self.commit.distance_from(matched) <= self.settings.max_promotion_lag;
        admitted && near && self.is_active(id)
    }

    /// Completes the pending change if it is in effect.
    fn complete_change(&mut self) {
        let index = self.log.config_index();
        if index > self.applied {
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let config = self.log.config();
        let done = leader
            .pending_change
            .as_ref()
            .is_some_and(|pending| match &pending.change {
                Change::Add(member) if member.id == self.id => true,
                Change::Add(member) => {
                    config.is_voter(member.id) && leader.matched(member.id) >= index
                }
                _ => true,
            });
        if let Some(pending) = leader.pending_change.take_if(|_| done) {
            let ticket = pending.ticket;
            self.actions.push(Action::Committed { ticket, index });
        }
    }
}
