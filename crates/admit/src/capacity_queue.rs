//! The requests that wait for the slots of one service, and the times told to refused ones.

use std::time::Duration;

use base::prelude::*;

use crate::fair_queue::FairQueue;
use crate::fair_queue::Waiting;
use crate::return_schedule::ReturnSchedule;
use crate::slot_rate::SlotRate;

/// How long a service counts as overloaded after the last request that couldn't be served in time.
const OVERLOAD_PERIOD: Duration = Duration::from_secs(1);

/// The state of a queue, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueState {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Slots that become free per second, if known.
    pub slots_per_second: Option<f64>,
    /// Whether a request couldn't be served in time recently.
    pub is_overloaded: bool,
}

/// A [`FairQueue`] that knows how fast slots become free.
#[derive(Debug)]
pub struct CapacityQueue<T> {
    queue: FairQueue<T>,
    rate: SlotRate,
    schedule: ReturnSchedule,
    overload_end: Moment,
}

impl<T> CapacityQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            queue: FairQueue::default(),
            rate: SlotRate::new(now),
            schedule: ReturnSchedule::default(),
            overload_end: now,
        }
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Moment) {
        self.rate.start(now);
    }

    /// Records the end of an attempt; `worked` is whether it occupied a slot until then.
    pub fn end(&mut self, now: Moment, worked: bool) {
        self.rate.end(now, worked);
    }

    /// Queues a request.
    pub fn push(&mut self, now: Moment, waiting: Waiting, value: T) {
        self.queue.push(now, waiting, value);
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        self.queue.pop(now)
    }

    /// Records a request that was served without waiting; see [`FairQueue::charge`].
    pub fn charge(&mut self, now: Moment, waiting: &Waiting) {
        self.queue.charge(now, waiting);
    }

    /// Whether a free slot is due to a waiting request rather than to this one.
    #[must_use]
    pub fn goes_first(&self, now: Moment, waiting: &Waiting) -> bool {
        self.queue.goes_first(now, waiting)
    }

    /// Removes the requests that can't be served in time any more; none as long as the rate of
    /// free slots is unknown.
    pub fn take_hopeless(&mut self, now: Moment) -> Vec<T> {
        let Some(rate) = self.rate.per_second(now) else {
            return Vec::new();
        };
        let mut hopeless = self.queue.take_hopeless(now, rate);
        if !hopeless.is_empty() {
            self.overload_end = now + OVERLOAD_PERIOD;
        }
        if now < self.overload_end {
            hopeless.append(&mut self.queue.take_overtaken(now, rate));
        }
        hopeless
    }

    /// The time after which a refused request with the `remaining` time may come back; `None` if
    /// the rate of free slots is unknown.
    pub fn return_time(&mut self, now: Moment, remaining: Duration) -> Option<Duration> {
        let rate = self.rate.per_second(now)?;
        let ahead = self.queue.len(now);
        Some(self.schedule.assign(now, rate, ahead, remaining))
    }

    /// The current state.
    #[must_use]
    pub fn state(&self, now: Moment) -> QueueState {
        QueueState {
            waiting: self.queue.len(now),
            slots_per_second: self.rate.per_second(now),
            is_overloaded: now < self.overload_end,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self, now: Moment) -> usize {
        self.queue.len(now)
    }

    /// Whether nothing waits. Requests past their deadline count until they are dropped.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
