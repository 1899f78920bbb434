//! Rates of requests.

use std::fmt;
use std::time::Duration;

/// Thousandths of a unit.
const MILLI: f64 = 1_000.0;

/// A number of requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u32);

impl RequestRate {
    /// No requests at all.
    pub const ZERO: Self = Self(0);

    /// A rate of `milli` requests per 1000 seconds.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Requests per 1000 seconds.
    #[must_use]
    pub const fn milli(self) -> u32 {
        self.0
    }

    /// Parses a decimal number of requests per second; `None` if it isn't one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let per_second: f64 = text.trim().parse().ok()?;
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and larger rates are cut to the maximum"
        )]
        let milli = (per_second * MILLI) as u32;
        Some(Self(milli))
    }

    /// The rate divided by `parts`.
    #[must_use]
    pub const fn divided_by(self, parts: u32) -> Self {
        match self.0.checked_div(parts) {
            Some(milli) => Self(milli),
            None => Self::ZERO,
        }
    }

    /// Time between two requests at this rate; `None` if there are none.
    #[must_use]
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs_f64(MILLI / f64::from(self.0)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / MILLI)
    }
}
