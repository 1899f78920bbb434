//! Which headers pass through the gateway, and which end at it.

use std::time::Duration;

use base::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::HOST;
use http::header::PROXY_AUTHENTICATE;
use http::header::PROXY_AUTHORIZATION;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;

/// Hop-by-hop headers, which belong to one connection.
const HOP: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Hop-by-hop too, though no standard lists them any more.
const OLD_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Headers that only the system itself may set towards an upstream.
const OWN_REQUEST: [&str; 4] = [
    header::REQUEST_ID,
    header::ATTEMPT,
    header::DEADLINE,
    header::DEPTH,
];
/// Headers that only the system itself may set towards a caller.
const OWN_ANSWER: [&str; 4] = [
    header::OUTCOME,
    header::REASON,
    header::REQUEST_ID,
    header::RETRIED,
];

/// What one attempt tells the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The attempt's number.
    pub attempt: u32,
    /// What is left for the answer.
    pub left: Duration,
    /// Nesting of the call.
    pub depth: u8,
}

/// The end-to-end headers of a request.
#[must_use]
pub fn of_request(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(HOST);
    // The client sets it anew from the body that it sends.
    kept.remove(CONTENT_LENGTH);
    for name in OWN_REQUEST {
        kept.remove(name);
    }
    kept
}

/// Adds what the attempt tells.
pub fn tell(headers: &mut HeaderMap, told: Told<'_>) {
    if let Ok(id) = HeaderValue::from_str(told.id) {
        headers.insert(header::REQUEST_ID, id);
    }
    let left = u64::try_from(told.left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::ATTEMPT, HeaderValue::from(told.attempt));
    headers.insert(header::DEADLINE, HeaderValue::from(left.max(1)));
    headers.insert(header::DEPTH, HeaderValue::from(u16::from(told.depth)));
}

/// The end-to-end headers of an upstream's answer.
#[must_use]
pub fn of_answer(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    for name in OWN_ANSWER {
        kept.remove(name);
    }
    kept
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in named_by_connection(headers) {
        kept.remove(name);
    }
    for name in HOP {
        kept.remove(name);
    }
    for name in OLD_HOP {
        kept.remove(name);
    }
    kept
}

fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
}
