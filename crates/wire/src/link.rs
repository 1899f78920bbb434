//! TCP links for `tarpc` with bounded frames, deadlines and reconnection.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
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

/// Largest frame in bytes; a larger one ends its connection.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;
/// Longest wait for a connection: ten times the way between regions. An opening
/// packet that is lost is sent again after a second; a new try is sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests in flight on one accepted connection.
pub const MAX_PENDING: usize = 4096;

quick_error! {
    /// Why a peer gave no answer.
    #[derive(Debug)]
    pub enum LinkError {
        /// No connection.
        Connect(address: SocketAddr, err: io::Error) {
            source(err)
            display("connect to {address}: {err}")
        }
        /// The connection took too long.
        Timeout(address: SocketAddr, span: Duration) {
            display("connect to {address}: no answer within {span:?}")
        }
        /// The call failed on the connection or ran out of time.
        Call(address: SocketAddr, err: tarpc::client::RpcError) {
            source(err)
            display("call to {address}: {err}")
        }
    }
}

/// The transport of a `tarpc` channel, `In` what it receives, `Out` what it sends.
pub type Channel<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// A bound port.
pub type Incoming<In, Out> = tcp::Incoming<In, Out, Bincode<In, Out>, fn() -> Bincode<In, Out>>;

/// Listens at `address` for channels with bounded frames.
///
/// # Errors
///
/// Fails when the address can't be bound.
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

/// A `tarpc` context that ends `span` from now.
#[must_use]
pub fn within(span: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + span;
    context
}

/// A client of one peer that connects when first used and again after a failure.
pub struct Link<C, In, Out> {
    address: SocketAddr,
    client: Mutex<Option<C>>,
    make: fn(Channel<In, Out>) -> C,
}

impl<C, In, Out> Link<C, In, Out>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    /// A link to `address`, not yet connected; `make` spawns the client.
    pub fn new(address: SocketAddr, make: fn(Channel<In, Out>) -> C) -> Self {
        Self {
            address,
            client: Mutex::new(None),
            make,
        }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The client, connected anew when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the peer doesn't take the connection in time.
    pub async fn client(&self) -> Result<C, LinkError> {
        self.client_with_timeout(CONNECT_TIMEOUT).await
    }

    /// The same with a bound of its own on the time that a connection takes.
    ///
    /// # Errors
    ///
    /// Fails when the peer doesn't take the connection within `span`.
    pub async fn client_with_timeout(&self, span: Duration) -> Result<C, LinkError> {
        if let Some(client) = self.slot().clone() {
            return Ok(client);
        }
        let codec: fn() -> Bincode<In, Out> = Bincode::default;
        let mut connect = tcp::connect(self.address, codec);
        connect.config_mut().max_frame_length(MAX_FRAME);
        let channel = tokio::time::timeout(span, connect)
            .await
            .map_err(|_| LinkError::Timeout(self.address, span))?
            .map_err(|err| LinkError::Connect(self.address, err))?;
        // Small frames must not wait for the ones before to be acknowledged.
        channel
            .get_ref()
            .set_nodelay(true)
            .map_err(|err| LinkError::Connect(self.address, err))?;
        let client = (self.make)(channel);
        *self.slot() = Some(client.clone());
        Ok(client)
    }

    /// Turns a call's result into the link's; a failed call drops the client.
    ///
    /// # Errors
    ///
    /// Passes the call's failure on.
    pub fn check_result<T>(
        &self,
        result: Result<T, tarpc::client::RpcError>,
    ) -> Result<T, LinkError> {
        result.map_err(|err| {
            self.drop_client();
            LinkError::Call(self.address, err)
        })
    }

    /// Drops the client, so that the next call connects anew.
    pub fn drop_client(&self) {
        *self.slot() = None;
    }

    fn slot(&self) -> std::sync::MutexGuard<'_, Option<C>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
