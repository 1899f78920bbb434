//! Limits the requests that one process sends to an instance.

use std::time::Duration;

use base::prelude::*;

use crate::rate::RequestRate;

/// Number of requests for which time without requests is saved up. Requests arrive unevenly, so
/// a process that saves nothing up uses its rate only if it always has requests waiting.
const BURST: u32 = 2;

/// Allows requests at a rate, and a short burst after a time without requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacer {
    rate: RequestRate,
    /// When the next request would be due at an even pace; earlier than now by what is saved up.
    due: Moment,
}

impl Pacer {
    /// A pacer that allows the first request after one interval, because another process may
    /// have sent one just before.
    #[must_use]
    pub fn new(now: Moment, rate: RequestRate) -> Self {
        let due = rate.interval().map_or(now, |interval| now + interval);
        Self { rate, due }
    }

    /// Changes the rate, from the next request on.
    pub fn set_rate(&mut self, now: Moment, rate: RequestRate) {
        if rate != self.rate {
            let fresh = Self::new(now, rate);
            let due = self.due.max(now.before(fresh.savable())).min(fresh.due);
            let is_sender = self.rate > RequestRate::ZERO;
            *self = if is_sender { Self { rate, due } } else { fresh };
        }
    }

    /// When the next request may be sent; `None` if never.
    #[must_use]
    pub fn next_start(&self) -> Option<Moment> {
        (self.rate > RequestRate::ZERO).then_some(self.due)
    }

    /// Records a request, whether or not it was allowed.
    pub fn record_start(&mut self, now: Moment) {
        let Some(interval) = self.rate.interval() else {
            return;
        };
        self.due = self.due.max(now.before(self.savable())) + interval;
    }

    /// The time without requests that is saved up at most.
    fn savable(&self) -> Duration {
        let interval = self.rate.interval().unwrap_or_default();
        interval * (BURST - 1)
    }
}
