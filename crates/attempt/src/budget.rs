//! The retry budget of one service at one gateway.
//!
//! A token bucket: each call earns a fraction of a token, and each attempt beyond a call's
//! first one, hedges included, spends a token. So that services with few calls can retry at all,
//! an empty budget is lent one token per interval, which later calls repay before they earn.
//! Over any period from the start, the extra attempts are therefore at most
//! `percent * calls`, or the tokens lent if there are too few calls to repay them. In addition,
//! a new budget can borrow a few tokens once.
//!
//! Processes that share a limit each get a part of what is lent and saved. A part of less than one
//! token is drawn by lot, so that the sum over all processes doesn't depend on their number.

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// One token. Budgets are counted in millionths of a token.
pub const TOKEN: u64 = 1_000_000;
const LOAN_INTERVAL: Duration = Duration::from_secs(5);
const BURST: u64 = 10 * TOKEN;
// Tokens lent beyond this number need not be repaid.
const MAX_DEBT: u64 = 10 * TOKEN;
// Tokens that a new budget can borrow once, so that the first calls of a process can retry.
const INITIAL_LOANS: u64 = 3;

/// Parameters of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Extra attempts as a share of calls, in percent; 0 disables extra attempts.
    pub percent: u32,
    /// Interval in which one token is lent, regardless of calls; none are lent if it is the
    /// longest duration.
    pub floor: Duration,
    /// Maximum of what is saved, in millionths of a token.
    pub burst: u64,
}

impl BudgetSettings {
    /// Settings with the given share of calls, one token lent in 5 s, and at most 10 tokens.
    #[must_use]
    pub fn percent(percent: u32) -> Self {
        Self {
            percent,
            floor: LOAN_INTERVAL,
            burst: BURST,
        }
    }
}

/// Tokens for attempts beyond the first of each call.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    // Available, in millionths of a token.
    level: u64,
    // Lent or borrowed and not yet repaid by calls, in millionths of a token.
    debt: u64,
    // Tokens that can still be borrowed; never increases.
    loans: u64,
    filled_at: Moment,
    rng: SmallRng,
}

impl Budget {
    /// Creates an empty budget, so that restarts don't earn tokens.
    #[must_use]
    pub fn new(settings: BudgetSettings, seed: u64, now: Moment) -> Self {
        Self {
            settings,
            level: 0,
            debt: 0,
            loans: INITIAL_LOANS,
            filled_at: now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the settings. Saved tokens are kept, up to the new maximum.
    pub fn set_settings(&mut self, settings: BudgetSettings, now: Moment) {
        self.fill(now);
        self.settings = settings;
        self.level = self.level.min(settings.burst);
    }

    /// Credits the budget for one call.
    pub fn earn(&mut self, now: Moment) {
        self.fill(now);
        let earned = TOKEN / 100 * u64::from(self.settings.percent);
        let repaid = earned.min(self.debt);
        self.debt -= repaid;
        self.level = (self.level + earned - repaid).min(self.settings.burst);
    }

    /// Number of tokens available.
    #[must_use]
    pub fn tokens(&self, now: Moment) -> f64 {
        let mut filled = self.clone();
        filled.fill(now);
        Duration::from_micros(filled.level).as_secs_f64()
    }

    /// Takes a token. Returns false if there is none.
    ///
    /// A budget that can't save a whole token stakes what it has: the token is granted with that
    /// probability, and the stake is spent either way.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.fill(now);
        if self.settings.percent == 0 {
            return false;
        }
        if self.level >= TOKEN {
            self.level -= TOKEN;
            return true;
        }
        if self.settings.burst >= TOKEN {
            return false;
        }
        let stake = std::mem::take(&mut self.level);
        self.rng.random_range(0..TOKEN) < stake
    }

    /// Takes a token, or borrows one of the initial loans, for a retry after a failure.
    ///
    /// Hedges must not borrow: the level next to a failure may borrow for the same call, which
    /// would then cost two loans.
    pub fn spend_or_borrow(&mut self, now: Moment) -> bool {
        if self.spend(now) {
            return true;
        }
        if self.loans == 0 || self.settings.percent == 0 {
            return false;
        }
        self.loans -= 1;
        self.debt = (self.debt + TOKEN).min(MAX_DEBT);
        true
    }

    /// Charges an extra attempt that a level below used for a call of this service.
    ///
    /// If there is no token, the attempt is added to the debt, which calls repay before they
    /// earn. The extra attempts of all levels together therefore stay within one level's
    /// budget.
    pub fn charge(&mut self, now: Moment) {
        self.fill(now);
        let paid = self.level.min(TOKEN);
        self.level -= paid;
        self.debt = (self.debt + TOKEN - paid).min(MAX_DEBT);
    }

    /// Time until a token, or the whole stake for one, is available without further calls.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        if self.settings.percent == 0 {
            return Duration::MAX;
        }
        let mut filled = self.clone();
        filled.fill(now);
        let missing = self.max_lent().saturating_sub(filled.level);
        // Rounded up, so that a token is available after the wait.
        let nanos = u128::from(missing) * self.settings.floor.as_nanos() / u128::from(TOKEN) + 1;
        if missing == 0 {
            return Duration::ZERO;
        }
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// The level above which nothing is lent.
    fn max_lent(&self) -> u64 {
        self.settings.burst.min(TOKEN)
    }

    fn fill(&mut self, now: Moment) {
        let interval = self.settings.floor.as_nanos().max(1);
        let lent = now.since(self.filled_at).as_nanos() * u128::from(TOKEN) / interval;
        if lent == 0 {
            return;
        }
        let lent = u64::try_from(lent).unwrap_or(u64::MAX);
        let lent = lent.min(self.max_lent().saturating_sub(self.level));
        self.level += lent;
        self.debt = (self.debt + lent).min(MAX_DEBT);
        self.filled_at = now;
    }
}
