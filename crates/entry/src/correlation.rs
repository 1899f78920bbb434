//! Logs and counts refusals, and responses that don't name the request that was sent.

use std::net::SocketAddr;

use base::prelude::*;
use correlate::Owner;
use http::HeaderMap;
use http::StatusCode;
use slog::info;

use crate::core::Core;
use crate::pool::Usage;

/// What was sent, and who responded.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// The request's id; "probe" for a probe.
    pub request: &'a str,
    /// The instance, "-" if unknown.
    pub instance: &'a str,
    /// The entry process that relayed the request.
    pub peer: Option<SocketAddr>,
    /// The service of the instance.
    pub service: &'a ServiceName,
    /// What the connection had carried before.
    pub usage: Usage,
}

/// Compares the ids that a response names to `id`, which is empty for a probe.
#[must_use]
pub fn owner(core: &Core, id: &[u8], headers: &HeaderMap) -> Owner {
    Owner::in_headers(id, headers, &core.dialect.request)
}

/// Logs and counts a response that doesn't name the request that was sent.
pub fn record_foreign(
    core: &Core,
    exchange: &Exchange,
    owner: Owner,
    status: StatusCode,
    headers: &HeaderMap,
) {
    info!(core.log, "foreign response"; "request" => exchange.request,
        "named" => named_ids(core, headers), "owner" => <&str>::from(owner),
        "status" => status.as_u16(), "refused" => headers.contains_key(&core.dialect.refused),
        "instance" => exchange.instance, "service" => %exchange.service,
        "peer" => exchange.peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string()),
        "uses" => exchange.usage.uses, "last" => exchange.usage.last_label());
    core.counters
        .foreign_response(exchange.service, owner.into(), status);
}

/// Logs and counts a refusal.
pub fn record_refusal(
    core: &Core,
    exchange: &Exchange,
    owner: Owner,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let retry_after = headers.get(&core.dialect.retry_after);
    info!(core.log, "refusal"; "request" => exchange.request,
        "named" => named_ids(core, headers),
        "instance" => exchange.instance, "service" => %exchange.service,
        "status" => status.as_u16(),
        "retry_after" => retry_after.map_or("-", |value| value.to_str().unwrap_or("invalid")),
        "uses" => exchange.usage.uses, "last" => exchange.usage.last_label());
    core.counters.refusal(exchange.service, owner.into());
}

fn named_ids(core: &Core, headers: &HeaderMap) -> String {
    correlate::named_ids(headers, &core.dialect.request)
}
