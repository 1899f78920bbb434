//! Timestamps as plain values for the state machines, read from the runtime's clock.

use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

/// Monotonic timestamp: nanoseconds since the origin of the process's [`Clock`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
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

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `duration` before `self`, saturating at the origin.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_nanos(duration)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(saturating_nanos(duration)))
    }
}

fn saturating_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Reads the runtime's clock as [`Moment`]s; tests can pause and advance it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(saturating_nanos(self.origin.elapsed()))
    }

    /// Converts `moment` to an [`Instant`] for the runtime's timers.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + Duration::from_nanos(moment.0)
    }
}
