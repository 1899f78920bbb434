//! The time that callers of a route have left when their requests arrive.
//!
//! A caller that retries has less time left than on its first attempt; nothing else
//! distinguishes it. Callers may differ in their timeouts, and a few may wait far longer than
//! all others. The typical time is therefore a high quantile of recent requests: retries, up to three in four requests
//! after an outage, hardly affect it, and the few longest timeouts don't raise it.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

/// Number of recent callers that are remembered.
const MAX_SAMPLES: usize = 64;
/// For this long after the first caller, the typical time is the longest one seen, capped by the
/// route's timeout: after a restart of the whole system most callers have already waited, and
/// the cap keeps a single long timeout from making all others look late.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Share of the typical time below which a caller counts as late during [`STARTUP_PERIOD`].
const STARTUP_TOLERANCE: f64 = 0.8;
/// Quantile of the remaining times that counts as typical.
const TYPICAL_QUANTILE: f64 = 0.75;
/// Quantile that excludes the few callers with far longer timeouts.
const HIGH_QUANTILE: f64 = 0.9;
/// How many times the distance between the two quantiles a caller may be below the typical time.
/// For evenly spread timeouts the shortest is five times that distance below; the rest allows
/// for chance.
const SPREAD_FACTOR: u32 = 7;
/// Allowance for network delay.
const SLACK: Duration = Duration::from_millis(5);

/// The remaining times of recent callers.
#[derive(Clone, Debug, Default)]
pub struct RemainingTime {
    first_at: Option<Moment>,
    samples: VecDeque<Duration>,
    typical: Duration,
    threshold: Duration,
}

impl RemainingTime {
    /// The time that a caller with `remaining` has already spent elsewhere.
    #[must_use]
    pub fn spent(&self, remaining: Duration) -> Duration {
        if remaining < self.threshold {
            self.typical.saturating_sub(remaining)
        } else {
            Duration::ZERO
        }
    }

    /// Records a caller's remaining time; `timeout` is the route's.
    pub fn learn(&mut self, now: Moment, remaining: Duration, timeout: Option<Duration>) {
        let first_at = *self.first_at.get_or_insert(now);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(remaining);
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        if now.since(first_at) < STARTUP_PERIOD {
            let longest = quantile(&sorted, 1.0);
            self.typical = timeout.map_or(longest, |timeout| longest.min(timeout));
            self.threshold = self.typical.mul_f64(STARTUP_TOLERANCE);
            return;
        }
        self.typical = quantile(&sorted, TYPICAL_QUANTILE);
        let spread = quantile(&sorted, HIGH_QUANTILE).saturating_sub(self.typical);
        self.threshold = self.typical.saturating_sub(spread * SPREAD_FACTOR + SLACK);
    }
}

/// The value at quantile `share` of `sorted`.
fn quantile(sorted: &[Duration], share: f64) -> Duration {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index"
    )]
    let index = (sorted.len() as f64 * share) as usize;
    sorted[index.min(sorted.len() - 1)]
}
