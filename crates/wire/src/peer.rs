//! Typed links to each kind of process.

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

/// Link to a control replica.
pub type ControlLink =
    Link<ControlApiClient, Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>;
/// Link to a directory.
pub type DirectoryLink =
    Link<DirectoryApiClient, Response<DirectoryApiResponse>, ClientMessage<DirectoryApiRequest>>;
/// Link to a gateway.
pub type GatewayLink =
    Link<GatewayApiClient, Response<GatewayApiResponse>, ClientMessage<GatewayApiRequest>>;

/// Link to a hub.
pub type HubLink = Link<HubApiClient, Response<HubApiResponse>, ClientMessage<HubApiRequest>>;

/// Link from one entry process to another.
pub type PlaceLink =
    Link<PlaceApiClient, Response<PlaceApiResponse>, ClientMessage<PlaceApiRequest>>;

/// Link from one control replica to another.
pub type ReplicaLink =
    Link<ReplicaApiClient, Response<ReplicaApiResponse>, ClientMessage<ReplicaApiRequest>>;

/// Creates an unconnected link to the control replica at `address`.
#[must_use]
pub fn control(address: SocketAddr) -> ControlLink {
    Link::new(address, |channel| {
        ControlApiClient::new(Config::default(), channel).spawn()
    })
}

/// Creates an unconnected link to the directory at `address`.
#[must_use]
pub fn directory(address: SocketAddr) -> DirectoryLink {
    Link::new(address, |channel| {
        DirectoryApiClient::new(Config::default(), channel).spawn()
    })
}

/// Creates an unconnected link to the gateway at `address`.
#[must_use]
pub fn gateway(address: SocketAddr) -> GatewayLink {
    Link::new(address, |channel| {
        GatewayApiClient::new(Config::default(), channel).spawn()
    })
}

/// Creates an unconnected link to the hub at `address`.
#[must_use]
pub fn hub(address: SocketAddr) -> HubLink {
    Link::new(address, |channel| {
        HubApiClient::new(Config::default(), channel).spawn()
    })
}

/// Creates an unconnected link to the entry process at `address`.
#[must_use]
pub fn place(address: SocketAddr) -> PlaceLink {
    Link::new(address, |channel| {
        PlaceApiClient::new(Config::default(), channel).spawn()
    })
}

/// Creates an unconnected link from a control replica to the one at `address`.
///
/// The client's limits on requests are raised to those of the server.
#[must_use]
pub fn replica(address: SocketAddr) -> ReplicaLink {
    Link::new(address, |channel| {
        let mut config = Config::default();
        config.max_in_flight_requests = MAX_PENDING;
        config.pending_request_buffer = MAX_PENDING;
        ReplicaApiClient::new(config, channel).spawn()
    })
}
