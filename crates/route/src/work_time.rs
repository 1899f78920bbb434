//! Estimates an instance's work time per request from latencies.
//!
//! A latency includes queueing. It is divided by the number of requests per slot,
//! so that a busy instance doesn't look slow. As an estimate ages it decays
//! towards the service's average, so that an instance that was slow receives
//! requests again.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;

/// Maximum weight of an estimate, in samples.
const MAX_WEIGHT: f64 = 8.0;
/// Weight of the service's average, in samples.
const PRIOR_WEIGHT: f64 = 4.0;
/// Age at which an estimate has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Estimate for one instance, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkTime {
    secs: f64,
    weight: f64,
    updated_at: Moment,
}

impl WorkTime {
    pub(crate) fn observe(&mut self, now: Moment, secs: f64) {
        self.weight = (self.weight(now) + 1.0).min(MAX_WEIGHT);
        self.secs += (secs - self.secs) / self.weight;
        self.updated_at = now;
    }

    /// The estimate, where `average` is that of the whole service.
    pub(crate) fn estimate(&self, now: Moment, average: f64) -> f64 {
        let weight = self.weight(now);
        (self.secs * weight + average * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    fn weight(&self, now: Moment) -> f64 {
        self.weight * decay(now.since(self.updated_at), HALF_LIFE)
    }
}

/// Work time of a request with this latency at an instance with `load` requests on `slots`.
pub(crate) fn from_latency(latency: Duration, load: f64, slots: u32) -> f64 {
    latency.as_secs_f64() / (load / f64::from(slots.max(1))).max(1.0)
}
