//! `GET /v1/route`: names the entry hosts for a caller.

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

/// The response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The requested service.
    pub service: String,
    /// Hosts in the order in which to try them.
    pub addresses: Vec<Address>,
    /// How long the response may be cached, in milliseconds.
    pub max_age_ms: u32,
}

/// Selects the entry hosts for a caller and logs the decision.
///
/// `pick` should be random, so that callers spread over the hosts.
///
/// # Errors
///
/// Fails without a confirmed catalogue, for an unknown service, or when no host is serving.
pub fn route(shared: &Shared, service: &str, pick: u64) -> Result<Route, Refusal> {
    let decision = shared.step(|inner, now| choose(inner, now, shared, service, pick));
    let log_fields = |r: &Result<Route, Refusal>| match r {
        Ok(route) => {
            let hosts: Vec<&str> = route.addresses.iter().map(|a| a.address.as_str()).collect();
            ("ok", hosts.join(","))
        }
        Err(refusal) => (refusal.reason.into(), String::new()),
    };
    let (result, hosts) = log_fields(&decision.result);
    info!(shared.log, "place"; "service" => service.to_owned(), "result" => result,
        "hosts" => hosts, "candidates" => decision.candidates, "version" => decision.version,
        "confirmed_age_ms" => decision.age_ms);
    decision.result
}

/// A decision with the state it was based on, for the log.
struct Decision {
    result: Result<Route, Refusal>,
    candidates: usize,
    version: u64,
    age_ms: Option<u32>,
}

fn choose(inner: &mut Inner, now: Moment, shared: &Shared, service: &str, pick: u64) -> Decision {
    let result = select_hosts(inner, now, shared, service, pick);
    Decision {
        result,
        candidates: inner.placement.candidates(),
        version: inner.version(),
        age_ms: inner.freshness.age(now).map(crate::convert::millis),
    }
}

fn select_hosts(
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
        let detail = "no catalogue was confirmed by a quorum within the lease";
        return Err(Refusal::new(Reason::NotReady, detail));
    };
    let known = catalogue.entries.iter().any(|e| e.service == service);
    let name = ServiceName::new(service).ok().filter(|_| known);
    let Some(name) = name else {
        let detail = format!("the catalogue has no service {service:?}");
        return Err(Refusal::new(Reason::UnknownService, detail));
    };
    let placement = inner
        .placement
        .refresh(&inner.members, catalogue, answers.spread);
    let ordered = place::order(&placement.hosts(&name), pick);
    if ordered.is_empty() {
        let detail = "no entry host is serving";
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
