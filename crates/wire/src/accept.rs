//! Accepts a limited number of connections and serves each in its own task.

use std::io;
use std::time::Duration;

use futures::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::debug;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::link::Channel;
use crate::link::Incoming;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Accept loop of one listener.
#[derive(Clone, Debug)]
pub struct Acceptor {
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Stops accepting when cancelled; open connections continue.
    pub stop: CancellationToken,
    /// Log for refused connections and failed accepts.
    pub log: Logger,
}

impl Acceptor {
    /// Accepts connections until `stop` is cancelled, then closes the listener and waits
    /// for the open connections to end.
    ///
    /// `serve` handles one connection until it ends. A malformed or oversized frame
    /// ends only its own connection. Dropping the future closes all connections.
    pub async fn run<In, Out, F>(
        self,
        mut incoming: Incoming<In, Out>,
        serve: impl Fn(Channel<In, Out>) -> F,
    ) where
        In: for<'de> Deserialize<'de>,
        Out: Serialize,
        F: Future<Output = ()> + Send + 'static,
    {
        let mut connections = JoinSet::new();
        loop {
            // Biased so that ended connections are removed before the limit is checked.
            let next = tokio::select! {
                biased;
                () = self.stop.cancelled() => break,
                Some(_) = connections.join_next() => continue,
                next = incoming.next() => next,
            };
            match next {
                Some(Ok(channel)) if self.admits(&channel, connections.len()) => {
                    connections.spawn(serve(channel));
                }
                Some(Ok(_)) => {}
                Some(Err(err)) => {
                    debug!(self.log, "accepting a connection failed"; "error" => %err);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => break,
            }
        }
        drop(incoming);
        while connections.join_next().await.is_some() {}
    }

    fn admits<In, Out>(&self, channel: &Channel<In, Out>, open: usize) -> bool
    where
        In: for<'de> Deserialize<'de>,
        Out: Serialize,
    {
        if open >= self.max_connections {
            debug!(self.log, "connection refused"; "open" => open);
            return false;
        }
        configure_socket(channel.get_ref()).is_ok()
    }
}

/// Disables Nagle's algorithm, which would delay small frames, and enables keepalive,
/// so that a vanished peer does not occupy a connection forever.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
