//! A token bucket that starts empty and holds one probe.

use std::time::Duration;

use base::prelude::*;

use crate::registry::Share;

/// One probe, in thousandths of a probe a second times nanoseconds.
pub const PROBE: u64 = 1_000 * 1_000_000_000;

/// One gateway's saved part of the next probe of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: u64,
    filled: Moment,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            level: 0,
            filled: now,
        }
    }

    /// Up to when it was filled.
    #[must_use]
    pub fn filled(&self) -> Moment {
        self.filled
    }

    /// Fills it at the rate of `share` up to `until`; none adds nothing.
    pub fn fill(&mut self, share: Option<Share>, until: Moment) {
        let span = until.since(self.filled).as_nanos();
        self.filled = self.filled.max(until);
        let Some(share) = share else {
            return;
        };
        let earned = span * u128::from(share.millis) / u128::from(share.gateways);
        let earned = u64::try_from(earned).unwrap_or(PROBE);
        self.level = self.level.saturating_add(earned).min(PROBE);
    }

    /// Takes a probe, if one is saved.
    pub fn spend(&mut self) -> bool {
        let is_full = self.level >= PROBE;
        if is_full {
            self.level = 0;
        }
        is_full
    }

    /// Time until it holds a probe at the rate of `share`.
    #[must_use]
    pub fn wait(&self, share: Share) -> Duration {
        let missing = u128::from(PROBE - self.level) * u128::from(share.gateways);
        let nanos = missing.div_ceil(u128::from(share.millis));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Drops what was saved.
    pub fn clear(&mut self, now: Moment) {
        *self = Self::new(now);
    }
}
