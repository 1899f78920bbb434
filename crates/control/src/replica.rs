//! What this replica serves to the others.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use consensus::ReplicaId;
use slog::Logger;
use slog::debug;
use slog::warn;
use tarpc::context::Context;
use wire::api::ReplicaApi;
use wire::control::Replica;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Envelope;
use wire::replica::Found;
use wire::replica::FoundReply;
use wire::replica::Hello;
use wire::replica::HelloReply;

use crate::convert;
use crate::convert::message;
use crate::input::Driver;
use crate::input::Input;
use crate::partition::Partition;
use crate::tickets;

/// Who this replica is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Minted with the data folder.
    pub id: u64,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// The founding group's addresses, sorted; empty for a joiner.
    pub initial: Vec<String>,
}

impl Identity {
    /// As others see it.
    #[must_use]
    pub fn to_wire(&self, voter: bool) -> Replica {
        Replica {
            id: self.id,
            address: self.address.to_string(),
            domain: self.domain.to_string(),
            region: self.region.to_string(),
            voter,
        }
    }
}

/// The service, one clone a request.
#[derive(Clone)]
pub struct ReplicaServer {
    /// Who this replica is.
    pub identity: Arc<Identity>,
    /// The task that decides.
    pub driver: Driver,
    /// Where tests cut the links.
    pub partition: Partition,
    /// The log.
    pub log: Logger,
}

impl ReplicaServer {
    async fn take_found(&self, ask: Found) -> bool {
        let group = ask.group.unwrap_or_default();
        let mut addresses: Vec<&str> = group.replicas.iter().map(|r| &*r.address).collect();
        addresses.sort_unstable();
        let fits = ask.to == self.identity.id && addresses == self.identity.initial;
        let config = match convert::group(&group) {
            Ok(config) if fits => config,
            _ => {
                warn!(self.log, "founding"; "outcome" => "refused", "to" => ask.to,
                    "group" => addresses.join(","));
                return false;
            }
        };
        let taken = self.driver.call(|r| Input::Found(config, r)).await;
        taken.unwrap_or(false)
    }
}

impl ReplicaApi for ReplicaServer {
    async fn step(self, _: Context, envelope: Envelope) {
        if self.partition.is_active() {
            return;
        }
        let Ok(address) = envelope.address.parse() else {
            return;
        };
        let messages: Result<Vec<_>, _> =
            envelope.messages.iter().map(message::from_wire).collect();
        match messages {
            Ok(messages) => self
                .driver
                .messages(ReplicaId(envelope.from), address, messages),
            Err(err) => {
                debug!(self.log, "bad message"; "from" => envelope.from, "error" => %err);
            }
        }
    }

    async fn hello(self, _: Context, _: Hello) -> HelloReply {
        self.partition.pass().await;
        let status = self.driver.call(Input::Status).await.unwrap_or_default();
        let member = !status.replicas.is_empty();
        HelloReply {
            replica: Some(self.identity.to_wire(false)),
            started: member || status.term > 0,
            initial: self.identity.initial.clone(),
            group: status.replicas,
        }
    }

    async fn found(self, _: Context, ask: Found) -> FoundReply {
        self.partition.pass().await;
        FoundReply {
            taken: self.take_found(ask).await,
        }
    }

    async fn ask(self, _: Context, ask: Ask) -> AskReply {
        self.partition.pass().await;
        let reply = self.driver.call(|r| Input::Ask(ask, r)).await;
        self.partition.pass().await;
        reply.unwrap_or_else(|err| AskReply {
            kind: Some(tickets::declined(None, true, &err.to_string())),
        })
    }
}
