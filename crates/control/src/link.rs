//! Requests to other replicas.

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
use wire::replica::LogReport;

use crate::partition::Partition;

/// Asks a replica for its identity.
///
/// # Errors
///
/// Fails when there is no answer within `timeout`.
pub async fn hello(
    link: &ReplicaLink,
    partition: &Partition,
    request: Hello,
    timeout: Duration,
) -> Result<HelloReply, LinkError> {
    let send =
        |client: ReplicaApiClient| async move { client.hello(within(timeout), request).await };
    call(link, partition, timeout, send).await
}

/// Asks a replica what its log holds.
///
/// # Errors
///
/// Fails when there is no answer within `timeout`.
pub async fn report_log(
    link: &ReplicaLink,
    partition: &Partition,
    timeout: Duration,
) -> Result<LogReport, LinkError> {
    let send = |client: ReplicaApiClient| async move { client.report_log(within(timeout)).await };
    call(link, partition, timeout, send).await
}

/// Sends the founding group.
///
/// # Errors
///
/// Fails when there is no answer within `timeout`.
pub async fn found(
    link: &ReplicaLink,
    partition: &Partition,
    request: Found,
    timeout: Duration,
) -> Result<bool, LinkError> {
    let send =
        |client: ReplicaApiClient| async move { client.found(within(timeout), request).await };
    call(link, partition, timeout, send)
        .await
        .map(|reply| reply.taken)
}

/// Forwards a request.
///
/// # Errors
///
/// Fails when there is no answer within `timeout`; the request may still take effect.
pub async fn ask(
    link: &ReplicaLink,
    partition: &Partition,
    request: Ask,
    timeout: Duration,
) -> Result<AskReply, LinkError> {
    let send = |client: ReplicaApiClient| async move { client.ask(within(timeout), request).await };
    call(link, partition, timeout, send).await
}

async fn call<T, F>(
    link: &ReplicaLink,
    partition: &Partition,
    timeout: Duration,
    send: impl FnOnce(ReplicaApiClient) -> F,
) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let attempt = async {
        partition.block_if_active().await;
        let client = link.client().await?;
        link.check_result(send(client).await)
    };
    let timed_out = |_| Err(LinkError::Timeout(link.address(), timeout));
    tokio::time::timeout(timeout, attempt)
        .await
        .unwrap_or_else(timed_out)
}
