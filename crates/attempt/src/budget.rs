//! The retry budget of one service at one gateway or entry process.
//!
//! A token bucket: each call earns a fraction of a token, and each attempt beyond a call's
//! first one, hedges included, spends a token. So that services with few calls can retry at all,
//! an empty budget is lent one token per interval, which later calls repay before they earn.
//! Over any period from the start, the extra attempts are therefore at most
//! `percent * calls`, or the tokens lent if there are too few calls to repay them.
//!
//! Processes that share a limit each get a part of what is lent and saved. Parts of less than one
//! token are rounded up or down with a random offset, so that the sum over all processes doesn't
//! depend on their number.

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// One token. Budgets are counted in millionths of a token.
pub const TOKEN: u64 = 1_000_000;
const LOAN_INTERVAL: Duration = Duration::from_secs(5);
const BURST: u64 = 10 * TOKEN;
// Time for which calls earn savings.
const SAVING_WINDOW: Duration = Duration::from_secs(10);
// Tokens lent beyond this number need not be repaid.
const MAX_DEBT: u64 = 10 * TOKEN;

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
    /// If set, no more than a token is saved beyond what calls have earned in about this time.
    pub window: Option<Duration>,
}

impl BudgetSettings {
    /// Settings of a process that is alone: the given share of calls, one token lent in 5 s, and
    /// at most 10 tokens.
    #[must_use]
    pub fn percent(percent: u32) -> Self {
        Self::shared(percent, 1)
    }

    /// The same for one of `processes` that share the budget. Together they save no more than their
    /// recent calls have earned, and one token each.
    #[must_use]
    pub fn shared(percent: u32, processes: u32) -> Self {
        let processes = processes.max(1);
        Self {
            percent,
            floor: LOAN_INTERVAL.saturating_mul(processes),
            burst: BURST,
            window: Some(SAVING_WINDOW),
        }
    }
}

/// Tokens for attempts beyond the first of each call.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    // Available, in millionths of a token.
    level: u64,
    // Earned recently; decreases over the window of the settings.
    recent: u64,
    // Lent and not yet repaid by calls, in millionths of a token.
    debt: u64,
    filled_at: Moment,
    // When `recent` was last decreased.
    decayed_at: Moment,
    // Remainder of the parts that were rounded to whole tokens; starts at random.
    remainder: u64,
}

impl Budget {
    /// Creates an empty budget, so that restarts don't earn tokens.
    #[must_use]
    pub fn new(settings: BudgetSettings, seed: u64, now: Moment) -> Self {
        Self {
            settings,
            level: 0,
            recent: 0,
            debt: 0,
            filled_at: now,
            decayed_at: now,
            remainder: SmallRng::seed_from_u64(seed).random_range(0..TOKEN),
        }
    }

    /// Changes the settings. Saved tokens are kept, up to the new maximum.
    pub fn set_settings(&mut self, settings: BudgetSettings, now: Moment) {
        self.fill(now);
        self.settings = settings;
        self.level = self.level.min(self.max_level());
    }

    /// Credits the budget for one call.
    pub fn earn(&mut self, now: Moment) {
        self.fill(now);
        let earned = TOKEN / 100 * u64::from(self.settings.percent);
        let repaid = earned.min(self.debt);
        self.debt -= repaid;
        self.recent += earned;
        self.level = (self.level + earned - repaid).min(self.max_level());
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
    /// A budget that can't save a whole token spends what it has, whether or not that is rounded
    /// up to a token.
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
        self.remainder += std::mem::take(&mut self.level);
        let granted = self.remainder >= TOKEN;
        if granted {
            self.remainder -= TOKEN;
        }
        granted
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

    /// Time until a token, or as much as can be saved, is available without further calls.
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

    /// The maximum of what is saved now.
    fn max_level(&self) -> u64 {
        let burst = self.settings.burst;
        match self.settings.window {
            Some(_) => self.recent.max(TOKEN).min(burst),
            None => burst,
        }
    }

    /// The level above which nothing is lent.
    fn max_lent(&self) -> u64 {
        self.settings.burst.min(TOKEN)
    }

    /// Reduces the recent earnings by the part of the window that has passed, and the savings to
    /// what they allow.
    fn decay(&mut self, now: Moment) {
        let Some(window) = self.settings.window else {
            return;
        };
        let elapsed = now.since(self.decayed_at).min(window);
        let lost = u128::from(self.recent) * elapsed.as_nanos() / window.as_nanos().max(1);
        if lost == 0 {
            return;
        }
        self.recent -= u64::try_from(lost).unwrap_or(self.recent);
        self.level = self.level.min(self.max_level());
        self.decayed_at = now;
    }

    fn fill(&mut self, now: Moment) {
        self.decay(now);
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
