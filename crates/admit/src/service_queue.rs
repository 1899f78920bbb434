//! The running and queued calls of one service at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;

use crate::admission::Request;
use crate::admission::Ticket;
use crate::limit::ConcurrencyLimit;
use crate::limit::Mode;
use crate::wait_estimator::WaitEstimator;

/// The class and limits of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Class of the service.
    pub class: Class,
    /// Maximum number of running calls at this gateway.
    pub concurrency: u32,
    /// Maximum number of queued calls at this gateway.
    pub queue: u32,
    /// This gateway's share of the slots of the service's ready instances; 0 when unknown.
    pub slots: u32,
}

/// How a started call ended, as far as admission needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// An upstream answered.
    Answered,
    /// An upstream shed the call and it was not retried. Sheds of calls that continue go to
    /// [`Admission::shed`](crate::admission::Admission::shed).
    Shed,
    /// No upstream answered.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    arrived_at: Moment,
}

/// Admission state of one service: its running calls, its queue ordered by deadline, and
/// its wait estimates.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    config: ServiceConfig,
    limit: ConcurrencyLimit,
    estimator: WaitEstimator,
    running: u32,
    queue: BTreeMap<(Moment, Ticket), QueuedCall>,
    // The service was removed from the catalogue. Its state is kept until the last running
    // call ends, so that these calls still count if the service is added again.
    removed: bool,
}

impl ServiceQueue {
    pub(crate) fn new(mode: Mode, config: ServiceConfig) -> Self {
        Self {
            config,
            limit: ConcurrencyLimit::new(mode, config.concurrency, config.slots),
            estimator: WaitEstimator::default(),
            running: 0,
            queue: BTreeMap::new(),
            removed: false,
        }
    }

    pub(crate) fn set_config(&mut self, config: ServiceConfig) {
        self.config = config;
        self.limit.set_max(config.concurrency);
        self.limit.set_slots(config.slots);
        self.removed = false;
    }

    pub(crate) fn mark_removed(&mut self) {
        self.removed = true;
    }

    /// Whether the service was removed from the catalogue.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    pub(crate) fn is_drained(&self) -> bool {
        self.removed && self.running == 0
    }

    /// Class of the service.
    #[must_use]
    pub fn class(&self) -> Class {
        self.config.class
    }

    /// Number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued calls.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The current limit on running calls.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit.current()
    }

    /// Whether the service's own limits let a call start now.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.limit.has_room(self.running)
    }

    /// Whether the queue has reached its maximum length.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.queue.len() >= usize::try_from(self.config.queue).unwrap_or(usize::MAX)
    }

    /// Whether `request` is expected to be answered by its deadline if it is queued behind
    /// the calls with earlier deadlines.
    #[must_use]
    pub fn can_meet_deadline(&self, request: &Request, now: Moment) -> bool {
        let ahead = self
            .queue
            .range(..(request.deadline, request.ticket))
            .count();
        let wait = self.estimator.expected_wait(ahead, self.running, now);
        let duration = self.expected_duration(request.deadline.since(now));
        now + wait + duration <= request.deadline
    }

    /// Time until the calls queued now are expected to have started; a caller refused now may
    /// retry after it.
    #[must_use]
    pub fn retry_after(&self, now: Moment) -> Duration {
        self.estimator
            .expected_wait(self.queue.len(), self.running, now)
    }

    /// Earliest deadline of the queued calls.
    #[must_use]
    pub fn earliest_deadline(&self) -> Option<Moment> {
        self.queue.keys().next().map(|(deadline, _)| *deadline)
    }

    /// When the first queued call can no longer be answered by its deadline.
    #[must_use]
    pub fn expiry(&self) -> Option<Moment> {
        let ((deadline, _), queued) = self.queue.first_key_value()?;
        let allowed = deadline.since(queued.arrived_at);
        Some(deadline.before(self.expected_duration(allowed)))
    }

    pub(crate) fn push(&mut self, request: &Request, now: Moment) {
        if self.queue.is_empty() {
            self.estimator.queue_became_nonempty(now);
        }
        let key = (request.deadline, request.ticket);
        self.queue.insert(key, QueuedCall { arrived_at: now });
    }

    pub(crate) fn start_first(&mut self, now: Moment) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_first()?;
        self.estimator.record_start(now);
        self.start();
        self.update_estimator();
        Some(ticket)
    }

    pub(crate) fn start(&mut self) {
        self.running += 1;
        self.limit.record_start();
    }

    pub(crate) fn remove_queued(&mut self, deadline: Moment, ticket: Ticket) -> bool {
        let found = self.queue.remove(&(deadline, ticket)).is_some();
        self.update_estimator();
        found
    }

    pub(crate) fn take_first(&mut self) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_first()?;
        self.update_estimator();
        Some(ticket)
    }

    pub(crate) fn take_last(&mut self) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_last()?;
        self.update_estimator();
        Some(ticket)
    }

    pub(crate) fn latest_deadline(&self) -> Option<Moment> {
        self.queue.keys().next_back().map(|(deadline, _)| *deadline)
    }

    pub(crate) fn finish(&mut self, finish: Finish, elapsed: Duration, now: Moment) {
        // Read before this call leaves: whether the limit was reached while it ran.
        let was_full = !self.has_room();
        self.running = self.running.saturating_sub(1);
        match finish {
            Finish::Answered => {
                self.estimator.record_answer(elapsed);
                self.limit.record_answer(elapsed, was_full, now);
            }
            Finish::Shed => self.shed(now),
            Finish::Failed | Finish::Cancelled => {}
        }
    }

    pub(crate) fn shed(&mut self, now: Moment) {
        self.limit.record_shed(now);
    }

    // Capped at half of the time that the caller allows: an estimate that grew too large
    // would otherwise refuse every call and never be corrected.
    fn expected_duration(&self, allowed: Duration) -> Duration {
        self.estimator.expected_duration().min(allowed / 2)
    }

    fn update_estimator(&mut self) {
        if self.queue.is_empty() {
            self.estimator.queue_became_empty();
        }
    }
}
