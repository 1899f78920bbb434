//! Handling of HTTP headers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those named in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
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
