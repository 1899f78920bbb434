//! The state machine of one call, from its first attempt to its response.
//!
//! A failed attempt is retried if that is safe for the class, if no level below has retried
//! already, if the service's budget has a token, and if there is time before the deadline.
//! Otherwise the call gets its final response at once.
//!
//! A slow or stalled attempt may be caused by a failure at any level below, so only the edge
//! (depth 0) reacts to it: with a hedge for class urgent, with a cancellation and a retry for the
//! other idempotent classes.

mod response;

use base::prelude::*;
use rand::Rng;

use crate::action::Action;
use crate::action::Actions;
use crate::action::Failure;
use crate::action::Reason;
use crate::action::Start;
use crate::event::AttemptError;
use crate::event::AttemptNumber;
use crate::event::Event;
use crate::hedge::InFlight;
use crate::hedge::Race;
use crate::service::Service;
use crate::timing;

/// Maximum number of attempts of one call. Resumed attempts that made progress don't count.
pub const MAX_ATTEMPTS: u8 = 3;
/// Maximum number of attempts of one call, including all resumed ones.
pub const MAX_ATTEMPTS_WITH_RESUMED: u8 = 32;

/// Parameters of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Class of the called service.
    pub class: Class,
    /// When the caller stops waiting for a response.
    pub deadline: Moment,
    /// Value of [`base::header::DEPTH`], 0 when absent.
    pub depth: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    // Waiting for the head of a response, or for a retry.
    Trying,
    // Relaying the response of an attempt; `resumable` says whether a truncated body is resumed.
    Relaying {
        number: AttemptNumber,
        resumable: bool,
    },
    Finished,
}

/// The state machine of one call.
#[derive(Clone, Debug)]
pub struct Call {
    context: CallContext,
    phase: Phase,
    // The attempts in flight, and when the first is hedged or considered stalled.
    race: Race,
    // Number of attempts started.
    started: u8,
    // Number of attempts that count towards [`MAX_ATTEMPTS`].
    counted_attempts: u8,
    // An attempt that is no longer in flight may have run.
    may_have_run: bool,
    // When the scheduled retry starts, and whether its token was already taken.
    retry_at: Option<Moment>,
    paid: bool,
    // Bytes of the body relayed by attempts whose response was truncated.
    offset: u64,
}

impl Call {
    /// Creates a call without attempts.
    #[must_use]
    pub fn new(context: CallContext) -> Self {
        Self {
            context,
            phase: Phase::Trying,
            race: Race::default(),
            started: 0,
            counted_attempts: 0,
            may_have_run: false,
            retry_at: None,
            paid: false,
            offset: 0,
        }
    }

    /// Starts the first attempt and credits the service's budget for the call.
    ///
    /// Has to be called once, when the call is admitted.
    pub fn start(&mut self, service: &mut Service, now: Moment) -> Actions {
        service.budget.earn(now);
        let mut actions = Actions::none();
        if now >= self.context.deadline {
            self.fail(Reason::Deadline, &mut actions);
        } else {
            self.start_attempt(false, service, now, &mut actions);
        }
        actions
    }

    /// Handles an event and returns the actions to perform.
    ///
    /// Events of attempts that have ended or were cancelled are ignored.
    pub fn step(
        &mut self,
        event: Event,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
    ) -> Actions {
        let mut actions = Actions::none();
        if self.is_finished() {
            return actions;
        }
        let is_expired = now >= self.context.deadline;
        match event {
            Event::Head(..) if is_expired => {}
            Event::Head(number, head) => {
                self.handle_head(number, head, service, rng, now, &mut actions);
            }
            Event::Complete(number) => self.complete(number),
            Event::AttemptFailed(number, err) => {
                self.attempt_failed(number, err, service, rng, now, &mut actions);
            }
            Event::Tick => self.tick(service, now, &mut actions),
            Event::CallerGone => self.caller_gone(&mut actions),
        }
        if is_expired && !self.is_finished() {
            self.fail(Reason::Deadline, &mut actions);
        }
        actions
    }

    /// When the call needs the next [`Event::Tick`]; none once it is finished.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        if self.is_finished() {
            return None;
        }
        [self.retry_at, self.race.late_at()]
            .into_iter()
            .flatten()
            .chain([self.context.deadline])
            .min()
    }

    /// Whether the final response was given, or the caller of a cancelled call is gone.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Number of attempts started so far.
    #[must_use]
    pub fn attempts(&self) -> u8 {
        self.started
    }

    /// The outcome if the call ended now. Attempts in flight may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run || !self.race.is_empty() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Whether an attempt in flight that fails with `err` could be followed by another one, if
    /// time and budget allow it.
    #[must_use]
    pub fn may_retry_after(&self, err: AttemptError) -> bool {
        let is_safe = self.context.class.is_idempotent() || !err.may_have_run();
        let is_resumed = matches!(self.phase, Phase::Relaying { resumable, .. } if resumable);
        let is_retried = self.phase == Phase::Trying && self.counted_attempts < MAX_ATTEMPTS;
        is_safe && (is_retried || is_resumed)
    }

    fn tick(&mut self, service: &mut Service, now: Moment, actions: &mut Actions) {
        if now >= self.context.deadline {
            return;
        }
        self.start_due_retry(service, now, actions);
        if let Some(first) = self.race.take_late(now) {
            self.handle_late_attempt(first, service, now, actions);
        }
    }

    // Hedges or replaces the only attempt in flight, which is late.
    fn handle_late_attempt(
        &mut self,
        first: InFlight,
        service: &mut Service,
        now: Moment,
        actions: &mut Actions,
    ) {
        if self.counted_attempts >= MAX_ATTEMPTS || !service.budget.spend(now) {
            return;
        }
        let hedge = self.context.class == Class::Urgent;
        if !hedge {
            self.may_have_run = true;
            self.race.remove(first.number);
            actions.push(Action::Cancel(first.number));
        }
        self.start_attempt(hedge, service, now, actions);
    }

    fn caller_gone(&mut self, actions: &mut Actions) {
        let may_cancel = match self.context.class {
            Class::Urgent | Class::Deferred => true,
            Class::Once => self.outcome() == Outcome::NotRun,
            Class::Durable => false,
        };
        if !may_cancel {
            return;
        }
        self.cancel_attempts(actions);
        self.phase = Phase::Finished;
    }

    fn retry_or_fail(
        &mut self,
        reason: Reason,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        if self.race.is_empty() && self.schedule_retry(service, rng, now) {
            self.start_due_retry(service, now, actions);
            return;
        }
        self.fail_if_none_in_flight(reason, actions);
    }

    // Schedules a retry. Returns false if it isn't safe, there is no time before the deadline, or
    // the budget has no token. Class deferred waits for a token if the deadline allows it.
    fn schedule_retry(&mut self, service: &mut Service, rng: &mut impl Rng, now: Moment) -> bool {
        let safe = self.context.class.is_idempotent() || !self.may_have_run;
        if !safe
            || self.counted_attempts >= MAX_ATTEMPTS
            || self.started >= MAX_ATTEMPTS_WITH_RESUMED
        {
            return false;
        }
        let needed = service.latency.quantile(500).unwrap_or_default();
        if now + needed >= self.context.deadline {
            return false;
        }
        self.paid = service.budget.spend(now);
        let delay = if self.paid {
            timing::backoff(self.counted_attempts, rng)
        } else if self.context.class == Class::Deferred {
            service.budget.wait(now)
        } else {
            return false;
        };
        let fits = now + delay + needed < self.context.deadline;
        if !fits && !self.paid {
            return false;
        }
        self.retry_at = Some(if fits { now + delay } else { now });
        true
    }

    // Starts the scheduled retry if its time has come.
    fn start_due_retry(&mut self, service: &mut Service, now: Moment, actions: &mut Actions) {
        if self.retry_at.is_none_or(|at| at > now) {
            return;
        }
        if !self.paid && !service.budget.spend(now) {
            self.retry_at = Some(now + service.budget.wait(now));
            return;
        }
        self.retry_at = None;
        self.paid = false;
        self.start_attempt(false, service, now, actions);
    }

    fn start_attempt(
        &mut self,
        hedge: bool,
        service: &Service,
        now: Moment,
        actions: &mut Actions,
    ) {
        self.started += 1;
        self.counted_attempts += 1;
        let late_at = if hedge {
            None
        } else {
            timing::late_at(&self.context, service, now)
        };
        self.race.start(self.started, now, late_at);
        let remaining = self.context.deadline.since(now);
        actions.push(Action::Start(Start {
            number: self.started,
            deadline: self.context.deadline,
            upstream_timeout: timing::upstream_timeout(remaining),
            depth: self.context.depth.saturating_add(1),
            offset: self.offset,
            hedge,
        }));
    }

    fn failure(&self, reason: Reason) -> Failure {
        Failure {
            outcome: self.outcome(),
            reason,
        }
    }

    fn fail_if_none_in_flight(&mut self, reason: Reason, actions: &mut Actions) {
        if self.race.is_empty() {
            self.fail(reason, actions);
        }
    }

    // Cancels the attempts in flight and gives the final response.
    fn fail(&mut self, reason: Reason, actions: &mut Actions) {
        let failure = self.failure(reason);
        let relaying = self.offset > 0 || matches!(self.phase, Phase::Relaying { .. });
        let last = if relaying {
            Action::Break(failure)
        } else {
            Action::Fail(failure)
        };
        self.finish(last, actions);
    }

    fn finish(&mut self, last: Action, actions: &mut Actions) {
        self.cancel_attempts(actions);
        self.phase = Phase::Finished;
        actions.push(last);
    }

    fn cancel_attempts(&mut self, actions: &mut Actions) {
        for attempt in self.race.iter() {
            self.may_have_run = true;
            actions.push(Action::Cancel(attempt.number));
        }
        self.race.clear();
    }
}
