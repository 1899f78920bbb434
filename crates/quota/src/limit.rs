//! The quota of a workspace and the share of a failure domain.

use crate::tokens::Tokens;

/// The quota of a workspace over all entry processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests per 1000 seconds.
    pub rate: u64,
    /// Requests beyond the rate that may come at once after a pause.
    pub burst: u64,
}

impl Limit {
    /// The capacity of a failure domain's bucket. It has room for one request at least, as
    /// otherwise a workspace with a small burst could never send from there; the bound's slack
    /// covers the difference.
    #[must_use]
    pub fn capacity(&self, shares: Shares) -> Tokens {
        let burst = Tokens::whole(self.burst).divided(shares.count);
        (burst + shares.spare).max(Tokens::ONE)
    }
}

/// The division of quotas among failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// The number of shares.
    pub count: u64,
    /// What each bucket holds beyond its share of the burst.
    pub spare: Tokens,
}
