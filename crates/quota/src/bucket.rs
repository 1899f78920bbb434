//! A token bucket.

use std::time::Duration;

use base::prelude::*;

use crate::tokens::Tokens;

/// How fast tokens accrue, and up to which amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Requests per 1000 seconds.
    pub rate: u64,
    /// The fraction of the rate that accrues here.
    pub fraction: (u64, u64),
    /// The capacity of the bucket.
    pub capacity: Tokens,
}

/// Tokens that accrue over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    tokens: Tokens,
    settled_at: Moment,
}

impl Bucket {
    /// An empty bucket, in which tokens accrue from `from` on.
    #[must_use]
    pub fn empty(from: Moment) -> Self {
        Self {
            tokens: Tokens::ZERO,
            settled_at: from,
        }
    }

    /// Adds what has accrued until `now`.
    pub fn settle(&mut self, now: Moment, flow: &Flow) {
        let elapsed = now.since(self.settled_at);
        let accrued = Tokens::accrued(flow.rate, elapsed, flow.fraction);
        self.tokens = (self.tokens + accrued).min(flow.capacity);
        self.settled_at = self.settled_at.max(now);
    }

    /// Takes up to `count` whole tokens. Returns how many there were.
    pub fn take(&mut self, count: u64) -> u64 {
        let taken = self.tokens.count().min(count);
        self.tokens = self.tokens.minus(Tokens::whole(taken));
        taken
    }

    /// Takes up to `amount`, fractions included, and no less than the millionth of a token.
    pub fn take_part(&mut self, amount: Tokens) -> Tokens {
        let taken = Tokens::from_micros(self.tokens.min(amount).micros());
        self.tokens = self.tokens.minus(taken);
        taken
    }

    /// Adds tokens without regard to the capacity, which applies when the bucket is next settled.
    pub fn add(&mut self, amount: Tokens) {
        self.tokens = self.tokens + amount;
    }

    /// The tokens when the bucket was last settled.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// The time after `now` until tokens begin to accrue.
    #[must_use]
    pub fn pause(&self, now: Moment) -> Duration {
        self.settled_at.since(now)
    }
}
