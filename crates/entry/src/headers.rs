//! Handling of HTTP headers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;

/// Keeps what is passed on of a response's head: its end-to-end headers, and the length that it
/// states of a body that isn't sent.
pub fn keep_end_to_end(method: &Method, status: StatusCode, headers: &mut HeaderMap) {
    let length = framing::stated_length(method, status, headers);
    framing::strip(headers);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Whether the connection closes after the message.
#[must_use]
pub fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut options = texts.flat_map(|text| text.split(','));
    options.any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// The timeout of the `Keep-Alive` header.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let secs = parts.find_map(|part| part.strip_prefix("timeout="))?;
    secs.parse().ok().map(Duration::from_secs)
}

/// Parses a header as a number.
#[must_use]
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
