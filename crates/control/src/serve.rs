//! Accepts connections within bounds and serves each on its own task.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_serde::formats::Bincode;
use tokio_util::sync::CancellationToken;
use wire::link::Channel;

/// Connections on one port; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// Pause after the system refused to accept.
const PAUSE: Duration = Duration::from_millis(50);
/// A connection that is idle for so long is probed,
const IDLE: Duration = Duration::from_secs(30);
/// again after so long,
const PROBE: Duration = Duration::from_secs(5);
/// and so often, before it is closed.
const PROBES: u32 = 3;
/// Responses that wait for one connection.
pub const MAX_RESPONSES: usize = 4096;

/// A bound port.
pub type Incoming<In, Out> =
    tarpc::serde_transport::tcp::Incoming<In, Out, Bincode<In, Out>, fn() -> Bincode<In, Out>>;

/// When to stop accepting, and when to close what was accepted.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// Take no new connection.
    pub accept: CancellationToken,
    /// Close all connections.
    pub serve: CancellationToken,
}

/// Accepts until told to stop; `serve` runs one connection to its end.
///
/// A connection that sends garbage or too long a frame ends alone.
pub async fn accept<In, Out, F>(
    mut incoming: Incoming<In, Out>,
    ends: Ends,
    serve: impl Fn(Channel<In, Out>) -> F,
) where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let next = tokio::select! {
            () = ends.accept.cancelled() => return,
            next = incoming.next() => next,
        };
        let channel = match next {
            Some(Ok(channel)) => channel,
            Some(Err(_)) => {
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            None => return,
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        if prepare(channel.get_ref()).is_err() {
            continue;
        }
        let connection = serve(channel);
        let end = ends.serve.clone();
        tokio::spawn(async move {
            let _permit = permit;
            end.run_until_cancelled(connection).await;
        });
    }
}

/// Small frames must not wait for the ones before to be acknowledged, and a
/// peer that vanished must not keep its place.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(IDLE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
