//! The names of headers that callers and upstreams use, and the form of load
//! reports. An adapter for other names brings its own.

use std::time::Duration;

use base::header;
use http::HeaderName;
use route::LoadReport;

/// Names of headers, and how a load report is read.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names one request; an upstream's answer repeats it.
    pub request: HeaderName,
    /// Names the caller, where callers have names.
    pub caller: Option<HeaderName>,
    /// Milliseconds that are left for the answer.
    pub deadline: HeaderName,
    /// To an upstream: the one instance that may run the request.
    pub expected: HeaderName,
    /// From an upstream: the instance that answers.
    pub instance: HeaderName,
    /// From an upstream: its load.
    pub load: HeaderName,
    /// From an upstream, on its health page: how much longer it is cold.
    pub cold: HeaderName,
    /// From an upstream: the request was not run.
    pub refused: HeaderName,
    /// Reads the load header.
    pub read_load: fn(&str) -> Option<LoadReport>,
    /// Reads the header that says how much longer the upstream is cold.
    pub read_cold: fn(&str) -> Option<Duration>,
}

impl Default for Dialect {
    /// The product's own names.
    fn default() -> Self {
        Self {
            request: HeaderName::from_static(header::REQUEST_ID),
            caller: Some(HeaderName::from_static(header::CALLER)),
            deadline: HeaderName::from_static(header::DEADLINE),
            expected: HeaderName::from_static(header::EXPECTED_INSTANCE),
            instance: HeaderName::from_static(header::INSTANCE),
            cold: HeaderName::from_static(header::COLD),
            load: HeaderName::from_static(header::LOAD),
            refused: HeaderName::from_static(header::SHED),
            read_load,
            read_cold,
        }
    }
}

/// Reads milliseconds.
fn read_cold(text: &str) -> Option<Duration> {
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Reads `in-flight/slots`.
fn read_load(text: &str) -> Option<LoadReport> {
    let (busy, slots) = text.split_once('/')?;
    let (busy, slots): (u32, u32) = (busy.trim().parse().ok()?, slots.trim().parse().ok()?);
    Some(LoadReport {
        running: busy.min(slots),
        waiting: busy.saturating_sub(slots),
        slots,
        pace: 100,
    })
}
