//! Requests placements from a service's dispatcher, and releases the grants.
//!
//! A dispatcher that doesn't answer in time isn't asked for a while; meanwhile the process
//! selects instances itself. A grant is checked against this process's own knowledge: an
//! instance that is draining here gets no request, whoever granted it.

mod convert;
mod grant;
mod parts;
pub mod server;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use dispatch::CircuitBreaker;
use dispatch::parts::PartId;
use dispatch::parts::PartLoad;
use route::Pick;
use slog::Logger;
use slog::info;
use tarpc::client::RpcError;
use wire::link::within;
use wire::peer;
use wire::peer::PlaceLink;
use wire::place::Ask;
use wire::place::Outcome;
use wire::place::Part as WirePart;
use wire::place::Placed;

pub use self::grant::Grant;
pub use self::parts::ask_parts;

pub(crate) use self::convert::duration_from_micros;
pub(crate) use self::convert::micros;
pub(crate) use self::convert::report_from_wire;
pub(crate) use self::convert::report_to_wire;

use crate::balancer::Balancer;
use crate::core::Core;
use crate::search::SearchRequest;
use crate::search::SearchResult;

/// Maximum wait for a dispatcher's answer. The dispatcher holds a request for 30 ms, after up to
/// three rounds of probes that take a few milliseconds each.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of connections tried for one request: a cached one, which fails at once
/// if the dispatcher has restarted, and a new one.
const MAX_CONNECTIONS: usize = 2;
/// Maximum wait for a connection to a dispatcher in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Clients of all dispatchers that were ever asked.
#[derive(Default)]
pub struct DispatcherClients {
    clients: Mutex<HashMap<SocketAddr, Arc<DispatcherClient>>>,
}

impl DispatcherClients {
    /// Returns the client for the dispatcher at `address`.
    fn at(&self, address: SocketAddr, core: &Core) -> Arc<DispatcherClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = clients.entry(address);
        Arc::clone(entry.or_insert_with(|| {
            Arc::new(DispatcherClient {
                link: peer::place(address),
                breaker: Mutex::default(),
                clock: core.clock,
                log: core.log.clone(),
            })
        }))
    }
}

/// Client of one dispatcher.
pub struct DispatcherClient {
    link: PlaceLink,
    breaker: Mutex<CircuitBreaker>,
    clock: Clock,
    log: Logger,
}

/// Asks the dispatcher of `service` at `address`; returns `None` if it doesn't answer.
pub async fn ask(
    core: &Arc<Core>,
    address: SocketAddr,
    service: &ServiceName,
    request_id: &str,
    search: &SearchRequest,
) -> Option<SearchResult> {
    let dispatcher = core.dispatcher_clients.at(address, core);
    let settings = core.settings();
    let ask = Ask {
        service: service.to_string(),
        request: request_id.to_owned(),
        host: settings.host.to_string(),
        domain: settings.domain.to_string(),
        work_us: micros(search.need.work),
        aim_us: micros(search.need.aim),
        crossing: search.need.crossing,
        room: search.need.max_occupancy,
        priority: search.priority,
        patience_us: micros(search.max_wait),
        left_us: micros(search.remaining),
        workspace: search
            .workspace
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        returning: search.returning,
        weight: search.weight,
        exclude: core
            .balancer(service, |balancer, now| excluded(balancer, now, search))
            .unwrap_or_default(),
        connected: core
            .balancer(service, |balancer, _| balancer.ids(&search.scope.connected))
            .unwrap_or_default(),
        part: search.scope.part.as_ref().map(part_to_wire),
    };
    let started_at = core.clock.now();
    let placed = dispatcher.ask(ask).await;
    let outcome = placed
        .as_ref()
        .map_or("lost", |placed| outcome_label(placed));
    let elapsed = core.clock.now().since(started_at);
    core.counters.placed(service, outcome, elapsed);
    let placed = placed?;
    if let Some(part) = &search.scope.part {
        record_part_answer(core, service, part, &placed);
    }
    match placed.outcome() {
        Outcome::Granted => {
            let grant = Grant::new(&dispatcher, service, placed.grant);
            let chosen =
                core.balancer(service, |balancer, now| balancer.accept_grant(now, &placed))??;
            Some(SearchResult::Selected(chosen.with_grant(grant)))
        }
        Outcome::Wait => Some(SearchResult::Wait),
        Outcome::Full => Some(SearchResult::Full(Some(duration_from_micros(
            placed.back_us,
        )))),
        Outcome::Unspecified => None,
    }
}

/// The ids of the instances that must not be granted.
fn excluded(balancer: &Balancer, now: Moment, search: &SearchRequest) -> Vec<String> {
    // Each grant of one that is backed off would be turned down, and the next might be the same.
    let backed_off = balancer.backed_off(now);
    let excluded = search.exclude.iter().copied().chain(backed_off);
    let part = search.scope.part.as_ref();
    let picks: Vec<Pick> = excluded
        .filter(|pick| balancer.is_in_part(*pick, part))
        .collect();
    balancer.ids(&picks)
}

fn part_to_wire(part: &PartId) -> WirePart {
    WirePart {
        domain: part.domain.to_string(),
        number: part.number,
    }
}

/// Records the load of a part as its dispatcher reports it.
fn record_part_answer(core: &Core, service: &ServiceName, part: &PartId, placed: &Placed) {
    let load = PartLoad {
        slots: placed.part_slots,
        in_flight: placed.part_in_flight,
        waiting: placed.part_waiting,
    };
    let granted = placed.outcome() == Outcome::Granted;
    core.balancer(service, |balancer, now| {
        balancer.record_part_answer(now, part, load, granted);
    });
}

fn outcome_label(placed: &Placed) -> &'static str {
    match placed.outcome() {
        Outcome::Granted => "granted",
        Outcome::Wait => "wait",
        Outcome::Full => "full",
        Outcome::Unspecified => "unknown",
    }
}

impl DispatcherClient {
    /// Asks the dispatcher; returns `None` if it doesn't answer in time or is considered lost.
    async fn ask(&self, ask: Ask) -> Option<Placed> {
        if !self.update_breaker(CircuitBreaker::allow_request) {
            return None;
        }
        let mut in_flight = InFlightRequest {
            client: self,
            pending: true,
        };
        let placed = tokio::time::timeout(REQUEST_TIMEOUT, self.send(ask)).await;
        if placed.is_err() {
            self.link.record_timeout();
        }
        let placed = placed.ok().flatten();
        in_flight.pending = false;
        self.update_breaker(|breaker, now| match &placed {
            Some(_) => breaker.answered(now),
            None => breaker.failed(now),
        });
        placed
    }

    /// Sends one request, on a new connection if the cached one is closed.
    async fn send(&self, ask: Ask) -> Option<Placed> {
        for _ in 0..MAX_CONNECTIONS {
            let client = self.link.client_with_timeout(CONNECT_TIMEOUT).await.ok()?;
            match client.place(within(REQUEST_TIMEOUT), ask.clone()).await {
                Err(RpcError::Shutdown | RpcError::Channel(_)) => self.link.drop_client(),
                result => return self.link.check_short_call(result).ok(),
            }
        }
        None
    }

    /// Updates the circuit breaker of the dispatcher, and logs when it opens or closes.
    fn update_breaker<T>(&self, change: impl FnOnce(&mut CircuitBreaker, Moment) -> T) -> T {
        let now = self.clock.now();
        let mut breaker = self.breaker();
        let was_lost = breaker.is_open();
        let result = change(&mut breaker, now);
        if breaker.is_open() != was_lost {
            let outcome = if was_lost { "regained" } else { "lost" };
            info!(self.log, "dispatcher"; "address" => %self.link.address(), "outcome" => outcome);
        }
        result
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight. If its future is dropped, it counts neither as answered nor as failed.
struct InFlightRequest<'a> {
    client: &'a DispatcherClient,
    pending: bool,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if self.pending {
            self.client.breaker().cancelled();
        }
    }
}
