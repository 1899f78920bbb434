//! The beginning of a request: which table, host and route count, and what is passed on.

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
use crate::exchange::Call;
use crate::headers;
use crate::refusal;
use crate::refusal::Reason;
use crate::view::Routes;

/// The table in force; a process that has just started waits for it up to `until`.
pub(super) async fn routes(core: &Core, until: Instant) -> Arc<Routes> {
    let mut table_known = core.table_known.subscribe();
    if !*table_known.borrow_and_update() {
        // Without one by then, the request is refused.
        let _ =
            tokio::time::timeout_at(until, table_known.wait_for(|table_known| *table_known)).await;
    }
    core.routes()
}

/// Waits until any instance is known, up to `until`. After a restart of everything the
/// table is there first, and hundreds of processes take lists of instances over thin links.
pub(super) async fn instances_known(core: &Core, until: Instant) {
    let mut instances_known = core.instances_known.subscribe();
    if !*instances_known.borrow_and_update() {
        // Without one by then, the request is refused.
        let _ = tokio::time::timeout_at(
            until,
            instances_known.wait_for(|instances_known| *instances_known),
        )
        .await;
    }
}

/// A name for a request whose caller gave none: its answer is told by it from
/// another's, and its log lines are found by it.
pub(super) fn new_id() -> HeaderValue {
    let id = Uuid::new_v4().simple().to_string();
    HeaderValue::from_str(&id).unwrap_or_else(|_| unreachable!("hexadecimal digits"))
}

/// The host that the request names, without its port.
pub(super) fn host(request: &Request<Incoming>) -> Option<String> {
    let named = request.headers().get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = request.uri().host().or(named)?;
    let bare = host.rsplit_once(':').map_or(host, |(bare, port)| {
        if port.bytes().all(|b| b.is_ascii_digit()) {
            bare
        } else {
            host
        }
    });
    Some(bare.to_ascii_lowercase())
}

/// Splits a request of `caller` for `host` into what is passed on and its body.
pub(super) fn call(
    core: &Core,
    caller: IpAddr,
    host: &str,
    id: HeaderValue,
    request: Request<Incoming>,
) -> (Call, Incoming) {
    let (mut parts, incoming) = request.into_parts();
    let named = core.dialect.caller.as_ref();
    let named = named.and_then(|name| parts.headers.get(name)?.to_str().ok());
    let caller: Arc<str> = match named {
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
    let call = Call {
        id,
        head: Head::new(&caller, parts.method.as_str(), host, target),
        method: parts.method,
        uri,
        headers: parts.headers,
        caller,
    };
    (call, incoming)
}

/// Answers without a route.
pub(super) fn refuse(
    core: &Core,
    id: &HeaderValue,
    routes: &Routes,
    reason: Reason,
    back: Option<Duration>,
) -> Response<ResponseBody> {
    let response = refusal::answer(reason, back);
    let word: &'static str = reason.into();
    core.counters.request("-", word, Duration::ZERO);
    info!(core.log, "request"; "request" => id.to_str().unwrap_or("-"), "outcome" => word,
        "status" => response.status().as_u16(), "table" => routes.table.version);
    response
}
