//! Requests placements from a service's dispatcher, and releases the grants.
//!
//! A dispatcher that doesn't answer in time isn't asked for a while; meanwhile the process
//! selects instances itself. A grant is checked against this process's own knowledge: an
//! instance that is draining here gets no request, whoever granted it.

mod convert;
mod grant;
mod parts;
pub mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::parts::PartId;
use dispatch::parts::PartLoad;
use route::Pick;
use wire::api::PlaceApiClient;
use wire::link::within;
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
/// Asks the dispatcher of `service` at `address`; returns `None` if it doesn't answer.
pub async fn ask(
    core: &Arc<Core>,
    address: SocketAddr,
    service: &ServiceName,
    request_id: &str,
    search: &SearchRequest,
) -> Option<SearchResult> {
    let dispatcher = core.dispatchers.at(address);
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
    let send = |client: PlaceApiClient| {
        let ask = ask.clone();
        async move { client.place(within(REQUEST_TIMEOUT), ask).await }
    };
    let placed = dispatcher.call(REQUEST_TIMEOUT, send).await;
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
