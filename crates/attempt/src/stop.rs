//! Whether a process that stops can still pass a request on and deliver its response.
//!
//! A request that is passed on and cut off at the end of the grace period may have run, and its caller
//! learns nothing. One that is refused before it leaves has certainly not run, and can be sent
//! elsewhere at once.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

/// Number of recent response times that are remembered. Their longest exceeds all but one or two in
/// a hundred of the following ones.
const MAX_SAMPLES: usize = 64;
/// Time for a response to get from its instance to the caller.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// The recent response times of a service.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes(VecDeque<Duration>);

impl RecentTimes {
    /// Records the time from sending a request to the end of its response.
    pub fn record(&mut self, time: Duration) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(time);
    }

    /// The longest time; `None` before the first response.
    #[must_use]
    pub fn longest(&self) -> Option<Duration> {
        self.0.iter().max().copied()
    }
}

/// The time that a process has left for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    end: Moment,
}

impl Grace {
    /// All responses have to be on their way to the callers at `end`.
    #[must_use]
    pub fn until(end: Moment) -> Self {
        Self { end }
    }

    /// When the process ends what is still open.
    #[must_use]
    pub fn end(self) -> Moment {
        self.end
    }

    /// When a request that takes `time` may be passed on at the latest. One whose caller waits only
    /// until `deadline` ends by then whatever its instance does, so that it may be at any time before.
    #[must_use]
    pub fn latest_start(self, time: Duration, deadline: Moment) -> Moment {
        if deadline + DELIVERY_TIME <= self.end {
            return deadline;
        }
        self.end.before(time + DELIVERY_TIME)
    }
}
