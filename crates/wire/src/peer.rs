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
use crate::link::Link;

/// A link to a control replica.
pub type ControlLink =
    Link<ControlApiClient, Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>;
/// A link to a directory.
pub type DirectoryLink =
    Link<DirectoryApiClient, Response<DirectoryApiResponse>, ClientMessage<DirectoryApiRequest>>;
/// A link to a gateway.
pub type GatewayLink =
    Link<GatewayApiClient, Response<GatewayApiResponse>, ClientMessage<GatewayApiRequest>>;

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
