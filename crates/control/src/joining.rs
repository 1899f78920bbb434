//! How a replica without a group is taken into one, without an operator.
//!
//! It runs for the replica's whole life: one that was let go while it was cut
//! off or frozen asks again when it is back.

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

use crate::input::Driver;
use crate::input::Input;
use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// How long another replica may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Between two looks.
const PAUSE: Duration = Duration::from_millis(200);
/// A voter that has known no leader for so long asks whether it was let go.
const LEADERLESS: Duration = Duration::from_secs(2);

/// The task that asks to be taken in whenever the replica is no voter.
pub struct Joiner {
    /// Who this replica is.
    pub identity: Arc<Identity>,
    /// Replicas that may know the group.
    pub seeds: Vec<SocketAddr>,
    /// The task that decides.
    pub driver: Driver,
    /// Where tests cut the links.
    pub partition: Partition,
    /// The log.
    pub log: Logger,
}

impl Joiner {
    /// Never ends by itself.
    pub async fn run(self) {
        let mut led = Instant::now();
        loop {
            tokio::time::sleep(PAUSE).await;
            let status = self.driver.call(Input::Status).await.unwrap_or_default();
            let voter = self.votes_in(&status.replicas);
            if voter && status.leader != 0 {
                led = Instant::now();
            }
            if !voter || led.elapsed() >= LEADERLESS {
                self.ask_around(&status).await;
            }
        }
    }

    fn votes_in(&self, group: &[Replica]) -> bool {
        let own = |r: &Replica| r.id == self.identity.id && r.voter;
        group.iter().any(own)
    }

    /// Asks every replica that it knows of until one does something about it.
    async fn ask_around(&self, status: &Status) {
        let known = status
            .replicas
            .iter()
            .filter_map(|r| r.address.parse().ok());
        let others: BTreeSet<SocketAddr> = self.seeds.iter().copied().chain(known).collect();
        for address in others {
            if address != self.identity.address && self.ask_at(address).await {
                return;
            }
        }
    }

    /// Whether the group at `address` counts on this replica, or works on it now.
    async fn ask_at(&self, address: SocketAddr) -> bool {
        let link = link::replica(address);
        let hello = Hello { initial: vec![] };
        let reply = link::hello(&link, &self.partition, hello, TIMEOUT).await;
        let group = reply.map(|reply| reply.group).unwrap_or_default();
        if group.is_empty() {
            return false;
        }
        if self.votes_in(&group) {
            return true;
        }
        self.ask_leader(address).await
    }

    async fn ask_leader(&self, address: SocketAddr) -> bool {
        match self.ask(address).await {
            Some(Kind::Declined(declined)) => match declined.address.parse() {
                Ok(leader) => matches!(self.ask(leader).await, Some(Kind::Membership(_))),
                Err(_) => false,
            },
            Some(Kind::Membership(_)) => true,
            _ => false,
        }
    }

    async fn ask(&self, address: SocketAddr) -> Option<Kind> {
        let link = link::replica(address);
        let ask = Ask {
            kind: Some(ask::Kind::Join(self.identity.to_wire(true))),
        };
        let reply = link::ask(&link, &self.partition, ask, TIMEOUT).await.ok()?;
        info!(self.log, "joining"; "asked" => %address, "answer" => format!("{:?}", reply.kind));
        reply.kind
    }
}
