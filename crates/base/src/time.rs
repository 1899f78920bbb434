//! Time as plain values for the state machines, read from the runtime's clock.

use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

/// Nanoseconds since the process's [`Clock`] began; never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Moment(u64);

impl Moment {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// The moment `nanos` nanoseconds after the origin.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// The moment `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Nanoseconds since the origin.
    #[must_use]
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero where that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` before, at the earliest the origin.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(nanos(span)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(nanos(span)))
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// The runtime's clock, which tests pause and advance, as [`Moment`]s.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(nanos(self.origin.elapsed()))
    }

    /// The runtime's instant of `moment`, for its timers.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + Duration::from_nanos(moment.0)
    }
}
