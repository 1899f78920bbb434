//! The listener with a way to close it while its connections go on.
//!
//! The server library holds its listener until the last connection ends, so
//! that callers would connect and wait for nobody. The door drops the listener
//! first: they are refused at once and go elsewhere.

use std::future::pending;
use std::io;

use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::ArcFusePolicy;
use tokio_util::sync::CancellationToken;

/// A listener that can be closed.
pub struct Door {
    inner: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    closing: CancellationToken,
    closed: CancellationToken,
}

impl Door {
    /// An open door that closes after `closing`.
    #[must_use]
    pub fn new(inner: TcpAcceptor, closing: CancellationToken) -> Self {
        Self {
            holdings: inner.holdings().to_vec(),
            inner: Some(inner),
            closing,
            closed: CancellationToken::new(),
        }
    }

    /// Cancelled once the listener is closed.
    #[must_use]
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }
}

impl Acceptor for Door {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(inner) = &mut self.inner {
            tokio::select! {
                biased;
                () = self.closing.cancelled() => {}
                accepted = inner.accept(policy) => return accepted,
            }
        }
        self.inner = None;
        self.closed.cancel();
        pending().await
    }
}
