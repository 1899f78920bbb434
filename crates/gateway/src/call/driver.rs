//! Task of one call: waits for events, steps the state machine and starts attempts.

use std::sync::Arc;
use std::time::Duration;

use attempt::Action;
use attempt::Actions;
use attempt::AttemptError;
use attempt::Event;
use attempt::Start;
use bytes::Bytes;
use http::HeaderValue;
use route::Pick;
use slog::Logger;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

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
use crate::refusal::Reason;

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
}

pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
