//! Claims and settlements at the control replicas, for class once.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use wire::ledger::Claim;
use wire::ledger::Settle;
use wire::ledger::claim_reply::Kind;
use wire::link::LinkError;
use wire::link::within;
use wire::peer;
use wire::peer::ControlLink;

/// Longest wait for one replica.
const REPLICA_TIME: Duration = Duration::from_millis(500);
/// Pause after every replica failed once.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// The control replicas, asked in turn from the one that answered last.
pub struct Claims {
    replicas: Vec<ControlLink>,
    first: AtomicUsize,
}

impl Claims {
    /// Links to `addresses`.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let replicas = addresses
            .iter()
            .map(|address| peer::control(*address))
            .collect();
        Self {
            replicas,
            first: AtomicUsize::new(0),
        }
    }

    /// Claims until `until`; `None` when no quorum answered.
    ///
    /// The same message goes to one replica after the other, so that a claim
    /// whose answer was lost is granted again to the same claimant.
    pub async fn claim(&self, claim: &Claim, until: Instant) -> Option<Kind> {
        self.ask(until, |link, span| async move {
            let client = link.client().await?;
            let reply = link.check_result(client.claim(within(span), claim.clone()).await)?;
            Ok(reply.kind.filter(|k| !matches!(k, Kind::Unreachable(_))))
        })
        .await
    }

    /// Settles until `until`; says whether a quorum recorded it.
    pub async fn settle(&self, settle: &Settle, until: Instant) -> bool {
        let recorded = self
            .ask(until, |link, span| async move {
                let client = link.client().await?;
                let reply = link.check_result(client.settle(within(span), settle.clone()).await)?;
                Ok(reply.recorded.then_some(()))
            })
            .await;
        recorded.is_some()
    }

    async fn ask<'a, T, F>(
        &'a self,
        until: Instant,
        once: impl Fn(&'a ControlLink, Duration) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Option<T>, LinkError>>,
    {
        let count = self.replicas.len();
        let begin = self.first.load(Ordering::Relaxed);
        let mut step = 0;
        while count > 0 && Instant::now() < until {
            let index = (begin + step) % count;
            let left = until - Instant::now();
            if let Ok(Some(answer)) = once(&self.replicas[index], REPLICA_TIME.min(left)).await {
                self.first.store(index, Ordering::Relaxed);
                return Some(answer);
            }
            step += 1;
            if step % count == 0 {
                sleep(ROUND_PAUSE).await;
            }
        }
        None
    }
}
