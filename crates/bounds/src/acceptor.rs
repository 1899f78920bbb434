//! Accepts the connections of an HTTP server of `salvo` within the bounds, and records its requests.

use std::io;
use std::net::SocketAddr;

use http_body::Body;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::StraightStream;
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use salvo::http::StatusCode;
use salvo::http::header;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clients::Clients;
use crate::connection::Client;
use crate::connection::Receiving;
use crate::connection::RequestGuard;
use crate::stream::ClientStream;

/// When a request that finds no memory may come back, in seconds: stalled clients give way by then.
const RETRY_AFTER_S: &str = "1";

/// Accepts connections within the bounds.
pub struct BoundedAcceptor {
    inner: TcpAcceptor,
    clients: Clients,
}

impl BoundedAcceptor {
    /// Accepts the connections of `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn new(listener: TcpListener, clients: Clients) -> io::Result<Self> {
        let inner = TcpAcceptor::try_from(listener)?;
        Ok(Self { inner, clients })
    }
}

impl Acceptor for BoundedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = ClientStream<StraightStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let accepted = self.inner.accept(policy.clone()).await?;
            let Some(peer) = accepted.remote_addr.clone().into_std() else {
                continue;
            };
            let control = accepted.conn_ctrl.clone();
            if let Some(admitted) = self.clients.admit(peer, move || control.abort()) {
                return Ok(accepted.map_into(|_| TcpCoupler::new(), |s| admitted.with(s)));
            }
            // Other tasks close connections meanwhile.
            tokio::task::yield_now().await;
        }
    }
}

/// Records the requests of a server, and refuses those that find no memory.
pub struct TrackRequests(pub Clients);

#[salvo::async_trait]
impl Handler for TrackRequests {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let client = client(&self.0, req);
        if let Ok(guard) = client.begin().await {
            if !req.body().is_end_stream() {
                depot.insert_typed(guard.receiving());
            }
            depot.insert_typed(guard);
            ctrl.call_next(req, depot, res).await;
            return;
        }
        ctrl.skip_rest();
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = header::HeaderValue::from_static(RETRY_AFTER_S);
        res.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
}

/// The client that has sent `req`.
#[must_use]
pub fn client(clients: &Clients, req: &Request) -> Client {
    let peer: Option<SocketAddr> = req.remote_addr().clone().into_std();
    peer.map_or_else(|| clients.unconnected(), |peer| clients.find(peer))
}

/// Records that the handler has read the body. Until then, the request may give way to others.
pub fn record_received(depot: &mut Depot) {
    // There is none if the request has no body.
    let _ = depot.remove_typed::<Receiving>();
}

/// The request that [`TrackRequests`] recorded.
///
/// # Panics
///
/// Panics in handlers of a server that doesn't have it.
#[must_use]
pub fn tracked(depot: &Depot) -> &RequestGuard {
    let tracked = depot.get_typed::<RequestGuard>();
    tracked.unwrap_or_else(|_| unreachable!("the server records its requests"))
}
