//! Moving averages of work time and transfer size of one route's requests.

use std::time::Duration;

use attempt::Distribution;
use attempt::silence::Limits;
use attempt::stop::RecentTimes;
use base::prelude::*;
use route::ScoredChoice;

use crate::remaining::RemainingTime;

/// Weight of one response in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Ratio of the latency target to the work time, assumed before the first response.
const INITIAL_AIM_RATIO: f64 = 2.7;
/// Work time in seconds, assumed before the first response of a route without a target.
const INITIAL_WORK: f64 = 0.1;
/// Size of both bodies, assumed before the first response.
const INITIAL_BYTES: f64 = 2_000.0;
/// Size of both heads, added to that of the bodies.
const HEAD_BYTES: f64 = 600.0;
/// Upper bound of a sample, as a multiple of the average, so that stalls don't count as
/// work.
const MAX_SAMPLE_RATIO: f64 = 3.0;
/// Number of bytes to which the crossing price applies.
const MEGABYTE: f64 = 1e6;

/// Statistics of one route.
#[derive(Clone, Debug)]
pub struct RouteStats {
    work: f64,
    bytes: f64,
    timeout: Option<Duration>,
    caller_times: RemainingTime,
    /// Times until the heads of successful responses.
    distribution: Distribution,
    /// Times until the ends of successful responses.
    recent: RecentTimes,
}

impl RouteStats {
    /// Estimates the statistics from the route's latency target and timeout.
    #[must_use]
    pub fn initial(aim: Option<Duration>, timeout: Option<Duration>) -> Self {
        Self {
            work: aim.map_or(INITIAL_WORK, |aim| aim.as_secs_f64() / INITIAL_AIM_RATIO),
            bytes: INITIAL_BYTES,
            timeout,
            caller_times: RemainingTime::default(),
            distribution: Distribution::default(),
            recent: RecentTimes::default(),
        }
    }

    /// Average work time.
    #[must_use]
    pub fn work_time(&self) -> Duration {
        Duration::from_secs_f64(self.work)
    }

    /// The longest response time of the recent requests, estimated from the average before the first
    /// response.
    #[must_use]
    pub fn longest_time(&self) -> Duration {
        self.recent.longest().unwrap_or_else(|| self.work_time())
    }

    /// Cost of transferring a request and its response between failure domains, as a fraction of
    /// the request's worth; `price` is the cost of a megabyte.
    #[must_use]
    pub fn crossing_cost(&self, price: f64) -> f64 {
        (self.bytes + HEAD_BYTES) / MEGABYTE * price
    }

    /// How much of its timeout a caller with `remaining` time had spent before it sent the request
    /// here; records the caller.
    pub fn spent(&mut self, now: Moment, remaining: Duration) -> Duration {
        let spent = self.caller_times.spent(remaining);
        self.caller_times.learn(now, remaining, self.timeout);
        spent
    }

    /// Records the time until the head of a successful response.
    pub fn record_head(&mut self, latency: Duration, choice: &ScoredChoice) {
        self.distribution.record(latency, choice.expected);
    }

    /// When an attempt that is expected to take `expected` is checked and abandoned.
    #[must_use]
    pub fn silence_limits(&self, expected: Duration) -> Limits {
        Limits::new(expected, &self.distribution)
    }

    /// Records the response time of a request that another process has relayed, whose instance isn't
    /// known here.
    pub fn record_relayed(&mut self, latency: Duration) {
        self.recent.record(latency);
    }

    /// Records the latency of a response. The expected slowdown of the instance is taken out.
    pub fn record_response(&mut self, latency: Duration, choice: &ScoredChoice, bytes: u64) {
        self.recent.record(latency);
        let slowdown = choice.expected.as_secs_f64() / self.work.max(1e-4);
        let sample = latency.as_secs_f64() / slowdown.max(0.1);
        self.work += (sample.min(self.work * MAX_SAMPLE_RATIO) - self.work) * SAMPLE_WEIGHT;
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.bytes += (bytes - self.bytes) * SAMPLE_WEIGHT;
    }
}
