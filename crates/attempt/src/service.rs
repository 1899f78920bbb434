//! State that the calls of a service share at one gateway.

use base::prelude::*;

use crate::budget::Budget;
use crate::budget::BudgetSettings;
use crate::latency::Latency;

/// State that the calls of a service share: retry budget, latency and load.
#[derive(Clone, Debug)]
pub struct Service {
    /// Tokens for retries and hedges.
    pub budget: Budget,
    /// Times from the start of an attempt to the head of a successful response.
    pub latency: Latency,
    /// Whether calls of the service are queued, so that hedges would only add load. Set by the
    /// driver.
    pub backlogged: bool,
}

impl Service {
    /// Creates the state of a service without calls; `seed` is that of the budget's lots.
    #[must_use]
    pub fn new(settings: BudgetSettings, seed: u64, now: Moment) -> Self {
        Self {
            budget: Budget::new(settings, seed, now),
            latency: Latency::default(),
            backlogged: false,
        }
    }
}
