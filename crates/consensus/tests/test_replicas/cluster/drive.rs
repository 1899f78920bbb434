//! Runs a group without new faults until a condition holds.

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Index;
use consensus::Node;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Status;
use consensus::Ticket;

use super::Cluster;
use super::Link;
use super::Outcome;

/// Timeout for conditions that must hold eventually.
const TIMEOUT: Duration = Duration::from_secs(20);

impl Cluster {
    /// Creates a group that has a leader and one committed proposal.
    pub fn elected(voters: u64) -> (Self, ReplicaId) {
        let mut cluster = Self::new(voters, Acceptance::Majority, 7);
        let leader = cluster.elect();
        cluster.commit_one();
        (cluster, leader)
    }

    /// All replicas but the leader.
    pub fn followers(&self, leader: ReplicaId) -> Vec<ReplicaId> {
        let ids = self.hosts.keys().copied();
        ids.filter(|id| *id != leader).collect()
    }

    /// Runs without new faults for `duration`; a message takes one millisecond.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.round(end);
        }
    }

    /// Delivers all messages and syncs all writes, or advances to the next timer.
    fn round(&mut self, end: Moment) {
        self.advance(self.pause(end));
        for message in std::mem::take(&mut self.in_transit) {
            self.in_transit.push(message);
            self.deliver(self.in_transit.len() - 1);
        }
        for id in self.ids() {
            self.sync(id);
        }
    }

    /// The time until the next timer if the group is idle, else one millisecond.
    fn pause(&self, end: Moment) -> Duration {
        let step = Duration::from_millis(1);
        let quiet = self.hosts.values().all(|h| h.disk.pending.is_none());
        if !quiet || !self.in_transit.is_empty() {
            return step;
        }
        let nodes = self.hosts.values().filter(|h| !h.paused);
        let timers = nodes.filter_map(|h| h.node.as_ref()).map(Node::deadline);
        let next = timers.fold(end, Moment::min);
        next.since(self.now).max(step)
    }

    /// Removes a replica and its disk permanently.
    pub fn remove_host(&mut self, id: ReplicaId) {
        self.hosts.remove(&id);
    }

    /// Runs until the request has an outcome.
    #[track_caller]
    pub fn outcome(&mut self, ticket: Ticket) -> Outcome {
        self.run_until(TIMEOUT, |c| c.outcomes.contains_key(&ticket));
        self.outcomes[&ticket].clone()
    }

    /// Runs until the request succeeds; panics if it is rejected.
    #[track_caller]
    pub fn done(&mut self, ticket: Ticket) -> Index {
        match self.outcome(ticket) {
            Outcome::Done(index) => index,
            Outcome::Rejected(reason) => panic!("{ticket:?} rejected: {reason}"),
        }
    }

    /// Runs until `done` holds; panics after `timeout`.
    #[track_caller]
    pub fn run_until(&mut self, timeout: Duration, done: impl Fn(&Self) -> bool) {
        let end = self.now + timeout;
        while !done(self) {
            assert!(
                self.now < end,
                "not done within {timeout:?}: {}",
                self.statuses()
            );
            self.round(end);
        }
    }

    /// One line per replica, for failure messages.
    fn statuses(&self) -> String {
        let nodes = self.hosts.values().filter_map(|h| h.node.as_ref());
        let line = |s: Status| {
            let voters: Vec<u64> = s.config.voters.keys().map(|id| id.0).collect();
            let learners: Vec<u64> = s.config.learners.keys().map(|id| id.0).collect();
            format!(
                "\n{} {} term={} commit={} applied={} first={} last={} voters={voters:?} learners={learners:?}",
                s.id, s.role, s.term, s.commit, s.applied, s.first, s.last
            )
        };
        nodes.map(Node::status).map(line).collect()
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let nodes = self.hosts.values().filter_map(|h| h.node.as_ref());
        nodes
            .filter(|n| n.role() == Role::Leader)
            .map(Node::status)
            .max_by_key(|s| s.term)
            .map(|s| s.id)
    }

    /// Runs until a leader has applied an entry of its term.
    #[track_caller]
    pub fn elect(&mut self) -> ReplicaId {
        self.run_until(TIMEOUT, |c| {
            c.leader().is_some_and(|id| {
                let node = c.node(id.0);
                node.term_at(node.status().applied) == Some(node.term())
            })
        });
        self.leader().expect("a leader")
    }

    /// Ends all faults and checks that the group commits again and all members apply the entry.
    pub fn heal_and_check(&mut self) {
        for id in self.ids() {
            let host = self.host(id);
            (host.paused, host.stalled) = (false, false);
            host.link = Link::Open;
            self.start(id);
        }
        self.elect();
        let index = self.commit_one();
        let leader = self.elect();
        let config = self.node(leader.0).status().config;
        let members: BTreeSet<ReplicaId> = config.members().map(|m| m.id).collect();
        self.run_until(TIMEOUT, |c| {
            let mut hosts = c.hosts.iter().filter(|(id, _)| members.contains(id));
            hosts.all(|(_, host)| host.applied >= index)
        });
    }

    /// Proposes until one entry is committed.
    pub fn commit_one(&mut self) -> Index {
        for _ in 0..20 {
            let leader = self.elect();
            let ticket = self.propose(leader);
            self.run_until(TIMEOUT, |c| c.outcomes.contains_key(&ticket));
            if let Outcome::Done(index) = self.outcomes[&ticket] {
                return index;
            }
            self.run(self.settings.election_timeout);
        }
        panic!("nothing is committed");
    }
}
