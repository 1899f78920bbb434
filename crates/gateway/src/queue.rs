//! Admission control of calls: the state machine of the crate `admit` behind a lock,
//! and the requests that wait for its decision.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use admit::Action;
use admit::Admission;
use admit::Arrival;
use admit::Finish;
use admit::ServiceConfig;
use admit::Ticket;
use base::prelude::*;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use wire::directory::Phase;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::view::Service;
use crate::view::View;

type Decision = Result<(), Refusal>;

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    last_ticket: u64,
}

/// Admission control of a gateway.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<State>,
    clock: Clock,
    // Notified when a request is queued, as the time of the next poll may have changed.
    queued: Notify,
}

/// Admission of a queued or running call, released when dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    queue: Arc<Queue>,
    ticket: Ticket,
    finish: Finish,
}

impl Queue {
    /// Creates a queue that admits nothing until [`Queue::update`].
    #[must_use]
    pub fn new(settings: admit::Settings, clock: Clock) -> Self {
        Self {
            state: Mutex::new(State {
                admission: Admission::new(settings),
                waiting: HashMap::new(),
                last_ticket: 0,
            }),
            clock,
            queued: Notify::new(),
        }
    }

    /// Updates the services and their limits from the view.
    pub fn update(&self, before: &View, after: &View) {
        let mut out = Vec::new();
        let mut state = self.state();
        for service in before.services() {
            if after.service(service.name.as_str()).is_none() {
                state.admission.remove_service(&service.name, &mut out);
            }
        }
        for service in after.services() {
            state
                .admission
                .set_service(&service.name, service_config(service, after));
        }
        state.perform(out);
    }

    /// Admits a request, waiting in the queue if necessary.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as it is certain.
    pub async fn admit(
        self: &Arc<Self>,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<AdmissionPermit, Refusal> {
        let (permit, decision) = self.arrive(service, deadline)?;
        if let Some(decision) = decision {
            self.queued.notify_one();
            // The sender lives as long as the permit, so this fallback isn't reached.
            let dropped = Refusal::unavailable(Reason::Expired, Duration::ZERO);
            decision.await.unwrap_or(Err(dropped))?;
        }
        Ok(permit)
    }

    /// Returns the permit, with a receiver for the decision if the request is queued.
    fn arrive(
        self: &Arc<Self>,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<(AdmissionPermit, Option<oneshot::Receiver<Decision>>), Refusal> {
        let mut out = Vec::new();
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = Ticket(state.last_ticket);
        let request = admit::Request {
            ticket,
            service: service.clone(),
            deadline,
        };
        let arrival = state.admission.arrive(&request, self.clock.now(), &mut out);
        let decision = match arrival {
            Arrival::Started => None,
            Arrival::Queued => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Some(receiver)
            }
            Arrival::Refused(refusal) => {
                state.perform(out);
                return Err(refusal_of(refusal));
            }
        };
        state.perform(out);
        let permit = AdmissionPermit {
            queue: self.clone(),
            ticket,
            finish: Finish::Cancelled,
        };
        Ok((permit, decision))
    }

    /// Records that an upstream shed an attempt of a call that continues.
    pub fn shed(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.state().admission.shed(service, now);
    }

    /// Whether calls of the service are queued.
    #[must_use]
    pub fn is_backlogged(&self, service: &ServiceName) -> bool {
        self.state().admission.is_backlogged(service)
    }

    /// Time after which a caller that is refused now may retry.
    #[must_use]
    pub fn retry_after(&self, service: &ServiceName) -> Duration {
        let now = self.clock.now();
        self.state().admission.retry_after(service, now)
    }

    /// Number of queued and running calls of a service.
    #[must_use]
    pub fn counts(&self, service: &ServiceName) -> Counts {
        let state = self.state();
        let service_queue = state.admission.service_queue(service);
        Counts {
            queued: service_queue.map_or(0, |l| u32::try_from(l.queued()).unwrap_or(u32::MAX)),
            running: service_queue.map_or(0, admit::service_queue::ServiceQueue::running),
        }
    }

    /// Refuses queued requests that can no longer be served before their deadline.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next_wakeup = self.state().admission.next_wakeup();
            let timer = async {
                match next_wakeup {
                    Some(next_wakeup) => sleep_until(self.clock.instant(next_wakeup)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => self.poll(),
                () = self.queued.notified() => {}
            }
        }
    }

    fn poll(&self) {
        let mut out = Vec::new();
        let mut state = self.state();
        state.admission.poll(self.clock.now(), &mut out);
        state.perform(out);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of calls of one service at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Number of queued calls.
    pub queued: u32,
    /// Number of running calls.
    pub running: u32,
}

impl State {
    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Start(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal_of(refusal))),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // Fails only if the caller has disconnected and thereby dropped its permit.
                let _ = sender.send(decision);
            }
        }
    }
}

impl AdmissionPermit {
    /// Sets how the call ends; the last call before the drop wins.
    pub fn set_finish(&mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut out = Vec::new();
        let now = self.queue.clock.now();
        let mut state = self.queue.state();
        // The ticket is queued, running or already refused, so at most one of these applies.
        state.waiting.remove(&self.ticket);
        state.admission.cancel_queued(self.ticket);
        state
            .admission
            .finish(self.ticket, self.finish, now, &mut out);
        state.perform(out);
    }
}

fn service_config(service: &Service, view: &View) -> ServiceConfig {
    let instances = view.instances(&service.name).iter();
    let slots: u32 = instances
        .filter(|instance| instance.phase == Phase::Ready)
        .map(|instance| instance.slots)
        .fold(0, u32::saturating_add);
    ServiceConfig {
        class: service.class,
        concurrency: service.limits.concurrency,
        queue: service.limits.queue,
        slots: slots / view.gateways(),
    }
}

fn refusal_of(refusal: admit::Refusal) -> Refusal {
    let status = StatusCode::from_u16(refusal.status());
    Refusal {
        retry_after: refusal.retry_after,
        ..Refusal::not_run(
            status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            reason_of(refusal.reason),
        )
    }
}

fn reason_of(reason: admit::Reason) -> Reason {
    match reason {
        admit::Reason::UnknownService => Reason::UnknownService,
        admit::Reason::QueueFull => Reason::QueueFull,
        admit::Reason::Overloaded => Reason::Overloaded,
        admit::Reason::Expired => Reason::Expired,
        admit::Reason::Yielded => Reason::Yielded,
        admit::Reason::Removed => Reason::Removed,
        admit::Reason::Stopping => Reason::Stopping,
    }
}
