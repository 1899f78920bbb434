//! Decides to which send of a request a received response belongs, and what it proves.
//!
//! A kept connection may deliver a response of an earlier request where the response of the
//! latest one is expected. A response is the latest request's only if it names that request.
//! [`NotRun`] is the only proof that a request may be sent again although it may run once, or
//! that its caller may be told that it hasn't run; it can't be made from a response that names
//! another request, or none.

// Rebuilt whenever the digest of the sources changes, which `base` holds.
use base as _;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use strum::IntoStaticStr;

/// Maximum length in bytes of the ids of a response in the log. Longer than the ids that our own
/// processes give to requests.
const MAX_LOGGED_IDS: usize = 128;

/// The request that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Owner {
    /// The request that was sent last.
    Sent,
    /// Another request.
    Other,
    /// No request.
    Unnamed,
}

impl Owner {
    /// Compares the ids that a response names to that of the request that was sent.
    pub fn of<'a>(sent: &[u8], named: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut owner = Self::Unnamed;
        for id in named {
            if id != sent {
                return Self::Other;
            }
            owner = Self::Sent;
        }
        owner
    }

    /// Compares the ids in the header `name` of a response to that of the request that was sent.
    #[must_use]
    pub fn in_headers(sent: &[u8], headers: &HeaderMap, name: &HeaderName) -> Self {
        let named = headers.get_all(name).iter();
        Self::of(sent, named.map(HeaderValue::as_bytes))
    }
}

/// The ids in the header `name` of a response as text for the log, cut to 128 bytes; "-" if there
/// are none.
#[must_use]
pub fn named_ids(headers: &HeaderMap, name: &HeaderName) -> String {
    let values = headers.get_all(name).iter();
    let ids: Vec<&str> = values
        .map(|value| value.to_str().unwrap_or("invalid"))
        .collect();
    let mut text = ids.join(",");
    // Text of header values is ASCII, so each byte is a character.
    text.truncate(MAX_LOGGED_IDS);
    if text.is_empty() {
        text.push('-');
    }
    text
}

/// Why a request hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// No byte of it was sent.
    Unsent,
    /// The instance refused it before any work.
    Refused,
    /// Another instance has the address.
    OtherInstance,
}

/// Proof that a send of a request hasn't run and won't.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun(Cause);

impl NotRun {
    /// The proof for a request of which no byte was sent.
    #[must_use]
    pub fn unsent() -> Self {
        Self(Cause::Unsent)
    }

    /// Why the request hasn't run.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.0
    }
}

/// What the head of a response says of the latest request.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its response: the request may have run.
    Answered,
    /// Its refusal.
    NotRun(NotRun),
    /// Not its response. The request may have run, and its own response may follow.
    Foreign(Owner),
}

/// Judges the head of a response. `refused` tells whether it says that the request was refused
/// before any work.
#[must_use]
pub fn judge(owner: Owner, status: StatusCode, refused: bool) -> Verdict {
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    match owner {
        Owner::Other | Owner::Unnamed => Verdict::Foreign(owner),
        Owner::Sent if is_misdirected => Verdict::NotRun(NotRun(Cause::OtherInstance)),
        Owner::Sent if refused => Verdict::NotRun(NotRun(Cause::Refused)),
        Owner::Sent => Verdict::Answered,
    }
}

/// Whether a status tells a caller that the request hasn't run and won't.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
