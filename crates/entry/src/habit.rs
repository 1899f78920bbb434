//! What is usual for the requests of one route: how long the work takes and how
//! many bytes move. A choice weighs both.

use std::time::Duration;

use base::prelude::*;
use route::ScoredChoice;

use crate::left::Left;

/// Weight of one answer in what is usual.
const WEIGHT: f64 = 0.05;
/// Usual times of work that an aim is taken for before the first answer.
const AIM_WORKS: f64 = 2.7;
/// Work that is assumed where a route has no aim, in seconds.
const FIRST_WORK: f64 = 0.1;
/// Bytes that are assumed before the first answer.
const FIRST_BYTES: f64 = 2_000.0;
/// Bytes of both heads, besides the bodies.
const HEAD_BYTES: f64 = 600.0;
/// Times the usual that one answer counts for at most, so that a stall doesn't
/// count as work.
const MOST_SAMPLE: f64 = 3.0;
/// Bytes in the unit that the price of crossing is set for.
const MEGABYTE: f64 = 1e6;

/// What is usual for one route.
#[derive(Clone, Debug)]
pub struct Habit {
    work: f64,
    bytes: f64,
    timeout: Option<Duration>,
    left: Left,
}

impl Habit {
    /// A guess from the route's aim and timeout.
    #[must_use]
    pub fn guess(aim: Option<Duration>, timeout: Option<Duration>) -> Self {
        Self {
            work: aim.map_or(FIRST_WORK, |aim| aim.as_secs_f64() / AIM_WORKS),
            bytes: FIRST_BYTES,
            timeout,
            left: Left::default(),
        }
    }

    /// Usual time of work.
    #[must_use]
    pub fn work(&self) -> Duration {
        Duration::from_secs_f64(self.work)
    }

    /// What a request's bytes between failure domains cost where a megabyte costs
    /// `price`, in the worth of a request.
    #[must_use]
    pub fn crossing(&self, price: f64) -> f64 {
        (self.bytes + HEAD_BYTES) / MEGABYTE * price
    }

    /// How much of its time a caller with `left` had spent before it came here.
    pub fn spent(&mut self, now: Moment, left: Duration) -> Duration {
        let spent = self.left.spent(left);
        self.left.learn(now, left, self.timeout);
        spent
    }

    /// Takes an answer that came after `latency` at an instance chosen so.
    pub fn learn(&mut self, latency: Duration, choice: &ScoredChoice, bytes: u64) {
        let slowdown = choice.expected.as_secs_f64() / self.work.max(1e-4);
        let sample = latency.as_secs_f64() / slowdown.max(0.1);
        self.work += (sample.min(self.work * MOST_SAMPLE) - self.work) * WEIGHT;
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.bytes += (bytes - self.bytes) * WEIGHT;
    }
}
