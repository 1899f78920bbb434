//! What a request says of itself.

use std::time::Duration;

use base::header;
use salvo::Request;

use crate::runs::Origin;

/// Time that a request without a deadline may take.
const NO_DEADLINE: Duration = Duration::from_hours(1);

/// Who asks for what; `drained_ms` is since a drain began.
pub fn origin(req: &Request, path: String, drained_ms: Option<u64>) -> Origin {
    Origin {
        key: text(req, header::IDEMPOTENCY_KEY),
        caller: text(req, header::CALLER),
        path,
        request: text(req, header::REQUEST_ID),
        attempt: text(req, header::ATTEMPT),
        drained_ms,
    }
}

/// How long the request may take; none where it says so in another form.
pub fn deadline(req: &Request) -> Option<Duration> {
    let Some(value) = req.headers().get(header::DEADLINE) else {
        return Some(NO_DEADLINE);
    };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis).min(NO_DEADLINE))
}

/// A header, empty where it isn't there.
pub fn text(req: &Request, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
