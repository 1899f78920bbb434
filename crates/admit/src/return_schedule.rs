//! The times at which refused requests are told to come back.

use std::time::Duration;

use base::prelude::*;

/// Share of the free slots that is promised to requests told to come back. New requests get the
/// rest, as they are more likely to be answered in time.
const RETURN_SHARE: f64 = 0.1;
/// Share of its remaining time for which a caller waits at most before it comes back.
const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// Lower bound of a time to come back.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of a time to come back.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Assigns to each refused request a time of its own, so that not all come back at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// When the next refused request may come back.
    next: Moment,
}

impl ReturnSchedule {
    /// The time after which a request with the `remaining` time may come back, while `rate` slots
    /// become free per second and `ahead` requests wait.
    ///
    /// A caller that is told more than it waits for comes back earlier, whatever it is told; no
    /// slot is set aside for it.
    pub fn assign(
        &mut self,
        now: Moment,
        rate: f64,
        ahead: usize,
        remaining: Duration,
    ) -> Duration {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let drained = after(ahead / rate);
        let delay = self.next.since(now).max(drained).max(MIN_DELAY);
        if delay <= remaining.mul_f64(HONOURED_SHARE) {
            self.next = now + delay + after(1.0 / (rate * RETURN_SHARE));
        }
        delay.min(MAX_DELAY)
    }
}

fn after(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DELAY)
}
