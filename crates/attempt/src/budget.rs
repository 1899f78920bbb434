//! The retry budget of one service at one gateway.
//!
//! A token bucket: each call earns a share of a token, and each attempt beyond a
//! call's first, hedges included, spends one. So that a service with few calls can
//! retry at all, time lends a token while there is none, and calls pay that back
//! before they earn. So over any stretch from the start the extra attempts are at
//! most `share * calls`, or what was lent where calls are too few to repay it. A new
//! budget lends a few retries besides, once.

use std::time::Duration;

use base::prelude::*;

const TOKEN: u64 = 1_000_000;
const FLOOR_PERIOD: Duration = Duration::from_secs(5);
const BURST: u64 = 10;
/// Retries that a new budget lends once, so that a process's first calls have some.
const FIRST_LOAN: u64 = 3;

/// How a budget fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Extra attempts as a share of calls, in percent; 0 allows none at all.
    pub percent: u32,
    /// Time after which one token is lent without calls.
    pub floor: Duration,
    /// Most tokens saved.
    pub burst: u64,
}

impl BudgetSettings {
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
    share: BudgetSettings,
    // Millionths of a token.
    level: u64,
    // What was lent, by the floor or at first, and calls haven't paid back, in the same unit.
    owed: u64,
    // Tokens that can still be borrowed; never more, so that only a new process has any.
    loans: u64,
    filled: Moment,
}

impl Budget {
    /// A budget without a token, so that restarts earn none.
    #[must_use]
    pub fn new(share: BudgetSettings, now: Moment) -> Self {
        Self {
            share,
            level: 0,
            owed: 0,
            loans: FIRST_LOAN,
            filled: now,
        }
    }

    /// Takes another share over; what was saved stays, up to the new burst.
    pub fn set_settings(&mut self, share: BudgetSettings, now: Moment) {
        self.fill(now);
        self.share = share;
        self.level = self.level.min(self.cap());
    }

    /// Counts one call.
    pub fn earn(&mut self, now: Moment) {
        self.fill(now);
        let earned = TOKEN / 100 * u64::from(self.share.percent);
        let paid = earned.min(self.owed);
        self.owed -= paid;
        self.level = (self.level + earned - paid).min(self.cap());
    }

    /// Takes a token, if there is one.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.fill(now);
        if self.level < TOKEN || self.share.percent == 0 {
            return false;
        }
        self.level -= TOKEN;
        true
    }

    /// Takes a token, or borrows one of the first few, for a retry after a failure.
    ///
    /// A hedge borrows nothing: the level next to a failure may borrow for the same
    /// call, and both would be spent on it.
    pub fn spend_or_borrow(&mut self, now: Moment) -> bool {
        if self.spend(now) {
            return true;
        }
        if self.loans == 0 || self.share.percent == 0 {
            return false;
        }
        self.loans -= 1;
        self.owed = (self.owed + TOKEN).min(self.cap());
        true
    }

    /// Pays for an attempt that a level below spent on a call of this service.
    ///
    /// Without a token it is owed, and calls pay it back before they earn. So the
    /// extra attempts of all levels together stay within one level's share and burst.
    pub fn charge(&mut self, now: Moment) {
        self.fill(now);
        let paid = self.level.min(TOKEN);
        self.level -= paid;
        self.owed = (self.owed + TOKEN - paid).min(self.cap());
    }

    /// How long until the floor alone has lent a token.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        if self.share.percent == 0 {
            return Duration::MAX;
        }
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
        let lent = now.since(self.filled).as_nanos() * u128::from(TOKEN) / floor;
        if lent == 0 {
            return;
        }
        let lent = u64::try_from(lent).unwrap_or(u64::MAX);
        let lent = lent.min(TOKEN.saturating_sub(self.level));
        self.level += lent;
        self.owed = (self.owed + lent).min(self.cap());
        self.filled = now;
    }
}
