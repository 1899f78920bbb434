//! A token bucket that starts empty and holds one probe.

use std::time::Duration;

use base::prelude::*;

use crate::registry::Share;

/// Cost of one probe. Levels are budgets in thousandths of a probe per second, times
/// nanoseconds.
pub const PROBE_COST: u64 = 1_000 * 1_000_000_000;

/// One gateway's token bucket for probes of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: u64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            level: 0,
            filled_at: now,
        }
    }

    /// Time up to which the bucket was filled.
    #[must_use]
    pub fn filled_at(&self) -> Moment {
        self.filled_at
    }

    /// Fills the bucket up to `until`, at the rate of `share` or, if there is none, at zero.
    pub fn fill(&mut self, share: Option<Share>, until: Moment) {
        let elapsed = until.since(self.filled_at).as_nanos();
        self.filled_at = self.filled_at.max(until);
        let Some(share) = share else {
            return;
        };
        let earned = elapsed * u128::from(share.budget) / u128::from(share.gateways);
        let earned = u64::try_from(earned).unwrap_or(PROBE_COST);
        self.level = self.level.saturating_add(earned).min(PROBE_COST);
    }

    /// Takes a probe. Returns false if the bucket is not full.
    pub fn spend(&mut self) -> bool {
        let is_full = self.level >= PROBE_COST;
        if is_full {
            self.level = 0;
        }
        is_full
    }

    /// Time until the bucket is full at the rate of `share`.
    #[must_use]
    pub fn wait(&self, share: Share) -> Duration {
        let missing = u128::from(PROBE_COST - self.level) * u128::from(share.gateways);
        let nanos = missing.div_ceil(u128::from(share.budget));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Empties the bucket.
    pub fn clear(&mut self, now: Moment) {
        *self = Self::new(now);
    }
}
