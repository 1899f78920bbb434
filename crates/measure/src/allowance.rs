//! One process's share of the probe budget of a service, over all of its instances.
//!
//! The rate is the budget of one instance, times the number of instances, divided by the number
//! of processes. The allowance starts empty and saves up to one second of its rate, so that in
//! `T` seconds all processes together send each instance at most `budget * (T + 1)` probes on
//! average.

use std::time::Duration;

use base::prelude::*;

// Maximum time for which unused probes are saved.
const MAX_SAVED: Duration = Duration::from_secs(1);

/// A rate limit on probes.
#[derive(Clone, Debug)]
pub struct Allowance {
    // Probes per second.
    rate: f64,
    saved: f64,
    filled_at: Moment,
}

impl Allowance {
    /// Creates an empty allowance with a rate of zero.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            saved: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate. `budget` is the maximum number of probes per second and instance.
    pub fn set(&mut self, now: Moment, budget: u32, instances: usize, processes: u32) {
        self.fill(now);
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.rate = f64::from(budget) * f64::from(instances) / f64::from(processes.max(1));
        self.saved = self.saved.min(self.max_saved());
    }

    /// Probes per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes up to `count` probes and returns how many may be sent now.
    pub fn take(&mut self, now: Moment, count: usize) -> usize {
        self.fill(now);
        let mut taken = 0;
        while taken < count && self.saved >= 1.0 {
            self.saved -= 1.0;
            taken += 1;
        }
        taken
    }

    /// The share of the probes that can be saved which is saved now.
    pub fn saved_share(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.saved / self.max_saved()
    }

    fn max_saved(&self) -> f64 {
        (self.rate * MAX_SAVED.as_secs_f64()).max(1.0)
    }

    fn fill(&mut self, now: Moment) {
        self.saved += now.since(self.filled_at).as_secs_f64() * self.rate;
        self.saved = self.saved.min(self.max_saved());
        self.filled_at = now;
    }
}
