//! Why a call isn't admitted, and when its caller may come back.

use std::time::Duration;

use strum::Display;
use strum::IntoStaticStr;

/// Longest time a caller is told to wait.
pub const MOST_WAIT: Duration = Duration::from_secs(30);

/// Why a call was refused; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refused {
    /// The catalogue has no such service.
    UnknownService,
    /// The queue of the service or of the gateway is full.
    QueueFull,
    /// The predicted wait doesn't fit the deadline.
    Overloaded,
    /// It waited in the queue until its deadline couldn't be met.
    Expired,
    /// A queued call of a lower class made room for a higher one.
    Yielded,
    /// The service left the catalogue while the call was queued.
    Removed,
    /// The gateway is stopping.
    Stopping,
}

/// The final answer to a call that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// For [`base::header::REASON`] and the log.
    pub reason: Refused,
    /// For `Retry-After`, rounded up to seconds; none where coming back doesn't help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> u16 {
        match self.reason {
            Refused::UnknownService | Refused::Removed => 404,
            _ => 503,
        }
    }

    /// Whole seconds for `Retry-After`, at least one.
    #[must_use]
    pub fn retry_seconds(self) -> Option<u64> {
        let wait = self.retry_after?.min(MOST_WAIT);
        Some(
            wait.as_millis()
                .div_ceil(1000)
                .try_into()
                .unwrap_or(1)
                .max(1),
        )
    }
}
