//! The bound on a workspace's requests in any window of time.

use std::time::Duration;

use crate::limit::Limit;
use crate::limit::Shares;
use crate::tokens::Tokens;

/// How long two holders of a domain may accrue tokens. Lists of processes differ for up to 600 ms,
/// and a new holder waits for 500 ms; the rest is a margin.
const OVERLAP: Duration = Duration::from_millis(200);
/// Range of the lifetime of a permit.
const LIFETIME_RANGE: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(300)];

/// The bound: `(rate x window + burst) x (1 + overshoot) + slack` requests in any window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The length of the window.
    pub window: Duration,
    /// Additional requests, in thousandths.
    pub overshoot: u32,
    /// Additional requests.
    pub slack: u32,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 100,
            slack: 20,
        }
    }
}

impl Bound {
    /// The number of requests that may run in a window.
    #[must_use]
    pub fn requests(&self, limit: Limit) -> u64 {
        let accrued = u128::from(limit.rate) * self.window.as_millis() / 1_000_000;
        let all = accrued + u128::from(limit.burst);
        let all = all * u128::from(1000 + self.overshoot) / 1000 + u128::from(self.slack);
        u64::try_from(all).unwrap_or(u64::MAX)
    }

    /// How long a permit is valid after its tokens were deducted. A request that is sent later
    /// counts in a later window than its tokens, so that the window holds what accrues within the
    /// lifetime in addition; the overshoot has to cover this.
    #[must_use]
    pub fn permit_lifetime(&self) -> Duration {
        let [min, max] = LIFETIME_RANGE;
        let covered = self.window * self.overshoot / 1000;
        covered.saturating_sub(OVERLAP).clamp(min, max)
    }

    /// The division among `count` failure domains. Half of the slack adds to the burst, because the
    /// requests of a small workspace arrive unevenly. The other half is left for faults.
    #[must_use]
    pub fn shares(&self, count: u64) -> Shares {
        let spare = Tokens::whole(self.slack.into()).divided(2).divided(count);
        Shares { count, spare }
    }

    /// Whether buckets of `domains` failure domains keep to the bound while each domain has one
    /// holder, or two during [`OVERLAP`].
    #[must_use]
    pub fn is_kept(&self, limit: Limit, domains: u64) -> bool {
        let capacity = limit.capacity(self.shares(domains));
        let capacity = capacity.times(domains).count();
        let span = self.window + self.permit_lifetime() + OVERLAP;
        let accrued = u128::from(limit.rate) * span.as_millis() / 1_000_000;
        accrued + u128::from(capacity) <= u128::from(self.requests(limit))
    }
}
