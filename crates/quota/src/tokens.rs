//! Amounts of tokens, which are divisible.

use std::ops::Add;
use std::time::Duration;

/// Units in one token: rates are in thousandths per second and times in nanoseconds, so that what
/// accrues is a whole number of units.
const UNITS: u128 = 1_000_000_000_000;
/// Units in the millionth of a token, the smallest amount that is transferred.
const MICRO: u128 = UNITS / 1_000_000;
/// Amount up to which a token counts as whole. Shares of three domains don't add up to the whole
/// exactly, and a request at exactly the quota must not be refused for it.
const TOLERANCE: u128 = 10 * MICRO;

/// An amount of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tokens(u128);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// One token, which permits one request.
    pub const ONE: Self = Self(UNITS);

    /// A whole number of tokens.
    #[must_use]
    pub fn whole(count: u64) -> Self {
        Self(UNITS.saturating_mul(count.into()))
    }

    /// An amount in millionths of a token.
    #[must_use]
    pub fn from_micros(micros: u64) -> Self {
        Self(MICRO.saturating_mul(micros.into()))
    }

    /// The amount in millionths of a token, rounded down.
    #[must_use]
    pub fn micros(self) -> u64 {
        u64::try_from(self.0 / MICRO).unwrap_or(u64::MAX)
    }

    /// What accrues at `rate` requests per 1000 seconds within `time`, of which the fraction
    /// `part / whole` counts.
    #[must_use]
    pub fn accrued(rate: u64, time: Duration, (part, whole): (u64, u64)) -> Self {
        let all = u128::from(rate).saturating_mul(time.as_nanos());
        Self(all.saturating_mul(part.into()) / u128::from(whole.max(1)))
    }

    /// The time in which this amount accrues at `rate` requests per 1000 seconds.
    #[must_use]
    pub fn time_at(self, rate: u64) -> Duration {
        let nanos = self.0.div_ceil(u128::from(rate.max(1)));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// The amount divided by `count`, rounded down.
    #[must_use]
    pub fn divided(self, count: u64) -> Self {
        Self(self.0 / u128::from(count.max(1)))
    }

    /// The amount multiplied by `count`.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count.into()))
    }

    /// What is left after `other` is taken; zero if it is more.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The number of whole tokens.
    #[must_use]
    pub fn count(self) -> u64 {
        u64::try_from(self.0.saturating_add(TOLERANCE) / UNITS).unwrap_or(u64::MAX)
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
