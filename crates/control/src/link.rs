//! Clients of other replicas.

use std::time::Duration;

use tarpc::client::RpcError;
use wire::api::ReplicaApiClient;
use wire::link::LinkError;
use wire::link::within;
pub use wire::peer::ReplicaLink;
pub use wire::peer::replica;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Found;
use wire::replica::Hello;
use wire::replica::HelloReply;

use crate::switch::Switch;

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
    let once = |client: ReplicaApiClient| async move { client.hello(within(span), ask).await };
    call(link, switch, span, once).await
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
    let once = |client: ReplicaApiClient| async move { client.found(within(span), ask).await };
    call(link, switch, span, once)
        .await
        .map(|reply| reply.taken)
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
    let once = |client: ReplicaApiClient| async move { client.ask(within(span), ask).await };
    call(link, switch, span, once).await
}

async fn call<T, F>(
    link: &ReplicaLink,
    switch: &Switch,
    span: Duration,
    once: impl FnOnce(ReplicaApiClient) -> F,
) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let call = async {
        switch.pass().await;
        let client = link.client().await?;
        link.check_result(once(client).await)
    };
    let timeout = |_| Err(LinkError::Timeout(link.address(), span));
    tokio::time::timeout(span, call)
        .await
        .unwrap_or_else(timeout)
}
