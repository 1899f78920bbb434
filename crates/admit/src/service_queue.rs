//! The calls of one service at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;

use crate::admission::Request;
use crate::admission::Ticket;
use crate::limit::Limit;
use crate::limit::Mode;
use crate::wait_estimator::Drain;

/// What the catalogue says of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Its class.
    pub class: Class,
    /// Most calls that run at this gateway.
    pub concurrency: u32,
    /// Most calls that wait at this gateway.
    pub queue: u32,
    /// Slots of the service's ready instances, divided by the gateways; 0 when unknown.
    pub slots: u32,
}

/// How a started call ended, as far as admission needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// With an answer of an upstream.
    Answered,
    /// An upstream shed it, and it was given up; sheds that a retry made good are
    /// told by [`Admission::shed`](crate::admission::Admission::shed).
    Shed,
    /// Without an answer.
    Failed,
    /// The caller went away.
    Cancelled,
}

/// A call that waits: its arrival decides how much of its time a start must leave.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    arrived: Moment,
}

/// Running calls, queue and pace of one service.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    terms: ServiceConfig,
    limit: Limit,
    drain: Drain,
    running: u32,
    queue: BTreeMap<(Moment, Ticket), QueuedCall>,
    // The service left the catalogue; the lane stays until its last call ends, so
    // that a service which comes back still counts them.
    removed: bool,
}

impl ServiceQueue {
    pub(crate) fn new(mode: Mode, terms: ServiceConfig) -> Self {
        Self {
            terms,
            limit: Limit::new(mode, terms.concurrency, terms.slots),
            drain: Drain::default(),
            running: 0,
            queue: BTreeMap::new(),
            removed: false,
        }
    }

    pub(crate) fn set_terms(&mut self, terms: ServiceConfig) {
        self.terms = terms;
        self.limit.set_most(terms.concurrency);
        self.limit.set_slots(terms.slots);
        self.removed = false;
    }

    pub(crate) fn remove(&mut self) {
        self.removed = true;
    }

    /// Whether the service left the catalogue.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    pub(crate) fn is_over(&self) -> bool {
        self.removed && self.running == 0
    }

    /// The class of the service.
    #[must_use]
    pub fn class(&self) -> Class {
        self.terms.class
    }

    /// Calls that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The adaptive bound on running calls.
    #[must_use]
    pub fn bound(&self) -> f64 {
        self.limit.bound()
    }

    /// Whether the lane's own limits let a call start now.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.limit.has_room(self.running)
    }

    /// Whether the queue can't take one more.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.queue.len() >= usize::try_from(self.terms.queue).unwrap_or(usize::MAX)
    }

    /// Whether `request` could start in time behind those with earlier deadlines.
    #[must_use]
    pub fn fits(&self, request: &Request, now: Moment) -> bool {
        let ahead = self
            .queue
            .range(..(request.deadline, request.ticket))
            .count();
        let wait = self.drain.wait(ahead, self.running, now);
        let need = self.need(request.deadline.since(now));
        now + wait + need <= request.deadline
    }

    /// When a refused caller may come back: once those that wait now have started.
    #[must_use]
    pub fn retry_after(&self, now: Moment) -> Duration {
        self.drain.wait(self.queue.len(), self.running, now)
    }

    /// The earliest deadline in the queue.
    #[must_use]
    pub fn first(&self) -> Option<Moment> {
        self.queue.keys().next().map(|(deadline, _)| *deadline)
    }

    /// When the first queued call can no longer be answered in time.
    #[must_use]
    pub fn expiry(&self) -> Option<Moment> {
        let ((deadline, _), waiting) = self.queue.first_key_value()?;
        let span = deadline.since(waiting.arrived);
        Some(deadline.before(self.need(span)))
    }

    pub(crate) fn push(&mut self, request: &Request, now: Moment) {
        if self.queue.is_empty() {
            self.drain.begin(now);
        }
        let key = (request.deadline, request.ticket);
        self.queue.insert(key, QueuedCall { arrived: now });
    }

    pub(crate) fn pop(&mut self, now: Moment) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_first()?;
        self.drain.started(now);
        self.start();
        self.settle_drain();
        Some(ticket)
    }

    pub(crate) fn start(&mut self) {
        self.running += 1;
        self.limit.started();
    }

    pub(crate) fn take(&mut self, deadline: Moment, ticket: Ticket) -> bool {
        let found = self.queue.remove(&(deadline, ticket)).is_some();
        self.settle_drain();
        found
    }

    pub(crate) fn take_first(&mut self) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_first()?;
        self.settle_drain();
        Some(ticket)
    }

    pub(crate) fn take_last(&mut self) -> Option<Ticket> {
        let ((_, ticket), _) = self.queue.pop_last()?;
        self.settle_drain();
        Some(ticket)
    }

    pub(crate) fn last(&self) -> Option<Moment> {
        self.queue.keys().next_back().map(|(deadline, _)| *deadline)
    }

    pub(crate) fn finish(&mut self, finish: Finish, span: Duration, now: Moment) {
        // Whether the bound held others back is asked before this call makes room.
        let was_full = !self.has_room();
        self.running = self.running.saturating_sub(1);
        match finish {
            Finish::Answered => {
                self.drain.answered(span);
                self.limit.answered(span, was_full, now);
            }
            Finish::Shed => self.shed(now),
            Finish::Failed | Finish::Cancelled => {}
        }
    }

    pub(crate) fn shed(&mut self, now: Moment) {
        self.limit.shed(now);
    }

    // Time a call takes, but never over half of the `span` that its caller gave: an
    // estimate that grew too large must not refuse everything and so stay large.
    fn need(&self, span: Duration) -> Duration {
        self.drain.need().min(span / 2)
    }

    fn settle_drain(&mut self) {
        if self.queue.is_empty() {
            self.drain.end();
        }
    }
}
