//! Clients of other entry processes that dispatch services or hold quotas.
//!
//! A process that doesn't answer in time isn't called for a while (a circuit breaker). Its
//! connection is kept, unless several calls in a row fail.

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

/// Maximum number of connections tried for one call: a cached one, which fails at once if the
/// process has restarted, and a new one.
const MAX_CONNECTIONS: usize = 2;

/// What the called processes do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// They dispatch services.
    Dispatcher,
    /// They hold quotas.
    QuotaHolder,
}

impl Role {
    /// The log message for processes that are lost or regained.
    fn message(self) -> &'static str {
        match self {
            Self::Dispatcher => "dispatcher",
            Self::QuotaHolder => "quota holder",
        }
    }

    /// Maximum wait for a connection. Dispatchers are asked while a request waits. With a tenth of
    /// a core, a process that applies a new table accepts connections some 30 ms late.
    fn connect_timeout(self) -> Duration {
        match self {
            Self::Dispatcher => Duration::from_millis(20),
            Self::QuotaHolder => Duration::from_millis(50),
        }
    }
}

/// Clients of all processes that were called in one role.
#[derive(Debug)]
pub struct PlaceClients {
    role: Role,
    clock: Clock,
    log: Logger,
    clients: Mutex<HashMap<SocketAddr, Arc<PlaceClient>>>,
}

impl PlaceClients {
    /// No clients yet.
    #[must_use]
    pub fn new(role: Role, clock: Clock, log: Logger) -> Self {
        Self {
            role,
            clock,
            log,
            clients: Mutex::default(),
        }
    }

    /// The client of the process at `address`.
    pub fn at(&self, address: SocketAddr) -> Arc<PlaceClient> {
        let mut clients = self.clients();
        let client = clients.entry(address).or_insert_with(|| {
            Arc::new(PlaceClient {
                role: self.role,
                link: peer::place(address),
                breaker: Mutex::default(),
                clock: self.clock,
                log: self.log.clone(),
            })
        });
        Arc::clone(client)
    }

    /// Evicts the processes that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.clients()
            .retain(|address, _| is_listed(&address.to_string()));
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<PlaceClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Client of one process.
pub struct PlaceClient {
    role: Role,
    link: PlaceLink,
    breaker: Mutex<CircuitBreaker>,
    clock: Clock,
    log: Logger,
}

impl fmt::Debug for PlaceClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlaceClient")
            .field("role", &self.role)
            .field("address", &self.link.address())
            .finish_non_exhaustive()
    }
}

impl PlaceClient {
    /// The connection, for messages to which the circuit breaker doesn't apply.
    #[must_use]
    pub fn link(&self) -> &PlaceLink {
        &self.link
    }

    /// The connected client, or a new one.
    pub async fn connect(&self) -> Option<PlaceApiClient> {
        let timeout = self.role.connect_timeout();
        self.link.client_with_timeout(timeout).await.ok()
    }

    /// Calls the process; `None` if it doesn't answer in time or is considered lost.
    pub async fn call<T, F>(
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
        let mut in_flight = InFlightCall {
            client: self,
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
            match send(self.connect().await?).await {
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
            info!(self.log, "{}", self.role.message(); "address" => %self.link.address(),
                "outcome" => outcome);
        }
        result
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call in flight. If its future is dropped, it counts neither as answered nor as failed.
struct InFlightCall<'a> {
    client: &'a PlaceClient,
    pending: bool,
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        if self.pending {
            self.client.breaker().cancelled();
        }
    }
}
