//! How the initial replicas become a group on their very first start.
//!
//! Identities are minted with the data folders, so nobody can write them into
//! the settings. The replica with the least of the initial addresses asks all
//! others who they are. Only when every one of them answers, names the same
//! initial addresses and has no log does it form the group, sync it, and hand
//! it to the others. A replica whose folder was emptied meets others with a
//! log, so it never founds a second group: it waits to be added as a new one.

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
use crate::input::Driver;
use crate::input::Input;
use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// How long another replica may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// What a round of questions showed.
#[derive(Debug)]
enum Round {
    /// Form this group.
    Found(Config),
    /// Others have one without this replica.
    Join,
    /// Ask again.
    Wait,
}

/// The task that founds the group or finds that there is one.
pub struct Founder {
    /// Who this replica is.
    pub identity: Arc<Identity>,
    /// The founding group's rule of acceptance.
    pub acceptance: Acceptance,
    /// The task that decides.
    pub driver: Driver,
    /// Where tests cut the links.
    pub partition: Partition,
    /// The log.
    pub log: Logger,
}

impl Founder {
    /// Ends when this replica belongs to a group or waits to be added to one.
    ///
    /// Gives the group if this replica formed it.
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
                    self.driver.tell(Input::Join);
                    return None;
                }
                Round::Wait => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn is_member(&self) -> bool {
        let status = self.driver.call(Input::Status).await.unwrap_or_default();
        !status.replicas.is_empty()
    }

    async fn found(&self, config: Config) -> Option<Group> {
        let group = convert::group_to_wire(&config);
        let taken = self.driver.call(|r| Input::Found(config, r)).await;
        if taken != Ok(true) {
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
        let answered: Vec<&HelloReply> = replies.iter().flatten().collect();
        if let Some(other) = answered.iter().find(|r| r.started) {
            return self.meet(other);
        }
        let first = self.identity.initial.first() == Some(&own);
        if !first || answered.len() < replies.len() {
            return Round::Wait;
        }
        self.form(&answered)
    }

    /// Another replica has a log: either its group counts on this one, or there
    /// is no place for it.
    fn meet(&self, other: &HelloReply) -> Round {
        let expected = |r: &Replica| r.id == self.identity.id && r.voter;
        if other.group.iter().any(expected) || other.group.is_empty() {
            return Round::Wait;
        }
        Round::Join
    }

    fn form(&self, answered: &[&HelloReply]) -> Round {
        let mut voters = vec![self.identity.to_wire(true)];
        for reply in answered {
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
        let ask = Hello {
            initial: self.identity.initial.clone(),
        };
        let link = link::replica(address);
        let reply = link::hello(&link, &self.partition, ask, TIMEOUT).await;
        // One that answers at another's address must not stand for it.
        reply.ok().filter(|r| {
            r.replica
                .as_ref()
                .is_some_and(|r| r.address == address.to_string())
        })
    }
}

/// Hands the founding group to members that don't have it yet.
pub struct Distributor {
    /// Who this replica is.
    pub identity: Arc<Identity>,
    /// The founding group.
    pub group: Group,
    /// Where tests cut the links.
    pub partition: Partition,
}

impl Distributor {
    /// Ends when every member has it or turned out to be another replica.
    pub async fn run(self) {
        let others = self
            .group
            .replicas
            .iter()
            .filter(|r| r.id != self.identity.id);
        join_all(others.map(|r| self.hand_over(r))).await;
    }

    async fn hand_over(&self, member: &Replica) {
        let Ok(address) = member.address.parse() else {
            return;
        };
        loop {
            let link = link::replica(address);
            let ask = Hello { initial: vec![] };
            if let Ok(reply) = link::hello(&link, &self.partition, ask, TIMEOUT).await {
                let same = reply.replica.is_some_and(|r| r.id == member.id);
                if !same || reply.started {
                    return;
                }
                let ask = Found {
                    to: member.id,
                    group: Some(self.group.clone()),
                };
                let _ = link::found(&link, &self.partition, ask, TIMEOUT).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
