//! Accepts `tarpc` connections with bounded frames and requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use slog::debug;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::serde_transport::tcp::Incoming;
use tarpc::server::BaseChannel;
use tarpc::server::Channel as _;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_serde::formats::Bincode;
use wire::api::DirectoryApi;
use wire::api::DirectoryApiRequest;
use wire::api::DirectoryApiResponse;
use wire::link;
use wire::link::Channel;

use crate::shared::Shared;
use crate::sync::Api;

/// Most connections at once.
const MAX_CONNECTIONS: usize = 1024;
/// Most requests in flight on one connection.
const MAX_REQUESTS: usize = 64;
/// Time for answers to leave once the directory stops; held polls are answered at once then.
const DRAIN: Duration = Duration::from_millis(250);

type In = ClientMessage<DirectoryApiRequest>;
type Out = Response<DirectoryApiResponse>;

/// Where connections come in.
pub type Listener = Incoming<In, Out, Bincode<In, Out>, fn() -> Bincode<In, Out>>;

/// Listens at `address`.
///
/// # Errors
///
/// Fails when the address can't be had.
pub async fn listen(address: SocketAddr) -> io::Result<Listener> {
    link::listen(address).await
}

/// Serves connections until the directory stops, and then what is in flight.
pub async fn serve(shared: Arc<Shared>, mut listener: Listener) {
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let next = tokio::select! {
            next = listener.next() => next,
            () = shared.stop.cancelled() => break,
        };
        while connections.try_join_next().is_some() {}
        match next {
            Some(Ok(channel)) => {
                let Ok(permit) = room.clone().try_acquire_owned() else {
                    debug!(shared.log, "connection refused"; "error" => "too many");
                    continue;
                };
                let shared = shared.clone();
                connections.spawn(async move {
                    converse(shared, channel).await;
                    drop(permit);
                });
            }
            Some(Err(err)) => debug!(shared.log, "connection failed"; "error" => %err),
            None => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Answers one connection's requests until it ends, or the directory stops and
/// the answers to held polls had time to leave.
async fn converse(shared: Arc<Shared>, channel: Channel<In, Out>) {
    let stop = shared.stop.clone();
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_REQUESTS,
    };
    // Without it an answer may wait for the acknowledgement of the one before.
    let _ = channel.get_ref().set_nodelay(true);
    let channel = BaseChannel::new(config, channel);
    let requests = channel.execute(Api(shared).serve());
    let ended = async {
        stop.cancelled().await;
        sleep(DRAIN).await;
    };
    requests
        .take_until(Box::pin(ended))
        .for_each_concurrent(MAX_REQUESTS, |answer| answer)
        .await;
}
