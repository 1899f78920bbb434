//! The rate at which the slots of a service become free.

use std::time::Duration;

use base::prelude::*;

/// Time constant of the averages. Paces of instances change about every 300 ms; an average over
/// several of these periods doesn't follow each.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Weight of finished attempts below which the rate counts as unknown.
const MIN_FINISHED: f64 = 3.0;

/// Estimates the rate from the attempts that a process has started and that have ended.
///
/// The count of recent ends alone is too low when a burst begins, as the attempts that it started
/// are still running. By Little's law, the attempts in flight end at their number divided by
/// their mean duration, which is known from calmer times.
#[derive(Clone, Copy, Debug)]
pub struct SlotRate {
    in_flight: u32,
    /// Decaying sums: ended attempts, attempts in flight times seconds, and seconds.
    finished: f64,
    occupied: f64,
    observed: f64,
    updated_at: Moment,
}

impl SlotRate {
    /// Starts without attempts.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            in_flight: 0,
            finished: 0.0,
            occupied: 0.0,
            observed: 0.0,
            updated_at: now,
        }
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Moment) {
        self.update(now);
        self.in_flight += 1;
    }

    /// Records the end of an attempt; `worked` is whether it occupied a slot until then.
    pub fn end(&mut self, now: Moment, worked: bool) {
        self.update(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished += f64::from(u8::from(worked));
    }

    /// Slots that become free per second; `None` after too few attempts.
    #[must_use]
    pub fn per_second(&self, now: Moment) -> Option<f64> {
        let mut current = *self;
        current.update(now);
        if current.finished < MIN_FINISHED {
            return None;
        }
        let seen = current.finished / current.observed;
        let expected = f64::from(current.in_flight) * current.finished / current.occupied;
        Some(if expected.is_finite() {
            seen.max(expected)
        } else {
            seen
        })
    }

    fn update(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let time_constant = TIME_CONSTANT.as_secs_f64();
        let decay = (-elapsed / time_constant).exp();
        // The integral of the decay over the elapsed time.
        let gained = time_constant * (1.0 - decay);
        self.finished *= decay;
        self.occupied = self.occupied * decay + f64::from(self.in_flight) * gained;
        self.observed = self.observed * decay + gained;
        self.updated_at = now;
    }
}
