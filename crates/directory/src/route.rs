//! `GET /v1/route`: a caller asks which entry hosts to use.

use announce::Reason;
use announce::Refusal;
use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crate::shared::Inner;
use crate::shared::Shared;

/// One entry host that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP and port of its gateway.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The service that was asked for.
    pub service: String,
    /// Hosts in the order they should be tried.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in milliseconds.
    pub max_age_ms: u32,
}

/// Answers a caller; `pick` is random, so that callers spread over the hosts.
///
/// # Errors
///
/// Fails without a confirmed catalogue, without such a service, or without a
/// host that serves.
pub fn route(shared: &Shared, service: &str, pick: u64) -> Result<Route, Refusal> {
    let found = shared.step(|inner, now| choose(inner, now, shared, service, pick));
    let words = |r: &Result<Route, Refusal>| match r {
        Ok(route) => {
            let hosts: Vec<&str> = route.addresses.iter().map(|a| a.address.as_str()).collect();
            ("ok", hosts.join(","))
        }
        Err(refusal) => (refusal.reason.into(), String::new()),
    };
    let (result, hosts) = words(&found.result);
    info!(shared.log, "place"; "service" => service.to_owned(), "result" => result,
        "hosts" => hosts, "candidates" => found.candidates, "version" => found.version,
        "confirmed_age_ms" => found.age_ms);
    found.result
}

/// A decision with what was known when it was made.
struct Found {
    result: Result<Route, Refusal>,
    candidates: usize,
    version: u64,
    age_ms: Option<u32>,
}

fn choose(inner: &mut Inner, now: Moment, shared: &Shared, service: &str, pick: u64) -> Found {
    let result = hosts(inner, now, shared, service, pick);
    Found {
        result,
        candidates: inner.placed.hosts(),
        version: inner.version(),
        age_ms: inner.freshness.age(now).map(crate::convert::millis),
    }
}

fn hosts(
    inner: &mut Inner,
    now: Moment,
    shared: &Shared,
    service: &str,
    pick: u64,
) -> Result<Route, Refusal> {
    let answers = &shared.settings.answers;
    let catalogue = inner
        .catalogue
        .as_ref()
        .filter(|_| inner.freshness.is_current(now));
    let Some(catalogue) = catalogue else {
        let detail = "no catalogue was confirmed by a quorum lately";
        return Err(Refusal::new(Reason::NotReady, detail));
    };
    let known = catalogue.entries.iter().any(|e| e.service == service);
    let name = ServiceName::new(service).ok().filter(|_| known);
    let Some(name) = name else {
        let detail = format!("the catalogue has no service {service:?}");
        return Err(Refusal::new(Reason::UnknownService, detail));
    };
    let placement = inner
        .placed
        .refresh(&inner.members, catalogue, answers.spread);
    let ordered = place::order(placement.hosts(&name), pick);
    if ordered.is_empty() {
        let detail = "no entry host serves at present";
        return Err(Refusal::new(Reason::NoHost, detail));
    }
    let address = |c: &place::Candidate| Address {
        address: c.address.to_string(),
        domain: c.domain.to_string(),
    };
    Ok(Route {
        service: service.into(),
        addresses: ordered.iter().map(address).collect(),
        max_age_ms: crate::convert::millis(answers.keep),
    })
}
