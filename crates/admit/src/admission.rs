//! The admission state machine of a gateway.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;

use crate::class_scheduler;
use crate::class_scheduler::ClassScheduler;
use crate::class_scheduler::ORDER;
use crate::limit::Mode;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::service_queue::Finish;
use crate::service_queue::ServiceConfig;
use crate::service_queue::ServiceQueue;

/// Identifies a call at this gateway. The caller of [`Admission`] assigns tickets by counting
/// up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Limits of the gateway, over all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of running calls.
    pub concurrency: u32,
    /// Maximum number of queued calls.
    pub queue: u32,
}

/// A call that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the call from now on.
    pub ticket: Ticket,
    /// The service that is called.
    pub service: ServiceName,
    /// When its caller stops waiting.
    pub deadline: Moment,
}

/// The decision on a call at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The call starts now.
    Started,
    /// The call is queued; an [`Action`] will start or refuse it.
    Queued,
    /// The call is refused now.
    Refused(Refusal),
}

/// The decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The call starts now.
    Start(Ticket),
    /// The call is refused now.
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
    started_at: Moment,
}

/// Admission control of one gateway.
///
/// `running` contains exactly the calls that were started and have not finished; its size is
/// the sum of the counts of the service queues. A ticket is never in both `queued` and
/// `running`.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: Settings,
    mode: Mode,
    services: BTreeMap<ServiceName, ServiceQueue>,
    scheduler: ClassScheduler,
    queued: HashMap<Ticket, Queued>,
    running: HashMap<Ticket, Running>,
    stopping: bool,
}

impl Admission {
    /// Creates an admission without services.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self::with_mode(settings, Mode::default())
    }

    /// Creates an admission without services, whose limits on running calls are adaptive or
    /// fixed.
    #[must_use]
    pub fn with_mode(settings: Settings, mode: Mode) -> Self {
        Self {
            settings,
            mode,
            services: BTreeMap::new(),
            scheduler: ClassScheduler::default(),
            queued: HashMap::new(),
            running: HashMap::new(),
            stopping: false,
        }
    }

    /// Adds a service or changes its configuration; running calls are not affected.
    pub fn set_service(&mut self, service: &ServiceName, config: ServiceConfig) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.set_config(config);
            return;
        }
        self.services
            .insert(service.clone(), ServiceQueue::new(self.mode, config));
    }

    /// Removes a service. Its queued calls are refused; its running calls continue.
    pub fn remove_service(&mut self, service: &ServiceName, out: &mut Vec<Action>) {
        let Some(queue) = self.services.get_mut(service) else {
            return;
        };
        queue.mark_removed();
        while let Some(ticket) = queue.take_first() {
            self.queued.remove(&ticket);
            out.push(Action::Refuse(ticket, without_retry(Reason::Removed)));
        }
        self.remove_if_drained(service);
    }

    /// Refuses new calls from now on; queued and running calls continue.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Decides on an arriving call; decisions on queued calls are appended to `out`.
    pub fn arrive(&mut self, request: &Request, now: Moment, out: &mut Vec<Action>) -> Arrival {
        if self.stopping {
            return Arrival::Refused(self.refusal(Reason::Stopping, None, now));
        }
        self.poll(now, out);
        let has_slot = self.has_slot();
        let queue = self.services.get_mut(&request.service);
        let Some(queue) = queue.filter(|queue| !queue.is_removed()) else {
            return Arrival::Refused(without_retry(Reason::UnknownService));
        };
        if request.deadline <= now {
            return self.refuse(Reason::Expired, &request.service, now);
        }
        if has_slot && queue.has_room() && queue.queued() == 0 {
            queue.start();
            self.insert_running(request.ticket, request.service.clone(), now);
            return Arrival::Started;
        }
        if !queue.can_meet_deadline(request, now) {
            return self.refuse(Reason::Overloaded, &request.service, now);
        }
        if queue.is_full() || !self.make_room_in_queue(&request.service, now, out) {
            return self.refuse(Reason::QueueFull, &request.service, now);
        }
        self.enqueue(request, now);
        Arrival::Queued
    }

    /// Removes a queued call whose caller disconnected; a running one ends by [`Self::finish`].
    pub fn cancel_queued(&mut self, ticket: Ticket) {
        if let Some(queued) = self.queued.remove(&ticket)
            && let Some(queue) = self.services.get_mut(&queued.service)
        {
            queue.remove_queued(queued.deadline, ticket);
        }
    }

    /// Records the end of a started call; a queued one may start in its place.
    pub fn finish(&mut self, ticket: Ticket, finish: Finish, now: Moment, out: &mut Vec<Action>) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.services.get_mut(&running.service) {
            queue.finish(finish, now.since(running.started_at), now);
        }
        self.remove_if_drained(&running.service);
        self.poll(now, out);
    }

    /// Records that an upstream shed an attempt of a call that continues.
    pub fn shed(&mut self, service: &ServiceName, now: Moment) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.shed(now);
        }
    }

    /// Refuses queued calls that can no longer be answered by their deadlines, and starts those
    /// that the limits allow.
    pub fn poll(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.expire(now, out);
        while self.has_slot() && self.start_next(now, out) {}
    }

    /// When [`Self::poll`] has to be called next; none if no call is queued.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.services
            .values()
            .filter_map(ServiceQueue::expiry)
            .min()
    }

    /// The state of a service, for monitoring.
    #[must_use]
    pub fn service_queue(&self, service: &ServiceName) -> Option<&ServiceQueue> {
        self.services.get(service)
    }

    /// Whether calls of the service are queued, so that hedges would only add load.
    #[must_use]
    pub fn is_backlogged(&self, service: &ServiceName) -> bool {
        self.service_queue(service)
            .is_some_and(|queue| queue.queued() > 0)
    }

    /// The `Retry-After` for calls that are refused now elsewhere.
    #[must_use]
    pub fn retry_after(&self, service: &ServiceName, now: Moment) -> Duration {
        let wait = self
            .service_queue(service)
            .map(|queue| queue.retry_after(now));
        wait.unwrap_or_default()
    }

    /// Number of running calls, over all services.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued calls, over all services.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    fn remove_if_drained(&mut self, service: &ServiceName) {
        if self
            .service_queue(service)
            .is_some_and(ServiceQueue::is_drained)
        {
            self.services.remove(service);
        }
    }

    fn has_slot(&self) -> bool {
        self.running.len() < to_usize(self.settings.concurrency)
    }

    fn enqueue(&mut self, request: &Request, now: Moment) {
        if let Some(queue) = self.services.get_mut(&request.service) {
            queue.push(request, now);
        }
        let queued = Queued {
            service: request.service.clone(),
            deadline: request.deadline,
        };
        self.queued.insert(request.ticket, queued);
    }

    fn insert_running(&mut self, ticket: Ticket, service: ServiceName, now: Moment) {
        let started_at = now;
        self.running.insert(
            ticket,
            Running {
                service,
                started_at,
            },
        );
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<Action>) {
        for queue in self.services.values_mut() {
            while queue.expiry().is_some_and(|at| at <= now) {
                let retry_after = Some(queue.retry_after(now));
                let Some(ticket) = queue.take_first() else {
                    break;
                };
                self.queued.remove(&ticket);
                let reason = Reason::Expired;
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
        for queue in self.services.values() {
            waiting[class_scheduler::rank(queue.class())] |= can_start(queue);
        }
        let Some(class) = self.scheduler.pick(waiting) else {
            return false;
        };
        let next = self
            .services
            .iter_mut()
            .filter(|(_, queue)| queue.class() == class && can_start(queue))
            .min_by_key(|(_, queue)| queue.earliest_deadline());
        let Some((service, queue)) = next else {
            return false;
        };
        let Some(ticket) = queue.start_first(now) else {
            return false;
        };
        let service = service.clone();
        self.queued.remove(&ticket);
        self.insert_running(ticket, service, now);
        out.push(Action::Start(ticket));
        true
    }

    // If the gateway's queue is full, refuses the queued call with the latest deadline of the
    // lowest class that is below this one and exceeds its share of the queue.
    fn make_room_in_queue(
        &mut self,
        service: &ServiceName,
        now: Moment,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.queued.len() < to_usize(self.settings.queue) {
            return true;
        }
        let Some(class) = self.service_queue(service).map(ServiceQueue::class) else {
            return false;
        };
        let lower = &ORDER[class_scheduler::rank(class) + 1..];
        let victim = lower.iter().rev().find(|class| self.exceeds_share(**class));
        let Some(victim) = victim.copied() else {
            return false;
        };
        let last = self
            .services
            .values_mut()
            .filter(|queue| queue.class() == victim && queue.queued() > 0)
            .max_by_key(|queue| queue.latest_deadline());
        let Some(queue) = last else {
            return false;
        };
        let retry_after = Some(queue.retry_after(now));
        let Some(ticket) = queue.take_last() else {
            return false;
        };
        self.queued.remove(&ticket);
        let reason = Reason::Yielded;
        let refusal = Refusal {
            reason,
            retry_after,
        };
        out.push(Action::Refuse(ticket, refusal));
        true
    }

    fn exceeds_share(&self, class: Class) -> bool {
        let services = self
            .services
            .values()
            .filter(|queue| queue.class() == class);
        let queued: usize = services.map(ServiceQueue::queued).sum();
        let share = self.settings.queue * class_scheduler::percent(class) / 100;
        queued > to_usize(share.max(1))
    }

    fn refuse(&self, reason: Reason, service: &ServiceName, now: Moment) -> Arrival {
        Arrival::Refused(self.refusal(reason, Some(service), now))
    }

    fn refusal(&self, reason: Reason, service: Option<&ServiceName>, now: Moment) -> Refusal {
        let wait = service.map(|service| self.retry_after(service, now));
        Refusal {
            reason,
            retry_after: Some(wait.unwrap_or_default()),
        }
    }
}

fn can_start(queue: &ServiceQueue) -> bool {
    queue.queued() > 0 && queue.has_room()
}

fn without_retry(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
