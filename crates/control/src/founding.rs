//! Bootstrap of the group on the first start of its initial replicas.
//!
//! Replica ids are generated with the data folders and so cannot be listed in the
//! settings. The replica with the lowest initial address asks all others for their
//! identity. It forms the group only when every one of them answers, has the same initial
//! addresses and has no log; it then syncs the group and sends it to the others. A replica
//! whose data folder was emptied finds others with a log, so it never founds a second
//! group: it waits to be added under its new id.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use consensus::Acceptance;
use consensus::Config;
use consensus::ReplicaId;
use futures::future::join_all;
use slog::Logger;
use slog::info;
use slog::warn;
use wire::control::Replica;
use wire::replica::Found;
use wire::replica::Group;
use wire::replica::Hello;
use wire::replica::HelloReply;

use crate::convert;
use crate::input::DriverHandle;
use crate::input::Input;
use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// Time limit for the reply of another replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// The result of asking the other initial replicas for their identity.
#[derive(Debug)]
enum Round {
    /// Found this group.
    Found(Config),
    /// A group exists without this replica.
    Join,
    /// Undecided; ask again.
    Wait,
}

/// The task that founds the group or detects an existing one.
pub struct Founder {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// The acceptance rule of the founding group.
    pub acceptance: Acceptance,
    /// Handle of the driver task.
    pub driver: DriverHandle,
    /// Simulated network partition, for tests.
    pub partition: Partition,
    /// Logger.
    pub log: Logger,
}

impl Founder {
    /// Runs until this replica belongs to a group or waits to be added to one.
    ///
    /// Returns the group if this replica founded it.
    pub async fn run(self) -> Option<Group> {
        loop {
            if self.is_member().await {
                return None;
            }
            match self.round().await {
                Round::Found(config) => {
                    if let Some(group) = self.found(config).await {
                        return Some(group);
                    }
                }
                Round::Join => {
                    info!(self.log, "founding"; "outcome" => "join", "id" => self.identity.id);
                    self.driver.notify(Input::Join);
                    return None;
                }
                Round::Wait => tokio::time::sleep(ROUND_INTERVAL).await,
            }
        }
    }

    async fn is_member(&self) -> bool {
        let status = self.driver.call(Input::Status).await.unwrap_or_default();
        !status.replicas.is_empty()
    }

    async fn found(&self, config: Config) -> Option<Group> {
        let group = convert::group_to_wire(&config);
        let accepted = self.driver.call(|r| Input::Found(config, r)).await;
        if accepted != Ok(true) {
            return None;
        }
        let ids: Vec<String> = group.replicas.iter().map(|r| r.id.to_string()).collect();
        info!(self.log, "founding"; "outcome" => "founded", "voters" => ids.join(","));
        Some(group)
    }

    async fn round(&self) -> Round {
        let own = self.identity.address.to_string();
        let others = self.identity.initial.iter().filter(|a| **a != own);
        let replies = join_all(others.map(|a| self.hello(a))).await;
        let replies_received: Vec<&HelloReply> = replies.iter().flatten().collect();
        if let Some(other) = replies_received.iter().find(|r| r.started) {
            return self.on_started_replica(other);
        }
        let is_first = self.identity.initial.first() == Some(&own);
        if !is_first || replies_received.len() < replies.len() {
            return Round::Wait;
        }
        self.build_group(&replies_received)
    }

    /// Handles a replica that has a log: its group either includes this replica as a voter,
    /// or this replica has to join as a new one.
    fn on_started_replica(&self, other: &HelloReply) -> Round {
        let is_own_voter = |r: &Replica| r.id == self.identity.id && r.voter;
        if other.group.iter().any(is_own_voter) || other.group.is_empty() {
            return Round::Wait;
        }
        Round::Join
    }

    fn build_group(&self, replies_received: &[&HelloReply]) -> Round {
        let mut voters = vec![self.identity.to_wire(true)];
        for reply in replies_received {
            if reply.initial != self.identity.initial {
                warn!(self.log, "founding"; "outcome" => "settings differ",
                    "own" => self.identity.initial.join(","), "other" => reply.initial.join(","));
                return Round::Wait;
            }
            voters.extend(reply.replica.clone());
        }
        let members: Result<Vec<_>, _> = voters.iter().map(convert::member).collect();
        let Ok(members) = members else {
            return Round::Wait;
        };
        let ids: BTreeSet<ReplicaId> = members.iter().map(|m| m.id).collect();
        if ids.len() < self.identity.initial.len() {
            return Round::Wait;
        }
        Round::Found(Config::of_voters(members, self.acceptance))
    }

    async fn hello(&self, address: &str) -> Option<HelloReply> {
        let address: SocketAddr = address.parse().ok()?;
        let request = Hello {
            initial: self.identity.initial.clone(),
        };
        let link = link::replica(address);
        let reply = link::hello(&link, &self.partition, request, REPLY_TIMEOUT).await;
        // Ignores a replica that answers at an address other than its own.
        reply.ok().filter(|r| {
            r.replica
                .as_ref()
                .is_some_and(|r| r.address == address.to_string())
        })
    }
}

/// Sends the founding group to members that do not have it yet.
pub struct Distributor {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// The founding group.
    pub group: Group,
    /// Simulated network partition, for tests.
    pub partition: Partition,
}

impl Distributor {
    /// Runs until every member has the group, or its address belongs to another replica.
    pub async fn run(self) {
        let others = self
            .group
            .replicas
            .iter()
            .filter(|r| r.id != self.identity.id);
        join_all(others.map(|r| self.send_group(r))).await;
    }

    async fn send_group(&self, member: &Replica) {
        let Ok(address) = member.address.parse() else {
            return;
        };
        loop {
            let link = link::replica(address);
            let request = Hello { initial: vec![] };
            if let Ok(reply) = link::hello(&link, &self.partition, request, REPLY_TIMEOUT).await {
                let same = reply.replica.is_some_and(|r| r.id == member.id);
                if !same || reply.started {
                    return;
                }
                let request = Found {
                    to: member.id,
                    group: Some(self.group.clone()),
                };
                let _ = link::found(&link, &self.partition, request, REPLY_TIMEOUT).await;
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
}
