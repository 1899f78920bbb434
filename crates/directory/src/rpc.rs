//! Accepts `tarpc` connections, with bounds on connections and requests.

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

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum number of requests in flight per connection.
const MAX_REQUESTS: usize = 64;
/// Time to send replies once the directory stops; waiting polls are replied to at once then.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

type Request = ClientMessage<DirectoryApiRequest>;
type Reply = Response<DirectoryApiResponse>;

/// Source of incoming connections.
pub type Listener = Incoming<Request, Reply>;

/// Listens at `address`.
///
/// # Errors
///
/// Fails when the address is not available.
pub async fn listen(address: SocketAddr) -> io::Result<Listener> {
    link::listen(address).await
}

/// Serves connections until the directory stops, then finishes requests in flight.
pub async fn serve(shared: Arc<Shared>, listener: Listener) {
    let acceptor = Acceptor {
        max_connections: MAX_CONNECTIONS,
        stop: shared.stop.clone(),
        log: shared.log.clone(),
    };
    acceptor
        .run(listener, |channel| {
            serve_connection(shared.clone(), channel)
        })
        .await;
}

/// Serves the requests of one connection until it closes, or until [`DRAIN_TIMEOUT`] after the
/// directory stops.
async fn serve_connection(shared: Arc<Shared>, channel: Channel<Request, Reply>) {
    let stop = shared.stop.clone();
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_REQUESTS,
    };
    let channel = BaseChannel::new(config, channel);
    let requests = channel.execute(Api(shared).serve());
    let drained = async {
        stop.cancelled().await;
        sleep(DRAIN_TIMEOUT).await;
    };
    requests
        .take_until(Box::pin(drained))
        .for_each_concurrent(MAX_REQUESTS, |reply| reply)
        .await;
}
