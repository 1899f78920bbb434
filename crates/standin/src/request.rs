//! Reads the headers of a request.

use std::time::Duration;

use base::header;
use salvo::Request;

use crate::runs::Origin;

/// Deadline of a request that sets none, and the maximum of any deadline.
const NO_DEADLINE: Duration = Duration::from_hours(1);

/// Reads the properties of a request that its run records. `drained_ms` is the time since the
/// drain started.
pub fn origin(req: &Request, path: String, drained_ms: Option<u64>) -> Origin {
    Origin {
        key: text(req, header::IDEMPOTENCY_KEY),
        caller: text(req, header::CALLER),
        workspace: text(req, header::WORKSPACE),
        authorization: text(req, "authorization"),
        path,
        request: text(req, header::REQUEST_ID),
        attempt: text(req, header::ATTEMPT),
        drained_ms,
    }
}

/// Time that the request may take; `None` if the header is malformed.
pub fn deadline(req: &Request) -> Option<Duration> {
    let Some(value) = req.headers().get(header::DEADLINE) else {
        return Some(NO_DEADLINE);
    };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis).min(NO_DEADLINE))
}

/// Value of a header, empty if absent or not text.
pub fn text(req: &Request, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
