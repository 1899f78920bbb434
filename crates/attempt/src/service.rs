//! What the calls of one service share at one gateway.

use base::prelude::*;

use crate::budget::Budget;
use crate::budget::BudgetSettings;
use crate::latency::Latency;

/// Retry budget, observed latency and load of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Tokens for retries and hedges.
    pub budget: Budget,
    /// Time from an attempt's start to the head of a successful answer.
    pub latency: Latency,
    /// Requests are queued for the service, so that a hedge would only add load; set by the adapter.
    pub backlogged: bool,
}

impl Service {
    /// A service without answers yet.
    #[must_use]
    pub fn new(share: BudgetSettings, now: Moment) -> Self {
        Self {
            budget: Budget::new(share, now),
            latency: Latency::default(),
            backlogged: false,
        }
    }
}
