//! Connections to one instance, kept open between requests.
//!
//! A kept connection is watched all the time: one on which bytes come unasked,
//! or that the instance closes, is never used again.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::body::ForwardedBody;

/// Longest wait for a connection: over a hundred times the way between failure
/// domains, and short beside the aim of any request.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Kept connections that one instance gets at most from this process, as all
/// entry processes share what an instance takes.
const MAX_IDLE: usize = 8;
/// How long a connection is kept for which the instance named no time.
const UNNAMED_IDLE: Duration = Duration::from_millis(300);
/// Taken off the time that an instance names, as its clock starts earlier.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// A silent connection is probed after so long,
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// and so often a second, before the system gives it up.
const PROBES: u32 = 2;

quick_error! {
    /// Why there is no connection; no byte of the request has left then.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The system refused or the instance did.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// No answer in time.
        Timeout {
            display("no answer within {CONNECT_TIMEOUT:?}")
        }
        /// The connection closed at once.
        Handshake(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// One connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<ForwardedBody>,
    _driver: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The kept connections to one instance.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// No connection yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// The connection that was used last, if one is still good.
    pub fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        let ready = idle
            .iter()
            .rposition(|kept| kept.connection.sender.is_ready())?;
        Some(idle.remove(ready).connection)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the instance doesn't take it in time.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let connecting = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(stream) => stream?,
            Err(_) => return Err(ConnectError::Timeout),
        };
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(PROBE_IDLE)
            .with_interval(PROBE_IDLE)
            .with_retries(PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = tokio::spawn(async move {
            // Whoever waits for an answer on it is told; a kept one is just gone.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Keeps a connection whose answer was whole; `named` is how long the
    /// instance keeps it.
    pub fn keep(&self, connection: Connection, named: Option<Duration>) {
        let span = named.map_or(UNNAMED_IDLE, |named| named.saturating_sub(IDLE_MARGIN));
        let until = Instant::now() + span;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && !span.is_zero() {
            idle.push(Idle { connection, until });
        }
    }
}
