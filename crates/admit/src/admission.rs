//! The state machine of a gateway's admission.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;

use crate::class_scheduler;
use crate::class_scheduler::ORDER;
use crate::class_scheduler::Shares;
use crate::limit::Mode;
use crate::refusal::Refusal;
use crate::refusal::Refused;
use crate::service_queue::Finish;
use crate::service_queue::ServiceConfig;
use crate::service_queue::ServiceQueue;

/// Names one call at this gateway; the adapter counts up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Bounds of the gateway itself, over all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most calls that run.
    pub concurrency: u32,
    /// Most calls that wait.
    pub queue: u32,
}

/// A call that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its name from here on.
    pub ticket: Ticket,
    /// The service it is for.
    pub service: ServiceName,
    /// When its caller stops waiting.
    pub deadline: Moment,
}

/// What becomes of a call at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It starts now.
    Started,
    /// It waits; an [`Action`] tells how that ends.
    Queued,
    /// It gets its final answer now.
    Refused(Refusal),
}

/// What becomes of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It starts now.
    Start(Ticket),
    /// It gets its final answer now.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Debug)]
struct Queued {
    service: ServiceName,
    deadline: Moment,
}

#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    started: Moment,
}

/// Admission of one gateway.
///
/// `running` holds exactly the calls started and not yet finished; the lanes'
/// counts sum to it. A ticket is never in both
/// `queued` and `running`.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: Settings,
    mode: Mode,
    lanes: BTreeMap<ServiceName, ServiceQueue>,
    shares: Shares,
    queued: HashMap<Ticket, Queued>,
    running: HashMap<Ticket, Running>,
    stopping: bool,
}

impl Admission {
    /// Admission without services.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self::with_mode(settings, Mode::default())
    }

    /// Admission without services, with adaptive or fixed bounds on their calls.
    #[must_use]
    pub fn with_mode(settings: Settings, mode: Mode) -> Self {
        Self {
            settings,
            mode,
            lanes: BTreeMap::new(),
            shares: Shares::default(),
            queued: HashMap::new(),
            running: HashMap::new(),
            stopping: false,
        }
    }

    /// Adds a service or changes its terms; calls already running stay.
    pub fn set_service(&mut self, service: &ServiceName, terms: ServiceConfig) {
        if let Some(service_queue) = self.lanes.get_mut(service) {
            service_queue.set_terms(terms);
            return;
        }
        self.lanes
            .insert(service.clone(), ServiceQueue::new(self.mode, terms));
    }

    /// Removes a service; calls of it that wait are refused, those that run go on.
    pub fn remove_service(&mut self, service: &ServiceName, out: &mut Vec<Action>) {
        let Some(service_queue) = self.lanes.get_mut(service) else {
            return;
        };
        service_queue.remove();
        while let Some(ticket) = service_queue.take_first() {
            self.queued.remove(&ticket);
            out.push(Action::Refuse(ticket, without_retry(Refused::Removed)));
        }
        self.forget(service);
    }

    /// Refuses new calls from now on; those admitted go on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Decides on a call that arrives; `out` gets what becomes of calls that waited.
    pub fn arrive(&mut self, request: &Request, now: Moment, out: &mut Vec<Action>) -> Arrival {
        if self.stopping {
            return Arrival::Refused(self.refusal(Refused::Stopping, None, now));
        }
        self.poll(now, out);
        let has_slot = self.has_slot();
        let known = self.lanes.get_mut(&request.service);
        let Some(service_queue) = known.filter(|service_queue| !service_queue.is_removed()) else {
            return Arrival::Refused(without_retry(Refused::UnknownService));
        };
        if request.deadline <= now {
            return self.refuse(Refused::Expired, &request.service, now);
        }
        if has_slot && service_queue.has_room() && service_queue.queued() == 0 {
            service_queue.start();
            self.run(request.ticket, request.service.clone(), now);
            return Arrival::Started;
        }
        if !service_queue.fits(request, now) {
            return self.refuse(Refused::Overloaded, &request.service, now);
        }
        if service_queue.is_full() || !self.make_place(&request.service, now, out) {
            return self.refuse(Refused::QueueFull, &request.service, now);
        }
        self.enqueue(request, now);
        Arrival::Queued
    }

    /// The caller of a waiting call went away; a running one ends by [`Self::finish`].
    pub fn cancel_queued(&mut self, ticket: Ticket) {
        if let Some(queued) = self.queued.remove(&ticket)
            && let Some(service_queue) = self.lanes.get_mut(&queued.service)
        {
            service_queue.take(queued.deadline, ticket);
        }
    }

    /// A started call ended; what waits may start in its place.
    pub fn finish(&mut self, ticket: Ticket, finish: Finish, now: Moment, out: &mut Vec<Action>) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        if let Some(service_queue) = self.lanes.get_mut(&running.service) {
            service_queue.finish(finish, now.since(running.started), now);
        }
        self.forget(&running.service);
        self.poll(now, out);
    }

    /// An upstream shed an attempt of a call that goes on.
    pub fn shed(&mut self, service: &ServiceName, now: Moment) {
        if let Some(service_queue) = self.lanes.get_mut(service) {
            service_queue.shed(now);
        }
    }

    /// Refuses what can no longer be answered in time, and starts what has room.
    pub fn poll(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.expire(now, out);
        while self.has_slot() && self.start_next(now, out) {}
    }

    /// When [`Self::poll`] is wanted at the latest; none when nothing waits.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.lanes.values().filter_map(ServiceQueue::expiry).min()
    }

    /// The lane of a service, for the operators' view.
    #[must_use]
    pub fn service_queue(&self, service: &ServiceName) -> Option<&ServiceQueue> {
        self.lanes.get(service)
    }

    /// Whether calls of the service wait, so that hedges would only add load.
    #[must_use]
    pub fn is_backlogged(&self, service: &ServiceName) -> bool {
        self.service_queue(service)
            .is_some_and(|service_queue| service_queue.queued() > 0)
    }

    /// When a caller refused now may come back, for refusals that others decide.
    #[must_use]
    pub fn retry_after(&self, service: &ServiceName, now: Moment) -> Duration {
        let wait = self
            .service_queue(service)
            .map(|service_queue| service_queue.retry_after(now));
        wait.unwrap_or_default()
    }

    /// Calls that run, over all services.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Calls that wait, over all services.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    fn forget(&mut self, service: &ServiceName) {
        if self
            .service_queue(service)
            .is_some_and(ServiceQueue::is_over)
        {
            self.lanes.remove(service);
        }
    }

    fn has_slot(&self) -> bool {
        self.running.len() < to_usize(self.settings.concurrency)
    }

    fn enqueue(&mut self, request: &Request, now: Moment) {
        if let Some(service_queue) = self.lanes.get_mut(&request.service) {
            service_queue.push(request, now);
        }
        let queued = Queued {
            service: request.service.clone(),
            deadline: request.deadline,
        };
        self.queued.insert(request.ticket, queued);
    }

    fn run(&mut self, ticket: Ticket, service: ServiceName, now: Moment) {
        let started = now;
        self.running.insert(ticket, Running { service, started });
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<Action>) {
        for service_queue in self.lanes.values_mut() {
            while service_queue.expiry().is_some_and(|at| at <= now) {
                let retry_after = Some(service_queue.retry_after(now));
                let Some(ticket) = service_queue.take_first() else {
                    break;
                };
                self.queued.remove(&ticket);
                let reason = Refused::Expired;
                let refusal = Refusal {
                    reason,
                    retry_after,
                };
                out.push(Action::Refuse(ticket, refusal));
            }
        }
    }

    fn start_next(&mut self, now: Moment, out: &mut Vec<Action>) -> bool {
        let mut waiting = [false; ORDER.len()];
        for service_queue in self.lanes.values() {
            waiting[class_scheduler::rank(service_queue.class())] |= can_start(service_queue);
        }
        let Some(class) = self.shares.pick(waiting) else {
            return false;
        };
        let next = self
            .lanes
            .iter_mut()
            .filter(|(_, service_queue)| service_queue.class() == class && can_start(service_queue))
            .min_by_key(|(_, service_queue)| service_queue.first());
        let Some((service, service_queue)) = next else {
            return false;
        };
        let Some(ticket) = service_queue.pop(now) else {
            return false;
        };
        let service = service.clone();
        self.queued.remove(&ticket);
        self.run(ticket, service, now);
        out.push(Action::Start(ticket));
        true
    }

    // Room in the gateway's queue, by refusing a call of the lowest class below this
    // one that holds more than its share of the queue.
    fn make_place(&mut self, service: &ServiceName, now: Moment, out: &mut Vec<Action>) -> bool {
        if self.queued.len() < to_usize(self.settings.queue) {
            return true;
        }
        let Some(class) = self.service_queue(service).map(ServiceQueue::class) else {
            return false;
        };
        let lower = &ORDER[class_scheduler::rank(class) + 1..];
        let yields = lower.iter().rev().find(|class| self.may_yield(**class));
        let Some(yields) = yields.copied() else {
            return false;
        };
        let last = self
            .lanes
            .values_mut()
            .filter(|service_queue| service_queue.class() == yields && service_queue.queued() > 0)
            .max_by_key(|service_queue| service_queue.last());
        let Some(service_queue) = last else {
            return false;
        };
        let retry_after = Some(service_queue.retry_after(now));
        let Some(ticket) = service_queue.take_last() else {
            return false;
        };
        self.queued.remove(&ticket);
        let reason = Refused::Yielded;
        let refusal = Refusal {
            reason,
            retry_after,
        };
        out.push(Action::Refuse(ticket, refusal));
        true
    }

    fn may_yield(&self, class: Class) -> bool {
        let lanes = self
            .lanes
            .values()
            .filter(|service_queue| service_queue.class() == class);
        let held: usize = lanes.map(ServiceQueue::queued).sum();
        let share = self.settings.queue * class_scheduler::percent(class) / 100;
        held > to_usize(share.max(1))
    }

    fn refuse(&self, reason: Refused, service: &ServiceName, now: Moment) -> Arrival {
        Arrival::Refused(self.refusal(reason, Some(service), now))
    }

    fn refusal(&self, reason: Refused, service: Option<&ServiceName>, now: Moment) -> Refusal {
        let wait = service.map(|service| self.retry_after(service, now));
        Refusal {
            reason,
            retry_after: Some(wait.unwrap_or_default()),
        }
    }
}

fn can_start(service_queue: &ServiceQueue) -> bool {
    service_queue.queued() > 0 && service_queue.has_room()
}

fn without_retry(reason: Refused) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
