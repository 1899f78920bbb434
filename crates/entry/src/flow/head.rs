//! The start of a request: route table, host and route, and what is forwarded.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bounds::Client;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use quarantine::Head;
use slog::info;
use table::Route;
use table::Table;
use table::Target;
use tokio::time::Instant;
use uuid::Uuid;

use super::MEMORY_RETRY_AFTER;
use super::Origin;
use super::UNAVAILABLE_RETRY_AFTER;
use crate::body::ResponseBody;
use crate::core::Core;
use crate::exchange::ForwardedRequest;
use crate::refusal;
use crate::refusal::Reason;
use crate::relay::Hop;
use crate::relay::HopOutcome;
use crate::view::Routes;

/// Returns the routes of the current table; waits until `deadline` for one that may be obeyed, and
/// returns none without it.
pub(super) async fn wait_for_routes(core: &Core, deadline: Instant) -> Arc<Routes> {
    let mut table_known = core.table_known.subscribe();
    let known = table_known.wait_for(|table_known| *table_known);
    match tokio::time::timeout_at(deadline, known).await {
        Ok(_) => core.routes(),
        Err(_) => Arc::default(),
    }
}

/// Waits until `deadline` for the first known instance. After a restart of all processes, the
/// table arrives first, and the instance lists of many processes share narrow links.
pub(super) async fn wait_for_instances(core: &Core, deadline: Instant) {
    let mut instances_known = core.instances_known.subscribe();
    if !*instances_known.borrow_and_update() {
        // The caller handles missing instances.
        let _ = tokio::time::timeout_at(deadline, instances_known.wait_for(|known| *known)).await;
    }
}

/// Generates an id for a request without one, used to match the response and in the log.
pub(super) fn new_id() -> HeaderValue {
    let id = Uuid::new_v4().simple().to_string();
    HeaderValue::from_str(&id).unwrap_or_else(|_| unreachable!("hexadecimal digits"))
}

/// Host name of the request, without the port.
pub(super) fn host(request: &Request<Incoming>) -> Option<String> {
    let header = request.headers().get(header::HOST);
    let header = header.and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(header)?;
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|b| b.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    Some(name.to_ascii_lowercase())
}

/// The route table, if there is one that is at least as new as the one that led here.
pub(super) fn current_table<'a>(
    routes: &'a Routes,
    hop: Option<&Hop>,
) -> Result<&'a Table, Reason> {
    let table = routes.table.as_ref().ok_or(Reason::NoTable)?;
    if hop.is_some_and(|hop| hop.table > table.version) {
        return Err(Reason::OldTable);
    }
    Ok(table)
}

/// Selects the request's route, unless the request can't be taken by it.
pub(super) fn select_route<'a>(
    routes: &'a Routes,
    table: &Table,
    host: &str,
    request: &Request<Incoming>,
) -> Result<&'a Arc<Route>, Reason> {
    let route = routes.index.select(host, request.uri().path());
    let route = route.ok_or(Reason::NoRoute)?;
    if request.body().size_hint().lower() > table.limits.body_bytes {
        return Err(Reason::TooLarge);
    }
    Ok(route)
}

/// The service that the request goes to.
pub(super) fn select_service(core: &Core, route: &Route, hop: Option<&Hop>) -> Option<ServiceName> {
    let parts = match &route.target {
        Target::Service(name) => return Some(name.clone()),
        Target::Split(parts) => parts,
    };
    let selected = hop.map(|hop| &hop.service);
    let selected = selected.filter(|name| parts.iter().any(|part| part.service == **name));
    selected
        .cloned()
        .or_else(|| core.next_split_service(route, parts))
}

/// The caller's name or address.
pub(super) fn caller_name(
    core: &Core,
    origin: Origin,
    hop: Option<&Hop>,
    headers: &HeaderMap,
) -> Arc<str> {
    let header = core.dialect.caller.as_ref();
    let name = header.and_then(|header| headers.get(header)?.to_str().ok());
    match (hop, name, origin) {
        (Some(hop), ..) => Arc::clone(&hop.caller),
        (None, Some(name), _) => name.into(),
        (None, None, Origin::Caller(address)) => address.to_canonical().to_string().into(),
        (None, None, Origin::Peer) => "-".into(),
    }
}

/// Splits a request of `caller`, connected as `client`, for `host` into the forwarded part and the body.
pub(super) fn forwarded_request(
    core: &Core,
    caller: Arc<str>,
    client: Client,
    host: &str,
    id: HeaderValue,
    request: Request<Incoming>,
) -> (ForwardedRequest, Incoming) {
    let (mut parts, incoming) = request.into_parts();
    framing::strip(&mut parts.headers);
    parts.headers.remove(&core.dialect.expected);
    parts.headers.insert(&core.dialect.request, id.clone());
    let uri = match parts.uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => parts.uri,
    };
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let request = ForwardedRequest {
        id,
        head: Head::new(&caller, parts.method.as_str(), host, target),
        method: parts.method,
        uri,
        headers: parts.headers,
        caller,
        client,
    };
    (request, incoming)
}

/// Responds to a request that has no service yet.
pub(super) fn refuse(
    core: &Core,
    id: &HeaderValue,
    routes: &Routes,
    origin: Origin,
    reason: Reason,
) -> Response<ResponseBody> {
    let is_temporary = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = match reason {
        Reason::Memory => Some(MEMORY_RETRY_AFTER),
        _ => is_temporary.then_some(UNAVAILABLE_RETRY_AFTER),
    };
    let mut response = refusal::response(reason, retry_after);
    if origin == Origin::Peer {
        let name = &core.dialect.request;
        response.headers_mut().insert(name, id.clone());
        HopOutcome::Refused(reason).write(response.headers_mut());
    }
    let label: &'static str = reason.into();
    core.counters.request("-", label, Duration::ZERO);
    info!(core.log, "request"; "request" => id.to_str().unwrap_or("-"), "outcome" => label,
        "status" => response.status().as_u16(), "table" => routes.version());
    response
}
