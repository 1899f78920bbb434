//! One process's share of the probes that a service's instances may get, spent
//! on whichever instance is worth asking.
//!
//! The share is the budget of one instance a second, times the instances, parted
//! equally among the processes. It starts empty and saves up a second of it, so
//! that in `T` seconds all processes together send each instance at most
//! `budget * (T + 1)` on average.

use std::time::Duration;

use base::prelude::*;

/// What is saved up at most.
const SAVED: Duration = Duration::from_secs(1);

/// Probes that may be sent.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Probes a second.
    rate: f64,
    saved: f64,
    filled: Moment,
}

impl Allowance {
    /// Nothing yet.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            saved: 0.0,
            filled: now,
        }
    }

    /// Takes another share over: `budget` probes of one instance a second,
    /// `instances` of them, and `processes` that share.
    pub fn set(&mut self, now: Moment, budget: u32, instances: usize, processes: u32) {
        self.fill(now);
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.rate = f64::from(budget) * f64::from(instances) / f64::from(processes.max(1));
        self.saved = self.saved.min(self.most());
    }

    /// Takes up to `count` probes, and gives how many may be sent.
    pub fn take(&mut self, now: Moment, count: usize) -> usize {
        self.fill(now);
        let mut taken = 0;
        while taken < count && self.saved >= 1.0 {
            self.saved -= 1.0;
            taken += 1;
        }
        taken
    }

    fn most(&self) -> f64 {
        (self.rate * SAVED.as_secs_f64()).max(1.0)
    }

    fn fill(&mut self, now: Moment) {
        self.saved += now.since(self.filled).as_secs_f64() * self.rate;
        self.saved = self.saved.min(self.most());
        self.filled = now;
    }
}
