//! Filters the headers that are forwarded to upstreams and callers.

use std::time::Duration;

use base::header;
use http::HeaderMap;
use http::HeaderValue;
use http::header::CONTENT_LENGTH;
use http::header::HOST;

/// Request headers that only the gateway may set.
const RESERVED_REQUEST: [&str; 5] = [
    header::REQUEST_ID,
    header::ATTEMPT,
    header::DEADLINE,
    header::DEPTH,
    header::HOP,
];
/// Response headers that only the gateway may set.
const RESERVED_RESPONSE: [&str; 4] = [
    header::OUTCOME,
    header::REASON,
    header::REQUEST_ID,
    header::RETRIED,
];

/// Values of the headers that the gateway adds to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Request id.
    pub id: &'a str,
    /// Number of the attempt.
    pub attempt: u32,
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Nesting depth of the call.
    pub depth: u8,
}

/// End-to-end headers of a request.
#[must_use]
pub fn forwarded_request(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    framing::strip(&mut forwarded);
    forwarded.remove(HOST);
    for name in RESERVED_REQUEST {
        forwarded.remove(name);
    }
    forwarded
}

/// Adds the headers of an attempt.
pub fn set_attempt_headers(headers: &mut HeaderMap, attempt_headers: AttemptHeaders<'_>) {
    if let Ok(id) = HeaderValue::from_str(attempt_headers.id) {
        headers.insert(header::REQUEST_ID, id);
    }
    let remaining = u64::try_from(attempt_headers.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::ATTEMPT, HeaderValue::from(attempt_headers.attempt));
    headers.insert(header::DEADLINE, HeaderValue::from(remaining.max(1)));
    headers.insert(
        header::DEPTH,
        HeaderValue::from(u16::from(attempt_headers.depth)),
    );
}

/// End-to-end headers of an upstream's response, with the length that the caller gets.
#[must_use]
pub fn forwarded_response(headers: &HeaderMap, length: Option<u64>) -> HeaderMap {
    let mut forwarded = end_to_end(headers, length);
    for name in RESERVED_RESPONSE {
        forwarded.remove(name);
    }
    forwarded
}

/// End-to-end headers of another gateway's response, with what only gateways may say and the
/// length that the caller gets.
#[must_use]
pub fn hop_response(headers: &HeaderMap, length: Option<u64>) -> HeaderMap {
    let mut forwarded = end_to_end(headers, length);
    forwarded.remove(header::REQUEST_ID);
    forwarded
}

fn end_to_end(headers: &HeaderMap, length: Option<u64>) -> HeaderMap {
    let mut forwarded = headers.clone();
    framing::strip(&mut forwarded);
    if let Some(length) = length {
        forwarded.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    forwarded
}
