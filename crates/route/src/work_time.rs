//! How long an instance works on one request, from latencies.
//!
//! A latency holds the wait for a slot too. It is divided by the requests that
//! each slot had before it, so that a busy instance doesn't look slow. An old
//! estimate fades into the service's usual one, so that an instance which was
//! slow is tried again.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;

/// Most samples that an estimate remembers.
const MAX_WEIGHT: f64 = 8.0;
/// Samples that the service's usual work time counts for.
const PRIOR_WEIGHT: f64 = 4.0;
/// Age at which an estimate has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The work time of one instance, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkTime {
    secs: f64,
    weight: f64,
    updated_at: Moment,
}

impl WorkTime {
    /// Takes a sample of the work time.
    pub(crate) fn observe(&mut self, now: Moment, secs: f64) {
        self.weight = (self.weight(now) + 1.0).min(MAX_WEIGHT);
        self.secs += (secs - self.secs) / self.weight;
        self.updated_at = now;
    }

    /// The estimate, where `usual` is that of the whole service.
    pub(crate) fn estimate(&self, now: Moment, average: f64) -> f64 {
        let weight = self.weight(now);
        (self.secs * weight + average * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    fn weight(&self, now: Moment) -> f64 {
        self.weight * decay(now.since(self.updated_at), HALF_LIFE)
    }
}

/// The work time in a latency, when the instance has `load` requests on `slots`.
pub(crate) fn from_latency(latency: Duration, load: f64, slots: u32) -> f64 {
    latency.as_secs_f64() / (load / f64::from(slots.max(1))).max(1.0)
}
