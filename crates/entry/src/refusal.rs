//! Answers that are the system's own.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use strum::IntoStaticStr;

use crate::body::ResponseBody;

/// Why the system answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No table is known yet; not run.
    NoTable,
    /// No route matches.
    NoRoute,
    /// The body is over the limit; not run.
    TooLarge,
    /// No instance is known to be ready; not run.
    NoInstance,
    /// No instance could take it; not run.
    Full,
    /// Instances that ran it before have crashed; not run.
    Quarantined,
    /// Time ran out before it was sent; not run.
    Late,
    /// Time ran out while an instance may have been at work.
    Timeout,
    /// An instance broke off; the request may have run.
    Broken,
}

impl Reason {
    /// The status that tells callers whether the request may have run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoTable | Self::NoInstance | Self::Full | Self::Quarantined | Self::Late => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }
}

/// The answer; `back` is when asking again makes sense.
#[must_use]
pub fn answer(reason: Reason, back: Option<Duration>) -> Response<ResponseBody> {
    let word: &'static str = reason.into();
    let mut response = Response::new(ResponseBody::whole(Bytes::from_static(word.as_bytes())));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let text = back.map(|back| format!("{:.3}", back.as_secs_f64()));
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
