//! How fast a lane drains: time between starts from its queue, and time a call takes.

use std::time::Duration;

use base::prelude::*;

const WEIGHT: u32 = 8;
// Deviations above the mean that a prediction allows for, so that few admitted calls
// come too late.
const SPREADS: u32 = 2;
const DEVIATIONS: u32 = 4;

/// Measured pace of one lane.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    // Mean time between starts while calls waited.
    interval: Option<Duration>,
    // When the lane last started a waiting call, or calls began to wait.
    since: Option<Moment>,
    // Mean time and mean deviation of answered calls.
    mean: Option<Duration>,
    deviation: Duration,
}

impl Drain {
    /// Calls begin to wait.
    pub fn begin(&mut self, now: Moment) {
        self.since = Some(now);
    }

    /// No call waits any more.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// A waiting call was started.
    pub fn started(&mut self, now: Moment) {
        if let Some(since) = self.since.replace(now) {
            let sample = now.since(since);
            self.interval = Some(blend(self.interval, sample));
        }
    }

    /// A call was answered after `span`.
    pub fn answered(&mut self, span: Duration) {
        let mean = self.mean.unwrap_or(span);
        let apart = span.abs_diff(mean);
        self.deviation = blend(Some(self.deviation), apart);
        self.mean = Some(blend(self.mean, span));
    }

    /// Time after which a call behind `ahead` waiting ones has likely started, with `running`
    /// under way.
    ///
    /// A drain that has stopped counts for as long as it has stood still.
    #[must_use]
    pub fn wait(&self, ahead: usize, running: u32, now: Moment) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let guess = self.mean.unwrap_or_default() / running.max(1);
        let interval = self.interval.unwrap_or(guess);
        let stood = self.since.map_or(Duration::ZERO, |since| now.since(since));
        let first = interval
            .saturating_sub(stood)
            .max(stood.saturating_sub(interval));
        // Starts come unevenly: the sum of `ahead` intervals spreads with their root.
        let spread = interval.mul_f64(f64::from(ahead).sqrt()) * SPREADS;
        interval.saturating_mul(ahead) + first + spread
    }

    /// Time that a call takes once it is started, with room for its spread.
    #[must_use]
    pub fn need(&self) -> Duration {
        self.mean.unwrap_or_default() + self.deviation * DEVIATIONS
    }
}

fn blend(old: Option<Duration>, sample: Duration) -> Duration {
    old.map_or(sample, |old| (old * (WEIGHT - 1) + sample) / WEIGHT)
}
