//! Logs and counts refusals, and responses that aren't the request's own.

use base::header;
use correlate::Owner;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use slog::Logger;
use slog::info;

use crate::core::Core;
use crate::counters::add;
use crate::view::UpstreamInstance;

/// The header that names a request.
const REQUEST_ID: HeaderName = HeaderName::from_static(header::REQUEST_ID);

/// Compares the ids that a response names to `id`, which is empty for a probe.
#[must_use]
pub fn owner(id: &str, headers: &HeaderMap) -> Owner {
    Owner::in_headers(id.as_bytes(), headers, &REQUEST_ID)
}

/// Logs and counts a response that isn't the request's own. `log` names the one that was sent.
pub fn record_foreign(
    core: &Core,
    log: &Logger,
    upstream: &UpstreamInstance,
    owner: Owner,
    status: StatusCode,
    headers: &HeaderMap,
) {
    info!(log, "foreign response"; "instance" => %upstream.id, "named" => named_ids(headers),
        "owner" => <&str>::from(owner), "status" => status.as_u16(),
        "refused" => headers.contains_key(header::SHED));
    add(&core.counters.foreign_responses, 1);
}

/// Logs and counts a refusal. `log` names the request.
pub fn record_refusal(
    core: &Core,
    log: &Logger,
    upstream: &UpstreamInstance,
    owner: Owner,
    headers: &HeaderMap,
) {
    let retry_after = headers.get(header::RETRY_AFTER);
    info!(log, "refusal"; "instance" => %upstream.id, "named" => named_ids(headers),
        "retry_after" => retry_after.map_or("-", |value| value.to_str().unwrap_or("invalid")));
    core.counters.upstream_refusal(owner);
}

fn named_ids(headers: &HeaderMap) -> String {
    correlate::named_ids(headers, &REQUEST_ID)
}
