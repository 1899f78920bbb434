//! Acceptor whose listener can be closed while its connections stay open.
//!
//! The server library keeps its listener open until the last connection ends, so
//! new callers would connect and never be served. Dropping the listener first
//! makes their connections fail at once, so that they use another gateway.

use std::future::pending;
use std::io;

use bounds::BoundedAcceptor;
use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::fuse::ArcFusePolicy;
use tokio_util::sync::CancellationToken;

/// Acceptor that can be closed.
pub struct ClosableAcceptor {
    inner: Option<BoundedAcceptor>,
    holdings: Vec<Holding>,
    closing: CancellationToken,
    closed: CancellationToken,
}

impl ClosableAcceptor {
    /// Wraps `inner`, which is dropped once `closing` is cancelled.
    #[must_use]
    pub fn new(inner: BoundedAcceptor, closing: CancellationToken) -> Self {
        Self {
            holdings: inner.holdings().to_vec(),
            inner: Some(inner),
            closing,
            closed: CancellationToken::new(),
        }
    }

    /// Token that is cancelled once the listener is closed.
    #[must_use]
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }
}

impl Acceptor for ClosableAcceptor {
    type Coupler = <BoundedAcceptor as Acceptor>::Coupler;
    type Stream = <BoundedAcceptor as Acceptor>::Stream;

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
