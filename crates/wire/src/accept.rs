//! Accepts connections within bounds and serves each on its own task.

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

/// Pause after the system refused to accept.
const PAUSE: Duration = Duration::from_millis(50);
/// A connection that is idle for so long is probed,
const IDLE: Duration = Duration::from_secs(30);
/// again after so long,
const PROBE: Duration = Duration::from_secs(5);
/// and so often, before it is closed.
const PROBES: u32 = 3;

/// How one port takes connections.
#[derive(Clone, Debug)]
pub struct Acceptor {
    /// Most connections at once; further ones are closed as they come.
    pub max_connections: usize,
    /// Ends accepting; what was accepted goes on.
    pub stop: CancellationToken,
    /// Where refused connections are told.
    pub log: Logger,
}

impl Acceptor {
    /// Accepts until `stop`, frees the port, and waits for what was accepted.
    ///
    /// `serve` runs one connection to its end; a connection that sends garbage
    /// or too long a frame ends alone. Dropped, this closes all connections.
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
            // What ended makes room before the next one is looked at.
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
                    debug!(self.log, "connection failed"; "error" => %err);
                    tokio::time::sleep(PAUSE).await;
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
        prepare(channel.get_ref()).is_ok()
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
