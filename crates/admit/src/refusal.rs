//! Refusals of calls that aren't admitted.

use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;

/// Maximum `Retry-After` of a refusal.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why a call was refused. A refused call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The catalogue has no such service.
    UnknownService,
    /// The queue of the service or of the gateway is full.
    QueueFull,
    /// The call is not expected to be answered by its deadline.
    Overloaded,
    /// The deadline passed, or can no longer be met by the queued call.
    Expired,
    /// The call was removed from the full queue in favour of a call of a higher class.
    Yielded,
    /// The service was removed from the catalogue while the call was queued.
    Removed,
    /// The gateway is stopping.
    Stopping,
}

/// The final answer to a call that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Value of [`base::header::REASON`], also logged.
    pub reason: Reason,
    /// Value of `Retry-After`; none if retrying doesn't help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The HTTP status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self.reason {
            Reason::UnknownService | Reason::Removed => 404,
            _ => 503,
        }
    }

    /// [`Self::retry_after`] in seconds, rounded up, at least 1 and at most [`MAX_RETRY_AFTER`].
    #[must_use]
    pub fn retry_seconds(self) -> Option<u64> {
        let wait = self.retry_after?.min(MAX_RETRY_AFTER);
        Some(
            wait.as_millis()
                .div_ceil(1000)
                .try_into()
                .unwrap_or(1)
                .max(1),
        )
    }
}
