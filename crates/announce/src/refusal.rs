//! Answers over HTTP that say no, each with a fixed word.

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
    /// The body isn't the JSON that is asked for.
    Json,
    /// A field has no allowed value.
    Field,
    /// The query doesn't name one service.
    Query,
    /// The body is too large.
    Large,
    /// The body came too slowly.
    Slow,
    /// No such path.
    Path,
    /// The path takes another method.
    Method,
    /// The catalogue has no such service.
    UnknownService,
    /// A newer announcement was heard.
    Older,
    /// The incarnation has left for good.
    Left,
    /// No room for another record.
    Full,
    /// No entry host can be named.
    NoHost,
    /// No catalogue is confirmed here.
    NotReady,
    /// The directory stops.
    Stopping,
    /// Something else; the detail says what.
    Other,
}

impl Reason {
    /// The status it goes out with.
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

    /// When asking again may help.
    #[must_use]
    pub fn retry(self) -> Option<Duration> {
        match self {
            Self::Full | Self::NoHost | Self::NotReady | Self::Stopping => {
                Some(Duration::from_secs(1))
            }
            _ => None,
        }
    }
}

/// A refusal with what is wrong in this case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is wrong, for people.
    pub detail: String,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'static str,
    detail: &'a str,
}

impl Refusal {
    /// A refusal.
    #[must_use]
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }

    /// Writes it as the answer.
    pub fn render(&self, res: &mut Response) {
        res.status_code(self.reason.status());
        if let Some(wait) = self.reason.retry() {
            let headers = res.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.as_secs()));
        }
        res.render(Json(Body {
            error: self.reason.into(),
            detail: &self.detail,
        }));
    }
}
