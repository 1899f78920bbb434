//! Decides to which send of a request a received response belongs, and what it proves.
//!
//! A kept connection may deliver a response of an earlier request where the response of the
//! latest one is expected. A response is the latest request's only if it names that request.
//! [`NotRun`] is the only proof that a request may be sent again although it may run once, or
//! that its caller may be told that it hasn't run; it can't be made from a response that names
//! another request, or none.

use http::StatusCode;
use strum::IntoStaticStr;

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
