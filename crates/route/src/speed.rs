//! How long an instance works on one request, from latencies.
//!
//! A latency holds the wait for a slot too. It is divided by the requests that
//! each slot had before it, so that a busy instance doesn't look slow. An old
//! estimate fades into the service's usual one, so that an instance which was
//! slow is tried again.

use std::time::Duration;

use base::prelude::Moment;

use crate::fade::fade;

/// Most samples that an estimate remembers.
const MEMORY: f64 = 8.0;
/// Samples that the service's usual work time counts for.
const PRIOR: f64 = 4.0;
/// Age at which an estimate has half of its weight.
const HALF: Duration = Duration::from_secs(1);

/// The work time of one instance, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    secs: f64,
    weight: f64,
    at: Moment,
}

impl Speed {
    /// Takes a sample of the work time.
    pub(crate) fn observe(&mut self, now: Moment, secs: f64) {
        self.weight = (self.weight(now) + 1.0).min(MEMORY);
        self.secs += (secs - self.secs) / self.weight;
        self.at = now;
    }

    /// The estimate, where `usual` is that of the whole service.
    pub(crate) fn estimate(&self, now: Moment, usual: f64) -> f64 {
        let weight = self.weight(now);
        (self.secs * weight + usual * PRIOR) / (weight + PRIOR)
    }

    fn weight(&self, now: Moment) -> f64 {
        self.weight * fade(now.since(self.at), HALF)
    }
}

/// The work time in a latency, when the instance has `load` requests on `slots`.
pub(crate) fn work(latency: Duration, load: f64, slots: u32) -> f64 {
    latency.as_secs_f64() / (load / f64::from(slots.max(1))).max(1.0)
}
