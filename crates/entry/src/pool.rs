//! A pool of keep-alive connections to one instance.
//!
//! Idle connections are monitored all the time: a connection that is closed by the instance, or
//! that receives unsolicited bytes, is never reused.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bounds::InstanceStream;
use bounds::READ_BUFFER_BYTES;
use http::HeaderValue;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use strum::IntoStaticStr;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::body::ForwardedBody;

/// Connect timeout. It allows for the round trip between failure domains many times over, and is
/// short compared to the aim of any request.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of idle connections to an instance from this process, as all entry processes
/// share the instance's capacity.
const MAX_IDLE: usize = 8;
/// Maximum number of requests that may be refused on a connection. Bounds the memory for their ids.
const MAX_REFUSED: usize = 32;
/// Idle timeout if the instance didn't announce a keep-alive timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(300);
/// Subtracted from the announced keep-alive timeout, which starts earlier at the instance.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// TCP keep-alive: idle time before the first probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// TCP keep-alive: number of unanswered probes after which the connection is dropped.
const KEEPALIVE_RETRIES: u32 = 2;

quick_error! {
    /// Why no connection could be opened. No byte of the request has been sent.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The operating system or the instance refused the connection.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The connection wasn't established in time.
        Timeout {
            display("no connection within {CONNECT_TIMEOUT:?}")
        }
        /// The HTTP handshake failed.
        Handshake(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// What is sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Message {
    /// A request.
    Request,
    /// A probe of an instance's load.
    Probe,
    /// The question whether a peer reaches the instances of a service.
    Question,
}

/// What a connection has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of messages that got a response.
    pub uses: u64,
    /// The latest of them.
    pub last: Option<Message>,
}

impl Usage {
    /// The latest message in the log, "-" for a new connection.
    #[must_use]
    pub fn last_label(&self) -> &'static str {
        self.last.map_or("-", Into::into)
    }
}

/// What a connection remembers of the messages that it has carried.
#[derive(Debug)]
struct History {
    opened_at: Instant,
    usage: Usage,
    /// Copies of the ids of refused requests. A `HeaderValue` may keep a whole read buffer
    /// allocated.
    refused: Vec<Box<[u8]>>,
}

/// A connection, which is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<ForwardedBody>,
    // Boxed, so that moving a connection is cheap.
    history: Box<History>,
    _driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Records a message that got a response. Returns what the connection had carried before.
    pub fn record_use(&mut self, message: Message) -> Usage {
        let before = self.history.usage;
        self.history.usage = Usage {
            uses: before.uses.saturating_add(1),
            last: Some(message),
        };
        before
    }

    /// Records that the request with this id was refused. A late copy of the refusal can't be told
    /// from that of another send of it, so it is never sent again on this connection.
    pub fn record_refused(&mut self, id: &HeaderValue) {
        self.history.refused.push(id.as_bytes().into());
    }

    /// Whether it may be used again, as it can remember another refused request.
    fn is_reusable(&self) -> bool {
        self.history.refused.len() < MAX_REFUSED
    }

    /// Whether the request with this id can be sent on it.
    fn takes(&self, id: Option<&HeaderValue>) -> bool {
        id.is_none_or(|id| {
            let mut refused = self.history.refused.iter();
            refused.all(|other| **other != *id.as_bytes())
        })
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections to an instance.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Idle>,
    /// Connections that were opened before this moment aren't kept.
    kept_from: Option<Instant>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: Mutex::default(),
        }
    }

    /// Takes the most recently used connection that is still open and on which the request with
    /// this id wasn't refused; probes have none.
    pub fn take(&self, id: Option<&HeaderValue>) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.state();
        let idle = &mut state.idle;
        idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        let ready = idle
            .iter()
            .rposition(|entry| entry.connection.sender.is_ready() && entry.connection.takes(id))?;
        Some(idle.remove(ready).connection)
    }

    /// Whether an idle connection is open.
    pub fn has_idle(&self) -> bool {
        let now = Instant::now();
        let state = self.state();
        let is_open = |entry: &Idle| entry.expires_at > now && entry.connection.sender.is_ready();
        state.idle.iter().any(is_open)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection isn't established within [`CONNECT_TIMEOUT`].
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let connecting = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(stream) => stream?,
            Err(_) => return Err(ConnectError::Timeout),
        };
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(InstanceStream::new(stream)))
            .await?;
        let driver = tokio::spawn(async move {
            // An error is reported to the request on the connection; without one, the connection
            // is just closed.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            history: Box::new(History {
                opened_at: Instant::now(),
                usage: Usage::default(),
                refused: Vec::new(),
            }),
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Returns a connection to the pool on which nothing more is due: each request sent on it has
    /// been answered completely by a response that names it, each probe and question by one that
    /// names none. `announced` is the instance's keep-alive timeout.
    pub fn keep(&self, connection: Connection, announced: Option<Duration>) {
        let idle_timeout =
            announced.map_or(DEFAULT_IDLE, |timeout| timeout.saturating_sub(IDLE_MARGIN));
        let expires_at = Instant::now() + idle_timeout;
        let mut state = self.state();
        let is_kept = state
            .kept_from
            .is_none_or(|moment| moment <= connection.history.opened_at);
        let has_room = state.idle.len() < MAX_IDLE && !idle_timeout.is_zero();
        if has_room && is_kept && connection.is_reusable() {
            state.idle.push(Idle {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections, and keeps none of those in use, after a response of another
    /// request: further such responses may be due on any connection that is open now.
    pub fn discard_open(&self) {
        let mut state = self.state();
        state.idle.clear();
        state.kept_from = Some(Instant::now());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
