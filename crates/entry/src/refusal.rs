//! Responses that the entry process itself generates.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::body::ResponseBody;

/// Why a request is refused. Unless stated otherwise, no instance has processed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No route table is known yet.
    NoTable,
    /// No route matches.
    NoRoute,
    /// The request presents no key of a workspace.
    Unauthorized,
    /// The request is beyond the quota of its workspace.
    OverQuota,
    /// No process that holds the quota of the workspace answers.
    QuotaUnreachable,
    /// The request needs a key, and no majority has confirmed the route table for too long.
    Unconfirmed,
    /// The request body exceeds the limit.
    TooLarge,
    /// The process has no memory left for the request.
    Memory,
    /// No instance of the service is available.
    NoInstance,
    /// No process that was asked reaches an instance.
    Unreachable,
    /// The route table is older than that of the process that relays the request.
    OldTable,
    /// No instance has capacity in time.
    Full,
    /// All instances asked this process for a time without requests.
    #[strum(serialize = "resting")]
    BackedOff,
    /// The request is quarantined: instances that processed it have crashed.
    Quarantined,
    /// The deadline passed before the request was sent.
    Late,
    /// The process stops before the request could be answered.
    Stopping,
    /// The deadline passed while an instance may have been processing the request.
    Timeout,
    /// An attempt broke off; an instance may have processed the request.
    Broken,
    /// The process stopped while an instance may have been processing the request.
    Stopped,
}

impl Reason {
    /// The HTTP status, which tells callers whether an instance may have processed the request.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoTable
            | Self::Unconfirmed
            | Self::Memory
            | Self::NoInstance
            | Self::Unreachable
            | Self::OldTable
            | Self::Full
            | Self::BackedOff
            | Self::Quarantined
            | Self::QuotaUnreachable
            | Self::Late
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken | Self::Stopped => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether no instance has processed the request, nor will.
    #[must_use]
    pub fn means_not_run(self) -> bool {
        !matches!(self, Self::Timeout | Self::Broken | Self::Stopped)
    }

    /// Whether another process may serve the request.
    #[must_use]
    pub fn is_about_process(self) -> bool {
        matches!(
            self,
            Self::NoTable
                | Self::Unconfirmed
                | Self::Memory
                | Self::NoInstance
                | Self::Unreachable
                | Self::OldTable
                | Self::Stopping
        )
    }
}

/// Builds the response; `retry_after` is sent as `Retry-After`.
#[must_use]
pub fn response(reason: Reason, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let label: &'static str = reason.into();
    let mut response = Response::new(ResponseBody::whole(Bytes::from_static(label.as_bytes())));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if reason == Reason::Unauthorized {
        let scheme = HeaderValue::from_static("Bearer");
        headers.insert(header::WWW_AUTHENTICATE, scheme);
    }
    let text = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
