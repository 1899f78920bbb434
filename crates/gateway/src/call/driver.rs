//! The task of one call: waits, steps the machine, begins attempts.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use attempt::Action;
use attempt::Actions;
use attempt::Ending;
use attempt::Event;
use attempt::Start;
use base::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::header::IF_RANGE;
use http::header::RANGE;
use route::Kind;
use route::Pick;
use slog::Logger;
use slog::info;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::attempt_guard::Track;
use crate::balancer::Desk;
use crate::call::Request;
use crate::call::Result;
use crate::call::state::Arrived;
use crate::call::state::Outlet;
use crate::call::state::Pumped;
use crate::call::state::Waiting;
use crate::call::state::Woken;
use crate::call::state::left;
use crate::call::state::next_head;
use crate::call::state::pump;
use crate::call::terms;
use crate::core::Core;
use crate::counters::add;
use crate::headers;
use crate::headers::Told;
use crate::instance_clients::Lane;
use crate::instance_clients::Outgoing;
use crate::refusal::Reason;
use crate::relay::Answer;

pub(super) struct Driver {
    pub(super) core: Arc<Core>,
    pub(super) desk: Arc<Desk>,
    pub(super) log: Logger,
    pub(super) request: Request,
    pub(super) call: attempt::Call,
    pub(super) outlet: Outlet,
    pub(super) waiting: Vec<Waiting>,
    pub(super) arrived: Vec<Arrived>,
    pub(super) pumped: Option<Pumped>,
    pub(super) tried: Vec<Pick>,
    // A piece that waits for room on the way to the caller.
    pub(super) piece: Option<Bytes>,
    // Bytes of the body taken from upstreams.
    pub(super) taken: u64,
    pub(super) etag: Option<HeaderValue>,
    // Why an attempt did not begin, where the machine's own reason is less exact.
    pub(super) hindrance: Option<Reason>,
}

impl Driver {
    pub(super) fn new(
        core: Arc<Core>,
        desk: Arc<Desk>,
        request: Request,
        send: oneshot::Sender<Result>,
    ) -> Self {
        let log = core.log.new(slog::o!(
            "request" => request.ask.id.clone(),
            "service" => request.ask.service.name.to_string(),
        ));
        let call = attempt::Call::new(terms(&request));
        Self {
            core,
            desk,
            log,
            request,
            call,
            outlet: Outlet::Fresh(send),
            waiting: Vec::with_capacity(1),
            arrived: Vec::new(),
            pumped: None,
            tried: Vec::new(),
            piece: None,
            taken: 0,
            etag: None,
            hindrance: None,
        }
    }

    pub(super) async fn run(mut self) {
        let began = self.core.clock.now();
        let pressed = self.core.queue.is_pressed(&self.request.ask.service.name);
        let actions = {
            let mut state = self.desk.state();
            state.attempts.pressed = pressed;
            self.call.start(&mut state.attempts, began)
        };
        self.perform(actions, None);
        while !self.call.is_finished() {
            let woken = self.wake().await;
            self.take(woken);
        }
        let span = self.core.clock.now().since(began);
        let counters = &self.core.counters;
        add(&counters.calls, 1);
        add(&counters.call_micros, micros(span));
        add(&counters.attempts, self.call.attempts().into());
        info!(self.log, "call";
            "attempts" => self.call.attempts(),
            "bytes" => self.taken,
            "us" => micros(span),
        );
    }

    pub(super) async fn wake(&mut self) -> Woken {
        let wake = self.call.wake().unwrap_or(self.request.ask.deadline);
        let wake = self.core.clock.instant(wake);
        let (fresh, open) = match &mut self.outlet {
            Outlet::Fresh(send) => (Some(send), None),
            Outlet::Open(send) => (None, Some(&*send)),
            Outlet::Shut => (None, None),
        };
        tokio::select! {
            biased;
            head = next_head(&mut self.waiting) => Woken::Head(head),
            woken = pump(&mut self.pumped, &mut self.piece, open) => woken,
            () = sleep_until(wake) => Woken::Tick,
            () = left(fresh, open) => Woken::Left,
        }
    }

    pub(super) fn take(&mut self, woken: Woken) {
        match woken {
            Woken::Head((number, result)) => self.head(number, result),
            Woken::Piece(Some(Ok(bytes))) => self.piece(bytes),
            Woken::Piece(Some(Err(_))) => self.short(),
            Woken::Piece(None) => self.whole(),
            Woken::Sent => {}
            Woken::Tick => self.step(Event::Tick),
            Woken::Left => {
                self.outlet = Outlet::Shut;
                self.piece = None;
                self.step(Event::Left);
                info!(self.log, "caller left"; "ended" => self.call.is_finished());
            }
        }
    }

    pub(super) fn step(&mut self, event: Event) {
        let now = self.core.clock.now();
        let actions = {
            let mut state = self.desk.state();
            let state = &mut *state;
            self.call
                .step(event, &mut state.attempts, &mut state.rng, now)
        };
        self.perform(actions, Some(event));
    }

    pub(super) fn perform(&mut self, actions: Actions, cause: Option<Event>) {
        for action in actions {
            match action {
                Action::Start(start) => self.begin(start),
                Action::Cancel(number) => self.cancel(number, cause),
                Action::Relay { number, marked } => self.relay(number, marked),
                Action::Fail(failure) => self.fail(failure),
                Action::Break(failure) => self.cut(failure),
            }
        }
    }

    pub(super) fn begin(&mut self, start: Start) {
        match self.prepare(start) {
            Ok((lane, track, out)) => {
                let method = out.method.clone();
                let head = Box::pin(async move {
                    let response = lane.send(out).await?;
                    Ok(Answer::new(response, &method))
                });
                self.waiting.push(Waiting {
                    number: start.number,
                    track,
                    head,
                });
            }
            Err(reason) => {
                self.hindrance.get_or_insert(reason);
                self.step(Event::Ended(start.number, Ending::NoUpstream));
            }
        }
    }

    pub(super) fn prepare(
        &mut self,
        start: Start,
    ) -> std::result::Result<(Arc<Lane>, Track, Outgoing), Reason> {
        let now = self.core.clock.now();
        if self.request.hold.is_some_and(|hold| now >= hold) {
            return Err(Reason::Hold);
        }
        let (lane, track) = self.choose(start, now)?;
        let headers = self.outgoing_headers(start);
        // The last attempt took the only copy of the body with it.
        let body = self.request.payload.take().ok_or(Reason::Connect)?;
        let out = Outgoing {
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers,
            body,
        };
        Ok((lane, track, out))
    }

    /// Chooses an instance with a free connection and logs the decision.
    pub(super) fn choose(
        &mut self,
        start: Start,
        now: Moment,
    ) -> std::result::Result<(Arc<Lane>, Track), Reason> {
        let mut state = self.desk.state();
        let mut reason = Reason::NoUpstream;
        while let Some(choice) = state.chooser.choose(now, &self.tried) {
            let again = self.tried.contains(&choice.pick);
            let ticket = state.chooser.started(now, choice.pick);
            let id = state.chooser.id(choice.pick).cloned();
            let Some((lane, connection)) = self.connection(id.as_ref()) else {
                state.chooser.finished(now, ticket, NOT_SENT);
                if again {
                    break;
                }
                reason = Reason::Connections;
                self.tried.push(choice.pick);
                continue;
            };
            drop(state);
            self.tried.push(choice.pick);
            log_choice(&self.log, start, id.as_ref(), &choice);
            let track = Track::new(self.desk.clone(), self.core.clock, ticket, connection);
            return Ok((lane, track));
        }
        Err(reason)
    }

    pub(super) fn connection(
        &self,
        id: Option<&InstanceId>,
    ) -> Option<(Arc<Lane>, OwnedSemaphorePermit)> {
        let lane = self.core.lanes.get(&self.request.ask.service.name, id?)?;
        let connection = lane.reserve()?;
        Some((lane, connection))
    }

    pub(super) fn outgoing_headers(&self, start: Start) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        headers::tell(
            &mut headers,
            Told {
                id: &self.request.ask.id,
                attempt: start.number.into(),
                left: start.told,
                depth: start.depth,
            },
        );
        if start.offset > 0 {
            let range = format!("bytes={}-", start.offset);
            if let (Ok(range), Some(etag)) = (HeaderValue::from_str(&range), &self.etag) {
                headers.insert(RANGE, range);
                headers.insert(IF_RANGE, etag.clone());
            }
        }
        headers
    }
}

/// The end of an attempt that found no free connection.
const NOT_SENT: route::Outcome = route::Outcome {
    kind: Kind::Cancelled,
    latency: Duration::ZERO,
    report: None,
};

/// The line of a routing decision: what was known, and how old that was.
fn log_choice(log: &Logger, start: Start, id: Option<&InstanceId>, choice: &route::Choice) {
    info!(log, "route";
        "attempt" => start.number,
        "hedge" => start.hedge,
        "instance" => id.map(InstanceId::as_str),
        "reason" => <&str>::from(choice.reason),
        "age_us" => %Age(choice.age),
        "in_flight" => choice.in_flight,
        "expected_us" => micros(choice.expected),
    );
}

/// An age in microseconds, `-` where nothing is known.
struct Age(Option<Duration>);

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", micros(age)),
            None => f.write_str("-"),
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
