//! Relays requests through other entry processes while this one doesn't reach the instances.
//!
//! A request is relayed once at most. The process that receives it makes the attempts, within
//! what is left of the request's deadline and number of attempts, and names the outcome. It is
//! sent only to a process that has answered that it reaches the instances; [`search`] asks.

mod hop;
pub mod search;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;

pub use self::hop::Hop;
pub use self::hop::HopOutcome;
pub use self::hop::OUTCOME;
pub use self::hop::PeerReport;
pub use self::hop::Question;
pub use self::hop::take_instance;
pub use self::hop::write_instance;
use crate::body::ForwardedBody;
use crate::pool::Connection;
use crate::pool::Pool;

/// Another entry process.
#[derive(Debug)]
pub struct Peer {
    /// The address at which it takes relayed requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Connections to it.
    pub pool: Pool,
    in_flight: AtomicUsize,
}

impl Peer {
    /// A process of which nothing is known yet.
    #[must_use]
    pub fn new(address: SocketAddr, domain: Arc<str>) -> Self {
        Self {
            address,
            domain,
            pool: Pool::new(address),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Number of requests that it relays for this process.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// A request that a peer relays. Counts as in flight until dropped.
#[derive(Debug)]
pub struct PeerLease(Arc<Peer>);

impl PeerLease {
    /// Counts a request.
    #[must_use]
    pub fn new(peer: Arc<Peer>) -> Self {
        peer.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(peer)
    }

    /// The process that relays the request.
    #[must_use]
    pub fn peer(&self) -> &Arc<Peer> {
        &self.0
    }
}

impl Drop for PeerLease {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts the requests that this process relays for others.
#[derive(Clone, Debug, Default)]
pub struct RelayCount(Arc<AtomicUsize>);

impl RelayCount {
    /// The current number.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn count(&self) -> RelayGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        RelayGuard(Arc::clone(&self.0))
    }
}

/// A request that counts in a [`RelayCount`].
#[derive(Debug)]
pub struct RelayGuard(Arc<AtomicUsize>);

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How sending a request to a peer ended.
pub enum SendEnd {
    /// It responded.
    Response(Response<Incoming>, Connection),
    /// No byte of the request was sent; its body.
    Unsent(ForwardedBody),
    /// The connection broke off after the request was sent.
    Broken,
}

/// Sends the request on a pooled or a new connection; `id` is its id, which a question doesn't have.
pub async fn send(
    peer: &Peer,
    mut request: Request<ForwardedBody>,
    id: Option<&HeaderValue>,
) -> SendEnd {
    loop {
        let pooled = peer.pool.take(id);
        let is_new = pooled.is_none();
        let connection = match pooled {
            Some(connection) => Ok(connection),
            None => peer.pool.connect().await,
        };
        let Ok(mut connection) = connection else {
            return SendEnd::Unsent(request.into_body());
        };
        match connection.sender.try_send_request(request).await {
            Ok(response) => return SendEnd::Response(response, connection),
            Err(mut err) => match err.take_message() {
                // The pooled connection was closed before the request was written.
                Some(unsent) if !is_new => request = unsent,
                Some(unsent) => return SendEnd::Unsent(unsent.into_body()),
                None => return SendEnd::Broken,
            },
        }
    }
}
