//! Calls to other holders.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use dispatch::CircuitBreaker;
use slog::Logger;
use slog::info;
use tarpc::client::RpcError;
use wire::api::PlaceApiClient;
use wire::peer;
use wire::peer::PlaceLink;

use crate::core::Core;

/// Maximum wait for a connection to another entry process. With a tenth of a core, a process
/// that applies a new table accepts connections some 30 ms late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of connections tried for one call: a cached one, which fails at once if the
/// process has restarted, and a new one.
const MAX_CONNECTIONS: usize = 2;

/// The processes that were asked.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    /// The process at `address`.
    pub(super) fn at(&self, address: SocketAddr, core: &Core) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(address).or_insert_with(|| {
            Arc::new(Peer {
                link: peer::place(address),
                breaker: Mutex::default(),
                clock: core.clock,
                log: core.log.clone(),
            })
        });
        Arc::clone(peer)
    }

    /// Evicts the processes that are not listed any more.
    pub(super) fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|address, _| is_listed(&address.to_string()));
    }
}

/// Another entry process that may be a holder.
pub(super) struct Peer {
    link: PlaceLink,
    breaker: Mutex<CircuitBreaker>,
    clock: Clock,
    log: Logger,
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = self.link.address();
        f.debug_struct("Peer")
            .field("address", &address)
            .finish_non_exhaustive()
    }
}

impl Peer {
    /// Calls the process; `None` if it doesn't answer in time or is considered lost.
    pub(super) async fn call<T, F>(
        &self,
        timeout: Duration,
        send: impl Fn(PlaceApiClient) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        if !self.update_breaker(CircuitBreaker::allow_request) {
            return None;
        }
        let mut in_flight = InFlight {
            peer: self,
            pending: true,
        };
        let answer = tokio::time::timeout(timeout, self.send(send)).await;
        if answer.is_err() {
            self.link.record_timeout();
        }
        let answer = answer.ok().flatten();
        in_flight.pending = false;
        self.update_breaker(|breaker, now| match &answer {
            Some(_) => breaker.answered(now),
            None => breaker.failed(now),
        });
        answer
    }

    /// Sends the message, on a new connection if the cached one is closed.
    async fn send<T, F>(&self, send: impl Fn(PlaceApiClient) -> F) -> Option<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        for _ in 0..MAX_CONNECTIONS {
            let client = self.link.client_with_timeout(CONNECT_TIMEOUT).await.ok()?;
            match send(client).await {
                Err(RpcError::Shutdown | RpcError::Channel(_)) => self.link.drop_client(),
                result => return self.link.check_short_call(result).ok(),
            }
        }
        None
    }

    /// Updates the circuit breaker, and logs when it opens or closes.
    fn update_breaker<T>(&self, change: impl FnOnce(&mut CircuitBreaker, Moment) -> T) -> T {
        let now = self.clock.now();
        let mut breaker = self.breaker();
        let was_lost = breaker.is_open();
        let result = change(&mut breaker, now);
        if breaker.is_open() != was_lost {
            let outcome = if was_lost { "regained" } else { "lost" };
            info!(self.log, "quota holder"; "address" => %self.link.address(), "outcome" => outcome);
        }
        result
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call in flight. If its future is dropped, it counts neither as answered nor as failed.
struct InFlight<'a> {
    peer: &'a Peer,
    pending: bool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if self.pending {
            self.peer.breaker().cancelled();
        }
    }
}
