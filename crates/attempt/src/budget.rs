//! The retry budget of one service at one gateway.
//!
//! A token bucket: each call earns a share of a token, and a small floor earns on
//! with time, so that a service with few calls can retry at all. Each attempt
//! beyond a call's first, hedges included, spends one token. So over any stretch
//! the extra attempts are at most `share * calls + floor * time + burst`.

use std::time::Duration;

use base::prelude::*;

const TOKEN: u64 = 1_000_000;
const FLOOR_PERIOD: Duration = Duration::from_secs(5);
const BURST: u64 = 10;

/// How a budget fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Extra attempts as a share of calls, in percent.
    pub percent: u32,
    /// Time after which one token is earned without calls.
    pub floor: Duration,
    /// Most tokens saved.
    pub burst: u64,
}

impl Share {
    /// `percent` of calls, one token in five seconds, ten saved.
    #[must_use]
    pub fn percent(percent: u32) -> Self {
        Self {
            percent,
            floor: FLOOR_PERIOD,
            burst: BURST,
        }
    }
}

/// Tokens for attempts beyond the first of each call.
#[derive(Clone, Debug)]
pub struct Budget {
    share: Share,
    // Millionths of a token.
    level: u64,
    filled: Moment,
}

impl Budget {
    /// A budget with one token.
    #[must_use]
    pub fn new(share: Share, now: Moment) -> Self {
        Self {
            share,
            level: TOKEN,
            filled: now,
        }
    }

    /// Takes another share over; what was saved stays, up to the new burst.
    pub fn set_share(&mut self, share: Share, now: Moment) {
        self.fill(now);
        self.share = share;
        self.level = self.level.min(self.cap());
    }

    /// Counts one call.
    pub fn earn(&mut self, now: Moment) {
        self.fill(now);
        let earned = TOKEN / 100 * u64::from(self.share.percent);
        self.level = (self.level + earned).min(self.cap());
    }

    /// Takes a token, if there is one.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.fill(now);
        if self.level < TOKEN {
            return false;
        }
        self.level -= TOKEN;
        true
    }

    /// How long until the floor alone has earned a token.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        let mut ahead = self.clone();
        ahead.fill(now);
        let missing = TOKEN.saturating_sub(ahead.level);
        // Rounded up, so that a wait of this length always suffices.
        let nanos = u128::from(missing) * self.share.floor.as_nanos() / u128::from(TOKEN) + 1;
        if missing == 0 {
            return Duration::ZERO;
        }
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn cap(&self) -> u64 {
        self.share.burst * TOKEN
    }

    fn fill(&mut self, now: Moment) {
        let floor = self.share.floor.as_nanos().max(1);
        let earned = now.since(self.filled).as_nanos() * u128::from(TOKEN) / floor;
        if earned == 0 {
            return;
        }
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(earned).min(self.cap());
        self.filled = now;
    }
}
