//! Task of one call: waits for events, steps the state machine and starts attempts.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use attempt::Action;
use attempt::Actions;
use attempt::AttemptError;
use attempt::Event;
use attempt::Start;
use attempt::timing;
use base::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::header::IF_RANGE;
use http::header::RANGE;
use route::OutcomeKind;
use route::Pick;
use slog::Logger;
use slog::info;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::attempt_guard::AttemptGuard;
use crate::balancer::Balancer;
use crate::call::Request;
use crate::call::Result;
use crate::call::call_context;
use crate::call::state::AnsweredAttempt;
use crate::call::state::CallEvent;
use crate::call::state::CallerChannel;
use crate::call::state::CheckedAttempt;
use crate::call::state::PendingAttempt;
use crate::call::state::RelayingAttempt;
use crate::call::state::caller_disconnected;
use crate::call::state::next_checked;
use crate::call::state::next_response;
use crate::call::state::relay_step;
use crate::core::Core;
use crate::counters::add;
use crate::headers;
use crate::headers::AttemptHeaders;
use crate::instance_clients::InstanceClient;
use crate::instance_clients::Reuse;
use crate::instance_clients::UpstreamRequest;
use crate::refusal::Reason;
use crate::relay::UpstreamResponse;
use crate::send::Target;
use crate::view::UpstreamInstance;

pub(super) struct Driver {
    pub(super) core: Arc<Core>,
    pub(super) balancer: Arc<Balancer>,
    pub(super) log: Logger,
    pub(super) request: Request,
    pub(super) call: attempt::Call,
    pub(super) caller: CallerChannel,
    pub(super) pending: Vec<PendingAttempt>,
    pub(super) checking: Vec<CheckedAttempt>,
    pub(super) answered: Vec<AnsweredAttempt>,
    pub(super) relaying: Option<RelayingAttempt>,
    pub(super) tried: Vec<Pick>,
    // Instances that took no connection.
    pub(super) unreachable: Vec<Pick>,
    // A chunk that waits for capacity in the channel to the caller.
    pub(super) chunk: Option<Bytes>,
    // Bytes of the response body received from upstreams.
    pub(super) received_bytes: u64,
    pub(super) etag: Option<HeaderValue>,
    // Why an attempt was not started, where the state machine's reason is less specific.
    pub(super) start_failure: Option<Reason>,
    // The remaining quarantine of the request, if that is why no attempt was started.
    pub(super) quarantine: Option<Duration>,
}

impl Driver {
    pub(super) fn new(
        core: Arc<Core>,
        balancer: Arc<Balancer>,
        request: Request,
        send: oneshot::Sender<Result>,
    ) -> Self {
        let log = core.log.new(slog::o!(
            "request" => request.head.id.clone(),
            "service" => request.head.service.name.to_string(),
        ));
        let call = attempt::Call::new(call_context(&request));
        Self {
            core,
            balancer,
            log,
            request,
            call,
            caller: CallerChannel::Head(send),
            pending: Vec::with_capacity(1),
            checking: Vec::new(),
            answered: Vec::new(),
            relaying: None,
            tried: Vec::new(),
            unreachable: Vec::new(),
            chunk: None,
            received_bytes: 0,
            etag: None,
            start_failure: None,
            quarantine: None,
        }
    }

    pub(super) async fn run(mut self) {
        let started_at = self.core.clock.now();
        let backlogged = self
            .core
            .queue
            .is_backlogged(&self.request.head.service.name);
        let actions = {
            let mut state = self.balancer.state();
            state.attempts.backlogged = backlogged;
            self.call.start(&mut state.attempts, started_at)
        };
        self.perform(actions, None);
        while !self.call.is_finished() {
            let event = self.next_event().await;
            self.handle(event);
        }
        let elapsed = self.core.clock.now().since(started_at);
        let counters = &self.core.counters;
        add(&counters.calls, 1);
        add(&counters.call_micros, micros(elapsed));
        add(&counters.attempts, self.call.attempts().into());
        info!(self.log, "call";
            "attempts" => self.call.attempts(),
            "bytes" => self.received_bytes,
            "us" => micros(elapsed),
        );
    }

    pub(super) async fn next_event(&mut self) -> CallEvent {
        let next_wakeup = self
            .call
            .next_wakeup()
            .unwrap_or(self.request.head.deadline);
        let next_wakeup = self.core.clock.instant(next_wakeup);
        let (head_sender, body_sender) = match &mut self.caller {
            CallerChannel::Head(send) => (Some(send), None),
            CallerChannel::Body(send) => (None, Some(&*send)),
            CallerChannel::Closed => (None, None),
        };
        tokio::select! {
            biased;
            head = next_response(&mut self.pending) => CallEvent::ResponseHead(head),
            event = next_checked(&mut self.checking) => event,
            event = relay_step(&mut self.relaying, &mut self.chunk, body_sender) => event,
            () = sleep_until(next_wakeup) => CallEvent::Tick,
            () = caller_disconnected(head_sender, body_sender) => CallEvent::CallerDisconnected,
        }
    }

    pub(super) fn handle(&mut self, event: CallEvent) {
        match event {
            CallEvent::ResponseHead((number, result)) => self.on_response_head(number, result),
            CallEvent::Checked(number, may_retry) => self.on_checked(number, may_retry),
            CallEvent::Chunk(Some(Ok(bytes))) => self.on_chunk(bytes),
            CallEvent::Chunk(Some(Err(_))) => self.on_truncated(),
            CallEvent::Chunk(None) => self.on_complete(),
            CallEvent::ChunkSent => {}
            CallEvent::Tick => self.step(Event::Tick),
            CallEvent::CallerDisconnected => {
                self.caller = CallerChannel::Closed;
                self.chunk = None;
                self.step(Event::CallerGone);
                info!(self.log, "caller left"; "ended" => self.call.is_finished());
            }
        }
    }

    pub(super) fn step(&mut self, event: Event) {
        let now = self.core.clock.now();
        let actions = {
            let mut state = self.balancer.state();
            let state = &mut *state;
            self.call
                .step(event, &mut state.attempts, &mut state.rng, now)
        };
        self.perform(actions, Some(event));
    }

    pub(super) fn perform(&mut self, actions: Actions, cause: Option<Event>) {
        for action in actions {
            match action {
                Action::Start(start) => self.start_attempt(start),
                Action::Cancel(number) => self.cancel_attempt(number, cause),
                Action::Relay { number, retried } => self.relay(number, retried),
                Action::Fail(failure) => self.fail(failure),
                Action::Break(failure) => self.abort_response(failure),
            }
        }
    }

    pub(super) fn start_attempt(&mut self, start: Start) {
        if let Err(reason) = self.send_attempt(start) {
            self.start_failure.get_or_insert(reason);
            self.step(Event::AttemptFailed(start.number, AttemptError::NoUpstream));
        }
    }

    /// Chooses an instance and starts to send the request to it.
    fn send_attempt(&mut self, start: Start) -> std::result::Result<(), Reason> {
        let (chosen, outgoing) = self.prepare(start)?;
        let ChosenInstance {
            client,
            guard,
            reuse,
        } = chosen;
        let method = outgoing.method.clone();
        let (core, id) = (self.core.clone(), self.request.head.id.clone());
        let target = Target {
            balancer: self.balancer.clone(),
            upstream: guard.upstream(),
            client,
        };
        let head = Box::pin(async move {
            let response = core.send(&target, outgoing, &id, reuse).await?;
            Ok(UpstreamResponse::new(response, &method))
        });
        self.pending.push(PendingAttempt { start, guard, head });
        Ok(())
    }

    /// Continues an attempt whose instance took no connection at another instance. As nothing
    /// was sent, that is neither a retry nor limited by the retry budget. Returns false if there
    /// is no other instance, or the body was streamed.
    pub(super) fn connect_elsewhere(&mut self, start: Start) -> bool {
        let (now, deadline) = (self.core.clock.now(), self.request.head.deadline);
        if self.tried.len() >= MAX_CONNECTS || now >= deadline || !self.request.body.is_buffered() {
            return false;
        }
        let start = Start {
            upstream_timeout: timing::upstream_timeout(deadline.since(now)),
            ..start
        };
        match self.send_attempt(start) {
            Ok(()) => true,
            Err(reason) => {
                self.start_failure.get_or_insert(reason);
                false
            }
        }
    }

    pub(super) fn prepare(
        &mut self,
        start: Start,
    ) -> std::result::Result<(ChosenInstance, UpstreamRequest), Reason> {
        let now = self.core.clock.now();
        if self.request.claim_expires_at.is_some_and(|at| now >= at) {
            return Err(Reason::Hold);
        }
        // The request may have been quarantined while it was queued.
        if let Some(remaining) = self.core.check_quarantine(&self.request.identity) {
            self.quarantine = Some(remaining);
            return Err(Reason::Quarantined);
        }
        let chosen = self.choose_instance(start, now)?;
        let headers = self.attempt_headers(start);
        // A streamed body was already sent by an earlier attempt.
        let body = self.request.body.take().ok_or(Reason::Connect)?;
        let outgoing = UpstreamRequest {
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers,
            body,
        };
        Ok((chosen, outgoing))
    }

    /// Chooses an instance with a free connection, reserves the connection and logs the
    /// decision.
    pub(super) fn choose_instance(
        &mut self,
        start: Start,
        now: Moment,
    ) -> std::result::Result<ChosenInstance, Reason> {
        let mut state = self.balancer.state();
        let mut reason = Reason::NoUpstream;
        while let Some(choice) = state.chooser.choose(now, &self.tried) {
            // The chooser returns one of these only if no other instance is left.
            if self.unreachable.contains(&choice.pick) {
                return Err(Reason::Connect);
            }
            let was_tried = self.tried.contains(&choice.pick);
            let ticket = state.chooser.started(now, choice.pick);
            let id = state.chooser.id(choice.pick).cloned();
            let Some((client, upstream, connection)) = self.reserve_connection(id.as_ref()) else {
                state.chooser.finished(now, ticket, NOT_SENT);
                if was_tried {
                    break;
                }
                reason = Reason::Connections;
                self.tried.push(choice.pick);
                continue;
            };
            drop(state);
            self.tried.push(choice.pick);
            log_choice(&self.log, start, id.as_ref(), &choice);
            let guard = AttemptGuard::new(
                self.balancer.clone(),
                self.core.clock,
                ticket,
                upstream,
                connection,
            );
            return Ok(ChosenInstance {
                client,
                guard,
                // A copy of the first send's response would bear the same id.
                reuse: if was_tried {
                    Reuse::Forbidden
                } else {
                    Reuse::Allowed
                },
            });
        }
        Err(reason)
    }

    pub(super) fn reserve_connection(
        &self,
        id: Option<&InstanceId>,
    ) -> Option<(
        Arc<InstanceClient>,
        Arc<UpstreamInstance>,
        OwnedSemaphorePermit,
    )> {
        let service = &self.request.head.service.name;
        let client = self.core.clients.get(service, id?)?;
        let upstream = self.core.view().instance(service, id?)?.clone();
        let connection = client.reserve()?;
        Some((client, upstream, connection))
    }

    pub(super) fn attempt_headers(&self, start: Start) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        headers::set_attempt_headers(
            &mut headers,
            AttemptHeaders {
                id: &self.request.head.id,
                attempt: start.number.into(),
                remaining: start.upstream_timeout,
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

/// An instance with a reserved connection.
pub(super) struct ChosenInstance {
    client: Arc<InstanceClient>,
    guard: AttemptGuard,
    reuse: Reuse,
}

/// Maximum number of instances that one call tries, so that a call ends soon when all hosts of a
/// large service refuse connections.
const MAX_CONNECTS: usize = 16;
/// Outcome of an attempt that found no free connection.
const NOT_SENT: route::Outcome = route::Outcome {
    kind: OutcomeKind::Cancelled,
    latency: Duration::ZERO,
    report: None,
};

/// Logs a routing decision with the load data it was based on and the age of that data.
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

/// Displays an age in microseconds, or `-` if it is unknown.
struct Age(Option<Duration>);

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", micros(age)),
            None => f.write_str("-"),
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
