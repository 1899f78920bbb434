//! Bootstrap of the group on the first start of its initial replicas.
//!
//! Replica ids are generated with the data folders and so cannot be listed in the
//! settings. The replica with the lowest initial address asks all others for their
//! identity. It forms the group only when every one of them answers, has the same initial
//! addresses and has no log; it then syncs the group, and every member that has it sends it to
//! the others. A replica whose data folder was emptied finds others with a log, so it never founds
//! a second group: it waits to be added under its new id.
//!
//! Settings name the initial addresses only at the first start, and a replica may be killed before
//! the group is founded. So they are synced with the replica's identity, before it answers anybody,
//! and count from then on. A replica that was killed before that, or lost its data folder since,
//! learns them from the questions of the others, if all of these answer and none has a log.

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
use wire::replica::Hello;
use wire::replica::HelloReply;

use crate::convert;
use crate::initial::InitialReplicas;
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

/// How the founding ended for this replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundingEnd {
    /// It has the founding group.
    Member,
    /// A group exists without it.
    Join,
}

/// The task that founds the group or detects an existing one.
pub struct Founder {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// The initial replicas.
    pub initial: Arc<InitialReplicas>,
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
    /// Runs until this replica has the founding group or waits to be added to one.
    pub async fn run(&self) -> FoundingEnd {
        let initial = self.initial.known();
        loop {
            if self.is_member().await {
                return FoundingEnd::Member;
            }
            match self.round(&initial).await {
                Round::Found(config) => self.found(config).await,
                Round::Join => {
                    info!(self.log, "founding"; "outcome" => "join", "id" => self.identity.id);
                    self.initial.set_known(Vec::new());
                    self.driver.notify(Input::Join);
                    return FoundingEnd::Join;
                }
                Round::Wait => tokio::time::sleep(ROUND_INTERVAL).await,
            }
        }
    }

    /// Waits until other replicas found a group with this one, which knows no initial replicas.
    /// Never returns if it has joined a group.
    pub async fn wait_for_initial(&self) {
        let mut named = self.initial.watch_named();
        while named.changed().await.is_ok() {
            let initial = named.borrow_and_update().clone();
            if self.takes_part(&initial).await {
                info!(self.log, "founding"; "outcome" => "takes part", "id" => self.identity.id,
                    "initial" => initial.join(","));
                self.initial.set_known(initial);
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether this replica founds a group with these: it is one of them, all others answer and know
    /// no other ones, none has a log, and neither has this one.
    async fn takes_part(&self, initial: &[String]) -> bool {
        let own = self.identity.address.to_string();
        if !initial.contains(&own) || !initial.is_sorted() {
            return false;
        }
        let others = initial.iter().filter(|a| **a != own);
        let replies = join_all(others.map(|a| self.hello(a, &[]))).await;
        let is_open = |reply: &HelloReply| {
            !reply.started && (reply.initial.is_empty() || reply.initial == initial)
        };
        if !replies.iter().all(|r| r.as_ref().is_some_and(is_open)) {
            return false;
        }
        let awaits = |reply| Input::AwaitFounding(initial.to_vec(), reply);
        self.driver.call(awaits).await == Ok(true)
    }

    async fn is_member(&self) -> bool {
        let status = self.driver.call(Input::Status).await.unwrap_or_default();
        !status.replicas.is_empty()
    }

    async fn found(&self, config: Config) {
        let voters: Vec<String> = config.voters.keys().map(|id| id.0.to_string()).collect();
        let accepted = self.driver.call(|r| Input::Found(config, r)).await;
        if accepted == Ok(true) {
            info!(self.log, "founding"; "outcome" => "founded", "voters" => voters.join(","));
        }
    }

    async fn round(&self, initial: &[String]) -> Round {
        let own = self.identity.address.to_string();
        let others = initial.iter().filter(|a| **a != own);
        let replies = join_all(others.map(|a| self.hello(a, initial))).await;
        let replies_received: Vec<&HelloReply> = replies.iter().flatten().collect();
        if let Some(other) = replies_received.iter().find(|r| r.started) {
            return self.on_started_replica(other);
        }
        let is_first = initial.first() == Some(&own);
        if !is_first || replies_received.len() < replies.len() {
            return Round::Wait;
        }
        self.build_group(initial, &replies_received)
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

    fn build_group(&self, initial: &[String], replies_received: &[&HelloReply]) -> Round {
        let mut voters = vec![self.identity.to_wire(true)];
        for reply in replies_received {
            if reply.initial.is_empty() {
                // It learns them from the question of this round.
                return Round::Wait;
            }
            if reply.initial != initial {
                warn!(self.log, "founding"; "outcome" => "settings differ",
                    "own" => initial.join(","), "other" => reply.initial.join(","));
                return Round::Wait;
            }
            voters.extend(reply.replica.clone());
        }
        let members: Result<Vec<_>, _> = voters.iter().map(convert::member).collect();
        let Ok(members) = members else {
            return Round::Wait;
        };
        let ids: BTreeSet<ReplicaId> = members.iter().map(|m| m.id).collect();
        if ids.len() < initial.len() {
            return Round::Wait;
        }
        Round::Found(Config::of_voters(members, self.acceptance))
    }

    /// Asks a replica for its identity, and tells it these initial replicas.
    async fn hello(&self, address: &str, initial: &[String]) -> Option<HelloReply> {
        let address: SocketAddr = address.parse().ok()?;
        let request = Hello {
            initial: initial.to_vec(),
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
