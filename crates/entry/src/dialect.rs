//! The header names that callers and upstreams use, and the format of load reports. An adapter
//! for another protocol brings its own.

use std::time::Duration;

use base::header;
use http::HeaderName;
use limit::RequestRate;
use route::LoadReport;

/// Header names and parsers of their values.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies a request; the upstream repeats it in its response.
    pub request: HeaderName,
    /// Identifies the caller, in protocols that have a header for it.
    pub caller: Option<HeaderName>,
    /// To an upstream: the name of the caller's workspace.
    pub workspace: HeaderName,
    /// The time remaining for the response, in milliseconds.
    pub deadline: HeaderName,
    /// To an upstream: the only instance that may run the request.
    pub expected: HeaderName,
    /// From an upstream: the instance that answers.
    pub instance: HeaderName,
    /// From an upstream: its load.
    pub load: HeaderName,
    /// From an upstream, on its health page: how much longer it will be cold.
    pub cold: HeaderName,
    /// From an upstream: the requests per second that it takes from all processes together.
    pub limit: HeaderName,
    /// From an upstream: the request was not run.
    pub refused: HeaderName,
    /// From an upstream that refuses a request: seconds during which it takes nothing from this
    /// process.
    pub retry_after: HeaderName,
    /// From an upstream, on any response: it is shutting down.
    pub leaving: HeaderName,
    /// Parses the load header.
    pub read_load: fn(&str) -> Option<LoadReport>,
    /// Parses the header that tells how much longer the upstream will be cold.
    pub read_cold: fn(&str) -> Option<Duration>,
    /// Parses the header that names the upstream's limit.
    pub read_limit: fn(&str) -> Option<RequestRate>,
}

impl Default for Dialect {
    /// The header names of redwingridge.
    fn default() -> Self {
        Self {
            request: HeaderName::from_static(header::REQUEST_ID),
            caller: Some(HeaderName::from_static(header::CALLER)),
            workspace: HeaderName::from_static(header::WORKSPACE),
            deadline: HeaderName::from_static(header::DEADLINE),
            expected: HeaderName::from_static(header::EXPECTED_INSTANCE),
            instance: HeaderName::from_static(header::INSTANCE),
            cold: HeaderName::from_static(header::COLD),
            load: HeaderName::from_static(header::LOAD),
            limit: HeaderName::from_static(header::LIMIT),
            refused: HeaderName::from_static(header::SHED),
            retry_after: HeaderName::from_static(header::RETRY_AFTER),
            leaving: HeaderName::from_static(header::LEAVING),
            read_load,
            read_cold,
            read_limit: RequestRate::parse,
        }
    }
}

/// Parses milliseconds.
fn read_cold(text: &str) -> Option<Duration> {
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Parses `in-flight/slots`.
fn read_load(text: &str) -> Option<LoadReport> {
    let (in_flight, slots) = text.split_once('/')?;
    let (in_flight, slots): (u32, u32) =
        (in_flight.trim().parse().ok()?, slots.trim().parse().ok()?);
    Some(LoadReport {
        running: in_flight.min(slots),
        waiting: in_flight.saturating_sub(slots),
        slots,
        pace: 100,
    })
}
