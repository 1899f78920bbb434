//! Automatic joining of a group.
//!
//! The task runs as long as the replica does: a replica that was removed while it was
//! partitioned or suspended asks to join again once it is back.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::time::Instant;
use wire::control::Replica;
use wire::control::Status;
use wire::replica::Ask;
use wire::replica::Hello;
use wire::replica::ask;
use wire::replica::ask_reply::Kind;

use crate::input::DriverHandle;
use crate::input::Input;
use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// Time limit for the reply of another replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of this replica's membership.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a known leader after which a voter asks other replicas whether it was removed.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// The task that asks to join the group whenever the replica is not a voter.
pub struct Joiner {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// Addresses of replicas that may know the group.
    pub seeds: Vec<SocketAddr>,
    /// Handle of the driver task.
    pub driver: DriverHandle,
    /// Simulated network partition, for tests.
    pub partition: Partition,
    /// Logger.
    pub log: Logger,
}

impl Joiner {
    /// Runs until dropped. Does nothing without seeds.
    pub async fn run(&self) {
        if self.seeds.is_empty() {
            return std::future::pending().await;
        }
        let mut leader_seen_at = Instant::now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let status = self.driver.call(Input::Status).await.unwrap_or_default();
            let is_voter = self.is_voter_in(&status.replicas);
            if is_voter && status.leader != 0 {
                leader_seen_at = Instant::now();
            }
            if !is_voter || leader_seen_at.elapsed() >= LEADER_TIMEOUT {
                self.request_join(&status).await;
            }
        }
    }

    fn is_voter_in(&self, group: &[Replica]) -> bool {
        let is_self = |r: &Replica| r.id == self.identity.id && r.voter;
        group.iter().any(is_self)
    }

    /// Asks the seeds and known members in turn until one of them handles the request.
    async fn request_join(&self, status: &Status) {
        let members = status
            .replicas
            .iter()
            .filter_map(|r| r.address.parse().ok());
        let addresses: BTreeSet<SocketAddr> = self.seeds.iter().copied().chain(members).collect();
        for address in addresses {
            if address != self.identity.address && self.request_join_at(address).await {
                return;
            }
        }
    }

    /// Whether the group at `address` has this replica as a voter or is now adding it.
    async fn request_join_at(&self, address: SocketAddr) -> bool {
        let link = link::replica(address);
        let hello = Hello { initial: vec![] };
        let reply = link::hello(&link, &self.partition, hello, REPLY_TIMEOUT).await;
        let group = reply.map(|reply| reply.group).unwrap_or_default();
        if group.is_empty() {
            return false;
        }
        if self.is_voter_in(&group) {
            return true;
        }
        self.forward_to_leader(address).await
    }

    async fn forward_to_leader(&self, address: SocketAddr) -> bool {
        match self.send_join(address).await {
            Some(Kind::Declined(declined)) => match declined.address.parse() {
                Ok(leader) => matches!(self.send_join(leader).await, Some(Kind::Membership(_))),
                Err(_) => false,
            },
            Some(Kind::Membership(_)) => true,
            _ => false,
        }
    }

    async fn send_join(&self, address: SocketAddr) -> Option<Kind> {
        let link = link::replica(address);
        let request = Ask {
            kind: Some(ask::Kind::Join(self.identity.to_wire(true))),
        };
        let reply = link::ask(&link, &self.partition, request, REPLY_TIMEOUT)
            .await
            .ok()?;
        info!(self.log, "joining"; "asked" => %address, "answer" => format!("{:?}", reply.kind));
        reply.kind
    }
}
