//! Accepts `tarpc` connections with bounded frames and requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::server::BaseChannel;
use tarpc::server::Channel as _;
use tokio::time::sleep;
use wire::accept::Acceptor;
use wire::api::DirectoryApi;
use wire::api::DirectoryApiRequest;
use wire::api::DirectoryApiResponse;
use wire::link;
use wire::link::Channel;
use wire::link::Incoming;

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
pub type Listener = Incoming<In, Out>;

/// Listens at `address`.
///
/// # Errors
///
/// Fails when the address can't be had.
pub async fn listen(address: SocketAddr) -> io::Result<Listener> {
    link::listen(address).await
}

/// Serves connections until the directory stops, and then what is in flight.
pub async fn serve(shared: Arc<Shared>, listener: Listener) {
    let acceptor = Acceptor {
        max_connections: MAX_CONNECTIONS,
        stop: shared.stop.clone(),
        log: shared.log.clone(),
    };
    acceptor
        .run(listener, |channel| converse(shared.clone(), channel))
        .await;
}

/// Answers one connection's requests until it ends, or the directory stops and
/// the answers to held polls had time to leave.
async fn converse(shared: Arc<Shared>, channel: Channel<In, Out>) {
    let stop = shared.stop.clone();
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_REQUESTS,
    };
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
