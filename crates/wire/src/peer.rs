//! Links to each kind of process, by the service that it serves.

use std::net::SocketAddr;

use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::client::Config;

use crate::api::ControlApiClient;
use crate::api::ControlApiRequest;
use crate::api::ControlApiResponse;
use crate::api::DirectoryApiClient;
use crate::api::DirectoryApiRequest;
use crate::api::DirectoryApiResponse;
use crate::api::GatewayApiClient;
use crate::api::GatewayApiRequest;
use crate::api::GatewayApiResponse;
use crate::api::HubApiClient;
use crate::api::HubApiRequest;
use crate::api::HubApiResponse;
use crate::api::PlaceApiClient;
use crate::api::PlaceApiRequest;
use crate::api::PlaceApiResponse;
use crate::api::ReplicaApiClient;
use crate::api::ReplicaApiRequest;
use crate::api::ReplicaApiResponse;
use crate::link::Link;
use crate::link::MAX_PENDING;

/// A link to a control replica.
pub type ControlLink =
    Link<ControlApiClient, Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>;
/// A link to a directory.
pub type DirectoryLink =
    Link<DirectoryApiClient, Response<DirectoryApiResponse>, ClientMessage<DirectoryApiRequest>>;
/// A link to a gateway.
pub type GatewayLink =
    Link<GatewayApiClient, Response<GatewayApiResponse>, ClientMessage<GatewayApiRequest>>;

/// A link to a hub.
pub type HubLink = Link<HubApiClient, Response<HubApiResponse>, ClientMessage<HubApiRequest>>;

/// A link from one entry process to another.
pub type PlaceLink =
    Link<PlaceApiClient, Response<PlaceApiResponse>, ClientMessage<PlaceApiRequest>>;

/// A link from one control replica to another.
pub type ReplicaLink =
    Link<ReplicaApiClient, Response<ReplicaApiResponse>, ClientMessage<ReplicaApiRequest>>;

/// A link to the control replica at `address`, not yet connected.
#[must_use]
pub fn control(address: SocketAddr) -> ControlLink {
    Link::new(address, |channel| {
        ControlApiClient::new(Config::default(), channel).spawn()
    })
}

/// A link to the directory at `address`, not yet connected.
#[must_use]
pub fn directory(address: SocketAddr) -> DirectoryLink {
    Link::new(address, |channel| {
        DirectoryApiClient::new(Config::default(), channel).spawn()
    })
}

/// A link to the gateway at `address`, not yet connected.
#[must_use]
pub fn gateway(address: SocketAddr) -> GatewayLink {
    Link::new(address, |channel| {
        GatewayApiClient::new(Config::default(), channel).spawn()
    })
}

/// A link to the hub at `address`, not yet connected.
#[must_use]
pub fn hub(address: SocketAddr) -> HubLink {
    Link::new(address, |channel| {
        HubApiClient::new(Config::default(), channel).spawn()
    })
}

/// A link to the entry process at `address`, not yet connected.
#[must_use]
pub fn place(address: SocketAddr) -> PlaceLink {
    Link::new(address, |channel| {
        PlaceApiClient::new(Config::default(), channel).spawn()
    })
}

/// A link between control replicas to the one at `address`, not yet connected.
///
/// It carries as many requests as the other end takes.
#[must_use]
pub fn replica(address: SocketAddr) -> ReplicaLink {
    Link::new(address, |channel| {
        let mut config = Config::default();
        config.max_in_flight_requests = MAX_PENDING;
        config.pending_request_buffer = MAX_PENDING;
        ReplicaApiClient::new(config, channel).spawn()
    })
}
