//! Client of the ledger on the control replicas, for requests of class once.

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

/// Timeout for one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after all replicas failed in turn.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Client that tries the control replicas in turn, from the one that replied last.
pub struct LedgerClient {
    replicas: Vec<ControlLink>,
    preferred: AtomicUsize,
}

impl LedgerClient {
    /// Creates a client for the replicas at `addresses`.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let replicas = addresses
            .iter()
            .map(|address| peer::control(*address))
            .collect();
        Self {
            replicas,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Claims a key; returns `None` if no quorum replied before `deadline`.
    ///
    /// All replicas get the same message, so that a claim whose reply was lost is
    /// granted again.
    pub async fn claim(&self, claim: &Claim, deadline: Instant) -> Option<Kind> {
        self.try_replicas(deadline, |link, timeout| async move {
            let client = link.client().await?;
            let reply = link.check_result(client.claim(within(timeout), claim.clone()).await)?;
            Ok(reply.kind.filter(|k| !matches!(k, Kind::Unreachable(_))))
        })
        .await
    }

    /// Settles a claim; returns whether a quorum recorded it before `deadline`.
    pub async fn settle(&self, settle: &Settle, deadline: Instant) -> bool {
        let recorded = self
            .try_replicas(deadline, |link, timeout| async move {
                let client = link.client().await?;
                let reply =
                    link.check_result(client.settle(within(timeout), settle.clone()).await)?;
                Ok(reply.recorded.then_some(()))
            })
            .await;
        recorded.is_some()
    }

    async fn try_replicas<'a, T, F>(
        &'a self,
        deadline: Instant,
        call: impl Fn(&'a ControlLink, Duration) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Option<T>, LinkError>>,
    {
        let count = self.replicas.len();
        let start = self.preferred.load(Ordering::Relaxed);
        let mut step = 0;
        while count > 0 && Instant::now() < deadline {
            let index = (start + step) % count;
            let remaining = deadline - Instant::now();
            if let Ok(Some(reply)) =
                call(&self.replicas[index], REPLICA_TIMEOUT.min(remaining)).await
            {
                self.preferred.store(index, Ordering::Relaxed);
                return Some(reply);
            }
            step += 1;
            if step % count == 0 {
                sleep(ROUND_PAUSE).await;
            }
        }
        None
    }
}
