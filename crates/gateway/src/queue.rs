//! Admission in front of calls: the machine of the crate `admit` behind a lock,
//! with the requests that wait for its word.

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
use admit::Refused;
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

type Word = Result<(), Refusal>;

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Word>>,
    last: u64,
}

/// The gateway's admission.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<State>,
    clock: Clock,
    // A call began to wait, so that the time of the next poll may have changed.
    waits: Notify,
}

/// A call that waits or runs, until it is dropped.
#[derive(Debug)]
pub struct Slot {
    queue: Arc<Queue>,
    ticket: Ticket,
    finish: Finish,
}

impl Queue {
    /// A queue that admits nothing until [`Queue::update`].
    #[must_use]
    pub fn new(settings: admit::Settings, clock: Clock) -> Self {
        Self {
            state: Mutex::new(State {
                admission: Admission::new(settings),
                waiting: HashMap::new(),
                last: 0,
            }),
            clock,
            waits: Notify::new(),
        }
    }

    /// Takes the catalogue's services over from `before` to `after`.
    pub fn update(&self, before: &View, after: &View) {
        let mut out = Vec::new();
        let mut state = self.state();
        for gone in before.services() {
            if after.service(gone.name.as_str()).is_none() {
                state.admission.remove_service(&gone.name, &mut out);
            }
        }
        for service in after.services() {
            state
                .admission
                .set_service(&service.name, terms(service, after));
        }
        state.perform(out);
    }

    /// Admits a request at once, after a wait, or not at all.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, at the moment it is certain.
    pub async fn admit(
        self: &Arc<Self>,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<Slot, Refusal> {
        let (slot, word) = self.arrive(service, deadline)?;
        if let Some(word) = word {
            self.waits.notify_one();
            // The sender is dropped with the slot, which is here.
            let lost = Refusal::busy(Reason::Expired, Duration::ZERO);
            word.await.unwrap_or(Err(lost))?;
        }
        Ok(slot)
    }

    /// The slot, with the word to wait for where the call is queued.
    fn arrive(
        self: &Arc<Self>,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<(Slot, Option<oneshot::Receiver<Word>>), Refusal> {
        let mut out = Vec::new();
        let mut state = self.state();
        state.last += 1;
        let ticket = Ticket(state.last);
        let request = admit::Request {
            ticket,
            service: service.clone(),
            deadline,
        };
        let arrival = state.admission.arrive(&request, self.clock.now(), &mut out);
        let word = match arrival {
            Arrival::Started => None,
            Arrival::Queued => {
                let (send, receive) = oneshot::channel();
                state.waiting.insert(ticket, send);
                Some(receive)
            }
            Arrival::Refused(refusal) => {
                state.perform(out);
                return Err(refusal_of(refusal));
            }
        };
        state.perform(out);
        let slot = Slot {
            queue: self.clone(),
            ticket,
            finish: Finish::Cancelled,
        };
        Ok((slot, word))
    }

    /// Notes that an upstream shed an attempt of a call that goes on.
    pub fn shed(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.state().admission.shed(service, now);
    }

    /// Whether calls of the service wait.
    #[must_use]
    pub fn is_backlogged(&self, service: &ServiceName) -> bool {
        self.state().admission.is_backlogged(service)
    }

    /// When a caller refused now may come back.
    #[must_use]
    pub fn retry_after(&self, service: &ServiceName) -> Duration {
        let now = self.clock.now();
        self.state().admission.retry_after(service, now)
    }

    /// Calls of one service that wait, and that run.
    #[must_use]
    pub fn counts(&self, service: &ServiceName) -> Counts {
        let state = self.state();
        let service_queue = state.admission.service_queue(service);
        Counts {
            queued: service_queue.map_or(0, |l| u32::try_from(l.queued()).unwrap_or(u32::MAX)),
            running: service_queue.map_or(0, admit::service_queue::ServiceQueue::running),
        }
    }

    /// Refuses what can't be answered in time any more, as its moment comes.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next_wakeup = self.state().admission.next_wakeup();
            let moment = async {
                match next_wakeup {
                    Some(next_wakeup) => sleep_until(self.clock.instant(next_wakeup)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = moment => self.poll(),
                () = self.waits.notified() => {}
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

/// Calls of one service at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Calls that wait.
    pub queued: u32,
    /// Calls that run.
    pub running: u32,
}

impl State {
    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, word) = match action {
                Action::Start(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal_of(refusal))),
            };
            if let Some(send) = self.waiting.remove(&ticket) {
                // A caller that has left drops its slot, which ends the call.
                let _ = send.send(word);
            }
        }
    }
}

impl Slot {
    /// Notes how the call goes, until a later note.
    pub fn note(&mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut out = Vec::new();
        let now = self.queue.clock.now();
        let mut state = self.queue.state();
        // At most one of these finds the ticket: it waits, runs, or was refused.
        state.waiting.remove(&self.ticket);
        state.admission.cancel_queued(self.ticket);
        state
            .admission
            .finish(self.ticket, self.finish, now, &mut out);
        state.perform(out);
    }
}

fn terms(service: &Service, view: &View) -> ServiceConfig {
    let ready = view.instances(&service.name).iter();
    let slots: u32 = ready
        .filter(|row| row.phase == Phase::Ready)
        .map(|row| row.slots)
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
        retry: refusal.retry_after,
        ..Refusal::not_run(
            status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            reason_of(refusal.reason),
        )
    }
}

fn reason_of(refused: Refused) -> Reason {
    match refused {
        Refused::UnknownService => Reason::UnknownService,
        Refused::QueueFull => Reason::QueueFull,
        Refused::Overloaded => Reason::Overloaded,
        Refused::Expired => Reason::Expired,
        Refused::Yielded => Reason::Yielded,
        Refused::Removed => Reason::Removed,
        Refused::Stopping => Reason::Stopping,
    }
}
