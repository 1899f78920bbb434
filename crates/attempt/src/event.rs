//! What a call is told: answers, endings of attempts, time and the caller.

use strum::Display;
use strum::IntoStaticStr;

/// Number of an attempt within its call, from 1.
pub type AttemptNumber = u8;

/// Something that happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head of an upstream's answer came.
    Head(AttemptNumber, Head),
    /// The whole answer was relayed to the caller.
    Complete(AttemptNumber),
    /// An attempt ended without a whole answer.
    AttemptFailed(AttemptNumber, AttemptError),
    /// The moment of [`Call::wake`](crate::call::Call::wake) has come, or any other moment.
    Tick,
    /// The caller went away.
    CallerGone,
}

/// The head of an upstream's answer, as far as the decision needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// It carries [`base::header::SHED`]: refused before any work.
    pub shed: bool,
    /// It carries [`base::header::RETRIED`]: extra attempts were spent below, or could
    /// not be, so that none is spent here.
    pub retried: bool,
    /// The rest of a broken body can be asked for: `GET`, `Accept-Ranges: bytes`, strong `ETag`.
    pub resumable: bool,
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptError {
    /// There was no upstream to choose; nothing was sent.
    NoUpstream,
    /// No connection; no byte of the request left.
    ConnectFailed,
    /// The connection failed before the first byte of the request left.
    NotSent,
    /// Bytes may have left, and no head of an answer came.
    NoAnswer,
    /// The answer was another request's: the echoed request id differs.
    Mismatch,
    /// The adapter's own timeout ended the attempt after bytes may have left.
    Timeout,
    /// The body broke off after this many bytes since the body's begin, earlier attempts included.
    ShortBody(u64),
}

impl AttemptError {
    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NoUpstream | Self::ConnectFailed | Self::NotSent)
    }
}
