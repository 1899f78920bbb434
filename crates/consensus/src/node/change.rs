//! Changes of the group, one at a time, each by an entry of the log.
//!
//! A new replica is a learner first. The leader, whichever it is by then,
//! promotes it by a second entry once it has caught up; whoever asked is answered
//! only when that entry is committed and synced at the new voter itself.

use base::prelude::*;

use crate::action::Action;
use crate::action::Rejection;
use crate::config::Change;
use crate::config::Config;
use crate::config::Member;
use crate::entry::ReplicaId;
use crate::event::Ticket;
use crate::leader::OpenChange;
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
        if let Some(open) = leader.change.replace(OpenChange { ticket, change }) {
            self.reject(open.ticket, Rejection::Withdrawn);
        }
    }

    /// The group after the change, none where the log has it already.
    fn check_change(&mut self, change: &Change) -> Result<Option<Config>, Rejection> {
        self.check_office()?;
        if !matches!(change, Change::Evict(_)) {
            self.check_order(change)?;
        }
        match change {
            Change::Add(member) => self.check_add(member),
            Change::Remove(id) => self.check_remove(*id),
            Change::Evict(region) => self.check_evict(region),
            Change::Readmit(region) => self.check_readmit(region),
        }
    }

    /// Changes of the voters wait for each other, and for an entry committed in the leader's term.
    ///
    /// An eviction waits for neither: it leaves the voters alone, so majorities
    /// intersect as before, and a leader that lacks a region can commit nothing
    /// before it.
    fn check_order(&self, change: &Change) -> Result<(), Rejection> {
        if !self.is_ready() {
            return Err(Rejection::NotReady);
        }
        if self.is_change_open(change) || self.log.config_index() > self.commit {
            return Err(Rejection::ChangeOpen);
        }
        Ok(())
    }

    /// Whether someone waits for another change; an addition under way may be taken back.
    fn is_change_open(&self, change: &Change) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        match (leader.change.as_ref().map(|c| &c.change), change) {
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

    /// A leader doesn't remove itself: it hands over, and its successor is asked again.
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
        if !quorum::accepts(&next, |voter| self.is_active(voter)) {
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
        let lacking = quorum::lacking_region(&next, |id| self.is_active(id));
        lacking.map_or(Ok(Some(next)), |region| Err(Rejection::RegionDown(region)))
    }

    /// What a leader does by itself after each event.
    pub(super) fn maintain(&mut self) {
        self.promote_learner();
        self.finish_change();
        self.continue_transfer();
    }

    /// Makes a voter of a learner that has caught up, by an entry of its own.
    fn promote_learner(&mut self) {
        let mut learners = self.log.config().learners.values();
        let Some(member) = learners.find(|m| self.has_caught_up(m.id)) else {
            return;
        };
        let settled = self.is_ready() && self.log.config_index() <= self.commit;
        if !settled || self.check_office().is_err() {
            return;
        }
        let member = member.clone();
        let mut next = self.log.config().clone();
        next.learners.remove(&member.id);
        next.voters.insert(member.id, member);
        self.append_config(next);
    }

    /// Whether a learner answers, and has synced the log but for a bounded rest.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let matched = leader.matched(id);
        let admitted = matched >= self.log.config_index();
        let near = self.commit.after(matched) <= self.settings.promote_gap;
        admitted && near && self.is_active(id)
    }

    /// Answers whoever waits for a change that is in force now.
    fn finish_change(&mut self) {
        let index = self.log.config_index();
        if index > self.applied {
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let config = self.log.config();
        let done = leader
            .change
            .as_ref()
            .is_some_and(|open| match &open.change {
                Change::Add(member) if member.id == self.id => true,
                Change::Add(member) => {
                    config.is_voter(member.id) && leader.matched(member.id) >= index
                }
                _ => true,
            });
        if let Some(open) = leader.change.take_if(|_| done) {
            let ticket = open.ticket;
            self.out.push(Action::Committed { ticket, index });
        }
    }
}
