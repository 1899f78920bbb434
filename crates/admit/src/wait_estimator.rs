//! Estimates of the queueing delay and the duration of a service's calls.

use std::time::Duration;

use base::prelude::*;

// Averages are exponentially weighted: a sample counts 1 / WEIGHT.
const WEIGHT: u32 = 8;
// Safety margins in deviations above the mean, so that few admitted calls miss their
// deadline.
const WAIT_DEVIATIONS: u32 = 2;
const DURATION_DEVIATIONS: u32 = 4;

/// Measures the times between starts and the durations of one service's calls.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    // Mean time between starts while calls were queued.
    interval: Option<Duration>,
    // When a queued call was last started or the queue became non-empty; none while it
    // is empty.
    last_start: Option<Moment>,
    // Mean and mean deviation of the durations of answered calls.
    mean: Option<Duration>,
    deviation: Duration,
}

impl WaitEstimator {
    /// Records that the queue became non-empty.
    pub fn queue_became_nonempty(&mut self, now: Moment) {
        self.last_start = Some(now);
    }

    /// Records that the queue became empty.
    pub fn queue_became_empty(&mut self) {
        self.last_start = None;
    }

    /// Records the start of a queued call.
    pub fn record_start(&mut self, now: Moment) {
        if let Some(last_start) = self.last_start.replace(now) {
            let sample = now.since(last_start);
            self.interval = Some(ewma(self.interval, sample));
        }
    }

    /// Records a call that was answered after `elapsed`.
    pub fn record_answer(&mut self, elapsed: Duration) {
        let mean = self.mean.unwrap_or(elapsed);
        let difference = elapsed.abs_diff(mean);
        self.deviation = ewma(Some(self.deviation), difference);
        self.mean = Some(ewma(self.mean, elapsed));
    }

    /// Expected queueing delay, with a margin, of a call behind `ahead` queued ones while
    /// `running` calls run.
    ///
    /// If no call has started for longer than the mean interval, the excess is added, so
    /// that a stalled service has a growing estimate.
    #[must_use]
    pub fn expected_wait(&self, ahead: usize, running: u32, now: Moment) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let guess = self.mean.unwrap_or_default() / running.max(1);
        let interval = self.interval.unwrap_or(guess);
        let idle = self
            .last_start
            .map_or(Duration::ZERO, |last_start| now.since(last_start));
        let first = interval
            .saturating_sub(idle)
            .max(idle.saturating_sub(interval));
        // The deviation of a sum of `ahead` intervals grows with the square root of `ahead`.
        let margin = interval.mul_f64(f64::from(ahead).sqrt()) * WAIT_DEVIATIONS;
        interval.saturating_mul(ahead) + first + margin
    }

    /// Expected duration of a call from its start to its answer, with a margin.
    #[must_use]
    pub fn expected_duration(&self) -> Duration {
        self.mean.unwrap_or_default() + self.deviation * DURATION_DEVIATIONS
    }
}

fn ewma(old: Option<Duration>, sample: Duration) -> Duration {
    old.map_or(sample, |old| (old * (WEIGHT - 1) + sample) / WEIGHT)
}
