//! The service for other replicas.

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
use wire::replica::LogReport;

use crate::convert;
use crate::convert::message;
use crate::initial::InitialReplicas;
use crate::input::DriverHandle;
use crate::input::Input;
use crate::partition::Partition;
use crate::tickets;

/// The identity of a replica.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The id generated when the data folder was created.
    pub id: u64,
    /// The address for other replicas.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

impl Identity {
    /// Converts the identity to its wire form.
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

/// The service implementation, cloned for each request.
#[derive(Clone)]
pub struct ReplicaServer {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// The initial replicas.
    pub initial: Arc<InitialReplicas>,
    /// Handle of the driver task.
    pub driver: DriverHandle,
    /// Simulated network partition, for tests.
    pub partition: Partition,
    /// Logger.
    pub log: Logger,
}

impl ReplicaServer {
    async fn accept_founding(&self, request: Found) -> bool {
        let group = request.group.unwrap_or_default();
        let mut addresses: Vec<&str> = group.replicas.iter().map(|r| &*r.address).collect();
        addresses.sort_unstable();
        let is_own = request.to == self.identity.id && addresses == self.initial.known();
        let config = match convert::group(&group) {
            Ok(config) if is_own => config,
            _ => {
                warn!(self.log, "founding"; "outcome" => "refused", "to" => request.to,
                    "group" => addresses.join(","));
                return false;
            }
        };
        let accepted = self.driver.call(|r| Input::Found(config, r)).await;
        accepted.unwrap_or(false)
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
                .forward(ReplicaId(envelope.from), address, messages),
            Err(err) => {
                debug!(self.log, "invalid replica message";
                    "from" => envelope.from, "error" => %err);
            }
        }
    }

    async fn hello(self, _: Context, request: Hello) -> HelloReply {
        self.partition.block_if_active().await;
        self.initial.record_named(request.initial);
        let status = self.driver.call(Input::Status).await.unwrap_or_default();
        let is_member = !status.replicas.is_empty();
        HelloReply {
            replica: Some(self.identity.to_wire(false)),
            started: is_member || status.term > 0,
            initial: self.initial.known(),
            group: status.replicas,
        }
    }

    async fn report_log(self, _: Context) -> LogReport {
        self.partition.block_if_active().await;
        let state = self.driver.call(Input::LogReport).await.unwrap_or_default();
        LogReport {
            id: self.identity.id,
            group: Some(convert::group_to_wire(&state.config)),
            binding: state.binding.0,
        }
    }

    async fn found(self, _: Context, request: Found) -> FoundReply {
        self.partition.block_if_active().await;
        FoundReply {
            taken: self.accept_founding(request).await,
        }
    }

    async fn ask(self, _: Context, request: Ask) -> AskReply {
        self.partition.block_if_active().await;
        let reply = self.driver.call(|r| Input::Ask(request, r)).await;
        self.partition.block_if_active().await;
        reply.unwrap_or_else(|err| AskReply {
            kind: Some(tickets::declined(None, true, &err.to_string())),
        })
    }
}
