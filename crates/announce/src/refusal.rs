//! HTTP error responses, each with a fixed code.

use std::time::Duration;

use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header;
use salvo::writing::Json;
use serde::Serialize;
use strum::IntoStaticStr;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The body is not valid JSON of an announcement.
    Json,
    /// A field has an invalid value.
    Field,
    /// The query does not name exactly one service.
    Query,
    /// The body is too large.
    Large,
    /// The body was not received in time.
    Slow,
    /// The path does not exist.
    Path,
    /// The path does not allow the method.
    Method,
    /// The catalogue does not have the service.
    UnknownService,
    /// A newer announcement was already received.
    Older,
    /// The incarnation is gone, which is final.
    Left,
    /// The limit on records is reached.
    Full,
    /// No entry host is available.
    NoHost,
    /// No catalogue is confirmed.
    NotReady,
    /// The process is stopping.
    Stopping,
    /// Another error, described in the detail.
    Other,
}

impl Reason {
    /// HTTP status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Json | Self::Field | Self::Query | Self::Other => StatusCode::BAD_REQUEST,
            Self::Large => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Path | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::Older | Self::Left => StatusCode::CONFLICT,
            Self::Full | Self::NoHost | Self::NotReady | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Delay after which a retry may succeed; `None` when it will not.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Full | Self::NoHost | Self::NotReady | Self::Stopping => {
                Some(Duration::from_secs(1))
            }
            _ => None,
        }
    }
}

/// An error response: the reason and a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, sent as the error code.
    pub reason: Reason,
    /// Description for people.
    pub detail: String,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'static str,
    detail: &'a str,
}

impl Refusal {
    /// Creates a refusal.
    #[must_use]
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }

    /// Renders the refusal as the response.
    pub fn render(&self, res: &mut Response) {
        res.status_code(self.reason.status());
        if let Some(delay) = self.reason.retry_after() {
            let headers = res.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from(delay.as_secs()));
        }
        res.render(Json(Body {
            error: self.reason.into(),
            detail: &self.detail,
        }));
    }
}
