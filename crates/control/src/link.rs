//! Clients of other replicas.

use std::net::SocketAddr;
use std::time::Duration;

use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::client::Config;
use wire::api::ReplicaApiClient;
use wire::api::ReplicaApiRequest;
use wire::api::ReplicaApiResponse;
use wire::link::Channel;
use wire::link::Link;
use wire::link::LinkError;
use wire::link::within;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Found;
use wire::replica::Hello;
use wire::replica::HelloReply;

use crate::switch::Switch;

/// Requests in flight on one link, and those that wait for it.
const MAX_OPEN: usize = 4096;

/// A link to one replica.
pub type ReplicaLink =
    Link<ReplicaApiClient, Response<ReplicaApiResponse>, ClientMessage<ReplicaApiRequest>>;

/// A link to the replica at `address`, not yet connected.
#[must_use]
pub fn replica(address: SocketAddr) -> ReplicaLink {
    Link::new(address, spawn)
}

fn spawn(
    channel: Channel<Response<ReplicaApiResponse>, ClientMessage<ReplicaApiRequest>>,
) -> ReplicaApiClient {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_OPEN;
    config.pending_request_buffer = MAX_OPEN;
    ReplicaApiClient::new(config, channel).spawn()
}

/// Asks who is at an address.
///
/// # Errors
///
/// Fails when there is no answer in time.
pub async fn hello(
    link: &ReplicaLink,
    switch: &Switch,
    ask: Hello,
    span: Duration,
) -> Result<HelloReply, LinkError> {
    let call = async {
        switch.pass().await;
        let client = link.client().await?;
        link.judge(client.hello(within(span), ask).await)
    };
    bounded(link, span, call).await
}

/// Hands over the founding group.
///
/// # Errors
///
/// Fails when there is no answer in time.
pub async fn found(
    link: &ReplicaLink,
    switch: &Switch,
    ask: Found,
    span: Duration,
) -> Result<bool, LinkError> {
    let call = async {
        switch.pass().await;
        let client = link.client().await?;
        link.judge(client.found(within(span), ask).await)
    };
    bounded(link, span, call).await.map(|reply| reply.taken)
}

/// Passes a request on.
///
/// # Errors
///
/// Fails when there is no answer in time; it may be done all the same.
pub async fn ask(
    link: &ReplicaLink,
    switch: &Switch,
    ask: Ask,
    span: Duration,
) -> Result<AskReply, LinkError> {
    let call = async {
        switch.pass().await;
        let client = link.client().await?;
        link.judge(client.ask(within(span), ask).await)
    };
    bounded(link, span, call).await
}

async fn bounded<T>(
    link: &ReplicaLink,
    span: Duration,
    call: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let timeout = |_| Err(LinkError::Timeout(link.address()));
    tokio::time::timeout(span, call)
        .await
        .unwrap_or_else(timeout)
}
