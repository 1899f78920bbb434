//! TCP clients and listeners for `tarpc` with limited frames, deadlines and reconnection.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::serde_transport::tcp;
use tokio::net::TcpStream;
use tokio_serde::formats::Bincode;

/// Maximum size of a frame in bytes; a larger one ends its connection. A route table with 100,000
/// workspaces has 4.3 MB, and the operator's document that the hubs store with it 11 MB.
pub const MAX_FRAME: usize = 32 * 1024 * 1024;
/// Default timeout of a connection attempt. It is shorter than the retransmission
/// timeout of a lost SYN, 1 s, so that a new attempt replaces the retransmission.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of calls in a row that may exceed a short deadline before the connection is replaced.
const MAX_TIMEOUTS: u32 = 3;
/// Maximum number of requests in flight on one connection.
pub const MAX_PENDING: usize = 4096;

quick_error! {
    /// Reason why a call to a peer failed.
    #[derive(Debug)]
    pub enum LinkError {
        /// The connection could not be opened.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("connect to {address}: {err}")
        }
        /// The connection was not opened within the timeout.
        Timeout(address: SocketAddr, timeout: Duration) {
            display("connect to {address}: no answer within {timeout:?}")
        }
        /// The call failed or exceeded its deadline.
        Call(address: SocketAddr, err: tarpc::client::RpcError) {
            source(err)
            display("call to {address}: {err}")
        }
    }
}

/// Transport of a `tarpc` channel that receives `In` and sends `Out`.
pub type Channel<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Listener that yields a channel for each accepted connection.
pub type Incoming<In, Out> = tcp::Incoming<In, Out, Bincode<In, Out>, fn() -> Bincode<In, Out>>;

/// Listens at `address` for channels whose frames are limited to [`MAX_FRAME`].
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen<In, Out>(address: SocketAddr) -> io::Result<Incoming<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let codec: fn() -> Bincode<In, Out> = Bincode::default;
    let mut incoming = tcp::listen(address, codec).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME);
    Ok(incoming)
}

/// Returns a `tarpc` context with a deadline `timeout` from now.
#[must_use]
pub fn within(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Client of one peer that connects on first use and reconnects after a failed call.
pub struct Link<C, In, Out> {
    address: SocketAddr,
    client: Mutex<Option<C>>,
    /// Number of calls in a row that exceeded a short deadline.
    timeouts: AtomicU32,
    spawn_client: fn(Channel<In, Out>) -> C,
}

impl<C, In, Out> Link<C, In, Out>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    /// Creates an unconnected link to `address`; `spawn_client` makes a client of a new channel.
    pub fn new(address: SocketAddr, spawn_client: fn(Channel<In, Out>) -> C) -> Self {
        Self {
            address,
            client: Mutex::new(None),
            timeouts: AtomicU32::new(0),
            spawn_client,
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connected client, or connects with [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened within the timeout.
    pub async fn client(&self) -> Result<C, LinkError> {
        self.client_with_timeout(CONNECT_TIMEOUT).await
    }

    /// Returns the connected client, or connects with the given timeout.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened within `timeout`.
    pub async fn client_with_timeout(&self, timeout: Duration) -> Result<C, LinkError> {
        if let Some(client) = self.lock_client().clone() {
            return Ok(client);
        }
        let codec: fn() -> Bincode<In, Out> = Bincode::default;
        let mut connect = tcp::connect(self.address, codec);
        connect.config_mut().max_frame_length(MAX_FRAME);
        let channel = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| LinkError::Timeout(self.address, timeout))?
            .map_err(|err| LinkError::Connect(self.address, err))?;
        // Nagle's algorithm would delay small frames.
        channel
            .get_ref()
            .set_nodelay(true)
            .map_err(|err| LinkError::Connect(self.address, err))?;
        let client = (self.spawn_client)(channel);
        *self.lock_client() = Some(client.clone());
        Ok(client)
    }

    /// Adds the peer's address to a failed call's error, and drops the client so that
    /// the next call reconnects.
    ///
    /// # Errors
    ///
    /// Fails if the call failed.
    pub fn check_result<T>(
        &self,
        result: Result<T, tarpc::client::RpcError>,
    ) -> Result<T, LinkError> {
        result.map_err(|err| {
            self.drop_client();
            LinkError::Call(self.address, err)
        })
    }

    /// Like [`Self::check_result`] for calls with a short deadline: a peer that is briefly busy
    /// exceeds it on a sound connection, and would be busier with reconnections. The client is
    /// dropped after the third such call in a row.
    ///
    /// # Errors
    ///
    /// Fails if the call failed.
    pub fn check_short_call<T>(
        &self,
        result: Result<T, tarpc::client::RpcError>,
    ) -> Result<T, LinkError> {
        match result {
            Ok(reply) => {
                self.timeouts.store(0, Ordering::Relaxed);
                Ok(reply)
            }
            Err(err @ tarpc::client::RpcError::DeadlineExceeded) => {
                self.record_timeout();
                Err(LinkError::Call(self.address, err))
            }
            Err(err) => self.check_result(Err(err)),
        }
    }

    /// Records a call whose caller stopped waiting for the reply.
    pub fn record_timeout(&self) {
        if self.timeouts.fetch_add(1, Ordering::Relaxed) + 1 >= MAX_TIMEOUTS {
            self.timeouts.store(0, Ordering::Relaxed);
            self.drop_client();
        }
    }

    /// Drops the client, so that the next call reconnects.
    pub fn drop_client(&self) {
        *self.lock_client() = None;
    }

    fn lock_client(&self) -> std::sync::MutexGuard<'_, Option<C>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
