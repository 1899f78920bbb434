//! The start of a request: route table, host and route, and what is forwarded.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use quarantine::Head;
use slog::info;
use tokio::time::Instant;
use uuid::Uuid;

use crate::body::ResponseBody;
use crate::core::Core;
use crate::exchange::ForwardedRequest;
use crate::headers;
use crate::refusal;
use crate::refusal::Reason;
use crate::view::Routes;

/// Returns the current route table; waits until `deadline` for the first one.
pub(super) async fn wait_for_routes(core: &Core, deadline: Instant) -> Arc<Routes> {
    let mut table_known = core.table_known.subscribe();
    if !*table_known.borrow_and_update() {
        // The caller handles a missing table.
        let _ = tokio::time::timeout_at(deadline, table_known.wait_for(|table_known| *table_known))
            .await;
    }
    core.routes()
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

/// Splits a request of `caller` for `host` into the forwarded part and the body.
pub(super) fn forwarded_request(
    core: &Core,
    caller: IpAddr,
    host: &str,
    id: HeaderValue,
    request: Request<Incoming>,
) -> (ForwardedRequest, Incoming) {
    let (mut parts, incoming) = request.into_parts();
    let header = core.dialect.caller.as_ref();
    let name = header.and_then(|header| parts.headers.get(header)?.to_str().ok());
    let caller: Arc<str> = match name {
        Some(name) => name.into(),
        None => caller.to_canonical().to_string().into(),
    };
    headers::strip_hop_by_hop(&mut parts.headers);
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
    };
    (request, incoming)
}

/// Responds to a request that has no route.
pub(super) fn refuse(
    core: &Core,
    id: &HeaderValue,
    routes: &Routes,
    reason: Reason,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let response = refusal::response(reason, retry_after);
    let label: &'static str = reason.into();
    core.counters.request("-", label, Duration::ZERO);
    info!(core.log, "request"; "request" => id.to_str().unwrap_or("-"), "outcome" => label,
        "status" => response.status().as_u16(), "table" => routes.table.version);
    response
}
