//! Asks a service's dispatcher for an instance, and gives back what it granted.
//!
//! A dispatcher that doesn't answer in time is left alone for a while, and the process
//! decides for itself meanwhile. What it grants is checked against what this process
//! knows: an instance that leaves here gets nothing, whoever says otherwise.

mod convert;
mod grant;
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
use slog::Logger;
use slog::info;
use tarpc::client::RpcError;
use wire::link::within;
use wire::peer;
use wire::peer::PlaceLink;
use wire::place::Ask;
use wire::place::Outcome;
use wire::place::Placed;

pub use self::grant::Grant;

pub(crate) use self::convert::micros;
pub(crate) use self::convert::report;
pub(crate) use self::convert::report_to_wire;
pub(crate) use self::convert::span_of;

use crate::core::Core;
use crate::search::Found;
use crate::search::Want;

/// Longest wait for a dispatcher's answer: it holds the question for 30 ms, and looks for
/// an instance before, with up to three rounds of probes of a few milliseconds each.
const TIMEOUT: Duration = Duration::from_millis(60);
/// Connections tried for one question: one of before a restart of the dispatcher, which
/// fails at once, and a new one.
const CONNECTIONS: usize = 2;
/// Longest wait for a connection to it, in one region.
const CONNECT: Duration = Duration::from_millis(20);

/// The dispatchers that were ever asked.
#[derive(Default)]
pub struct Places {
    known: Mutex<HashMap<SocketAddr, Arc<Place>>>,
}

impl Places {
    /// The one at `address`.
    fn at(&self, address: SocketAddr, core: &Core) -> Arc<Place> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let place = known.entry(address);
        Arc::clone(place.or_insert_with(|| {
            Arc::new(Place {
                link: peer::place(address),
                breaker: Mutex::default(),
                clock: core.clock,
                log: core.log.clone(),
            })
        }))
    }
}

/// One dispatcher.
pub struct Place {
    link: PlaceLink,
    breaker: Mutex<CircuitBreaker>,
    clock: Clock,
    log: Logger,
}

/// Asks the dispatcher of `service` at `address`; none where it gives no answer.
pub async fn ask(
    core: &Arc<Core>,
    address: SocketAddr,
    service: &ServiceName,
    request: &str,
    want: &Want,
) -> Option<Found> {
    let place = core.places.at(address, core);
    let settings = core.settings();
    let ask = Ask {
        service: service.to_string(),
        request: request.to_owned(),
        host: settings.host.to_string(),
        domain: settings.domain.to_string(),
        work_us: micros(want.need.work),
        aim_us: micros(want.need.aim),
        crossing: want.need.crossing,
        room: want.need.room,
        priority: want.rank,
        patience_us: micros(want.patience),
        left_us: micros(want.left),
        exclude: core
            .desk(service, |desk, _| desk.ids(&want.exclude))
            .unwrap_or_default(),
    };
    let began = core.clock.now();
    let placed = place.ask(ask).await;
    let outcome = placed.as_ref().map_or("lost", |placed| word(placed));
    let span = core.clock.now().since(began);
    core.counters.placed(service, outcome, span);
    let placed = placed?;
    match placed.outcome() {
        Outcome::Granted => {
            let grant = Grant::new(&place, service, placed.grant);
            let chosen = core.desk(service, |desk, now| desk.granted(now, &placed))??;
            Some(Found::Chosen(chosen.with(grant)))
        }
        Outcome::Wait => Some(Found::Wait),
        Outcome::Full => Some(Found::Full(Some(span_of(placed.back_us)))),
        Outcome::Unspecified => None,
    }
}

fn word(placed: &Placed) -> &'static str {
    match placed.outcome() {
        Outcome::Granted => "granted",
        Outcome::Wait => "wait",
        Outcome::Full => "full",
        Outcome::Unspecified => "unknown",
    }
}

impl Place {
    /// Asks; none where it doesn't answer in time or isn't worth asking.
    async fn ask(&self, ask: Ask) -> Option<Placed> {
        if !self.judge(CircuitBreaker::allow_request) {
            return None;
        }
        let mut question = Question {
            place: self,
            open: true,
        };
        let placed = tokio::time::timeout(TIMEOUT, self.call(ask)).await;
        let placed = placed.ok().flatten();
        question.open = false;
        self.judge(|breaker, now| match &placed {
            Some(_) => breaker.answered(now),
            None => breaker.failed(now),
        });
        placed
    }

    /// One question, on a new connection where the one that was there has ended.
    async fn call(&self, ask: Ask) -> Option<Placed> {
        for _ in 0..CONNECTIONS {
            let client = self.link.client_within(CONNECT).await.ok()?;
            match client.place(within(TIMEOUT), ask.clone()).await {
                Err(RpcError::Shutdown | RpcError::Channel(_)) => self.link.drop_client(),
                result => return self.link.judge(result).ok(),
            }
        }
        None
    }

    /// Changes what is thought of it; one line where it is lost or regained.
    fn judge<T>(&self, change: impl FnOnce(&mut CircuitBreaker, Moment) -> T) -> T {
        let now = self.clock.now();
        let mut breaker = self.breaker();
        let before = breaker.is_open();
        let result = change(&mut breaker, now);
        if breaker.is_open() != before {
            let outcome = if before { "regained" } else { "lost" };
            info!(self.log, "dispatcher"; "address" => %self.link.address(), "outcome" => outcome);
        }
        result
    }

    fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A question on its way; one whose asker has left tells nothing.
struct Question<'a> {
    place: &'a Place,
    open: bool,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        if self.open {
            self.place.breaker().cancelled();
        }
    }
}
