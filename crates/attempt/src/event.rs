//! The events that drive a call.

use strum::Display;
use strum::IntoStaticStr;

/// Number of an attempt within its call, from 1.
pub type AttemptNumber = u8;

/// An event of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head of an upstream's response was received.
    Head(AttemptNumber, Head),
    /// The response was relayed to the caller completely.
    Complete(AttemptNumber),
    /// An attempt ended without a complete response.
    AttemptFailed(AttemptNumber, AttemptError),
    /// Time has passed, for example until [`Call::next_wakeup`](crate::call::Call::next_wakeup).
    Tick,
    /// The caller disconnected.
    CallerGone,
}

/// The head of an upstream's response, as far as a call's decisions need it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// It proves that the request was refused before any work.
    pub shed: bool,
    /// It carries [`base::header::RETRIED`]: a level below used extra attempts, or was not able
    /// to, so that this level must not retry.
    pub retried: bool,
    /// The rest of a truncated body can be requested: `GET`, `Accept-Ranges: bytes`, strong
    /// `ETag`.
    pub resumable: bool,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptError {
    /// No upstream was available; nothing was sent.
    NoUpstream,
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// The connection failed before the first byte of the request was sent.
    NotSent,
    /// The request may have been sent, and no head of a response was received.
    NoAnswer,
    /// As [`Self::NoAnswer`] or [`Self::ShortBody`], and the request must not be sent again
    /// because it crashes instances.
    Quarantined,
    /// As [`Self::NoAnswer`] or [`Self::ShortBody`], and the request must not be sent again
    /// because its instance crashed and no collector has acknowledged the crash.
    Suspected,
    /// The response belongs to another request, or refuses the request without naming it.
    Mismatch,
    /// The response has a status that says that the request hasn't run, without proof.
    Unproven,
    /// The driver's timeout ended the attempt; the request may have been sent.
    Timeout,
    /// The body was truncated at this offset, counted from the start of the whole body.
    ShortBody(u64),
}

impl AttemptError {
    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NoUpstream | Self::ConnectFailed | Self::NotSent)
    }
}
