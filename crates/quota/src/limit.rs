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
    /// The capacity of the bucket of one of `domains` failure domains. It has room for one request
    /// at least, as otherwise a workspace with a small burst could never send from there; the
    /// bound's slack covers the difference.
    #[must_use]
    pub fn capacity(&self, domains: u64) -> Tokens {
        Tokens::whole(self.burst).divided(domains).max(Tokens::ONE)
    }
}
