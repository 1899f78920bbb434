//! One call, from its first attempt to its answer.
//!
//! A failed attempt is retried elsewhere if that is safe for the class, if this is
//! the level next to the failure, if the service's budget has a token, and if the
//! deadline leaves time; else the call gets its final answer at once. Silence (a
//! slow or stalled attempt) can't be told from a failure further down, so only the
//! edge, at depth 0, acts on it: by a hedge for class urgent, by cancelling and
//! retrying for the other idempotent classes.

mod answer;

use base::prelude::*;
use rand::Rng;

use crate::action::Action;
use crate::action::Actions;
use crate::action::Failure;
use crate::action::Reason;
use crate::action::Start;
use crate::event::AttemptNumber;
use crate::event::Event;
use crate::service::Service;
use crate::timing;

/// Most attempts of one call, resumed ones that made progress not counted.
pub const MOST_ATTEMPTS: u8 = 3;
/// Most attempts with the resumed ones.
pub const MOST_NUMBERS: u8 = 32;

/// What a call is bound by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The class of its service.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// From [`base::header::DEPTH`], 0 when absent.
    pub depth: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Live {
    number: AttemptNumber,
    started: Moment,
}

// Whether the call still acts, and on what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Trying,
    // An attempt's answer goes to the caller; it can be resumed or not.
    Relaying {
        number: AttemptNumber,
        resumable: bool,
    },
    Finished,
}

/// The state of one call.
#[derive(Clone, Debug)]
pub struct Call {
    terms: CallContext,
    phase: Phase,
    // The attempts that run; at most two.
    live: [Option<Live>; 2],
    // Attempts begun.
    begun: u8,
    // Attempts that count against [`MOST_ATTEMPTS`].
    counted: u8,
    // An attempt that ended may have run.
    risky: bool,
    // When a retry that was decided starts, paid or not.
    retry_at: Option<Moment>,
    paid: bool,
    // When the attempt that runs is hedged or taken as stalled.
    second_at: Option<Moment>,
    // Bytes of the body relayed by broken attempts.
    offset: u64,
}

impl Call {
    /// A call that has begun no attempt.
    #[must_use]
    pub fn new(terms: CallContext) -> Self {
        Self {
            terms,
            phase: Phase::Trying,
            live: [None; 2],
            begun: 0,
            counted: 0,
            risky: false,
            retry_at: None,
            paid: false,
            second_at: None,
            offset: 0,
        }
    }

    /// Begins the first attempt and earns the service's budget its share.
    ///
    /// Called once, when the call was admitted.
    pub fn start(&mut self, service: &mut Service, now: Moment) -> Actions {
        service.budget.earn(now);
        let mut actions = Actions::none();
        if now >= self.terms.deadline {
            self.fail(Reason::Deadline, &mut actions);
        } else {
            self.begin(false, service, now, &mut actions);
        }
        actions
    }

    /// Takes what happened and says what to do.
    ///
    /// Events of attempts that are over or were cancelled change nothing.
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
        let is_late = now >= self.terms.deadline;
        match event {
            Event::Head(..) if is_late => {}
            Event::Head(number, head) => {
                self.head(number, head, service, rng, now, &mut actions);
            }
            Event::Complete(number) => self.whole(number),
            Event::AttemptFailed(number, ending) => {
                self.ended(number, ending, service, rng, now, &mut actions);
            }
            Event::Tick => self.tick(service, now, &mut actions),
            Event::CallerGone => self.leave(&mut actions),
        }
        if is_late && !self.is_finished() {
            self.fail(Reason::Deadline, &mut actions);
        }
        actions
    }

    /// When the call wants [`Event::Tick`] at the latest; none once it is finished.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        if self.is_finished() {
            return None;
        }
        [self.retry_at, self.second_at]
            .into_iter()
            .flatten()
            .chain([self.terms.deadline])
            .min()
    }

    /// Whether the final answer was given, or nobody waits for one.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Attempts begun so far.
    #[must_use]
    pub fn attempts(&self) -> u8 {
        self.begun
    }

    /// What is certain of the call so far, running attempts included.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.risky || self.live.iter().any(Option::is_some) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    fn tick(&mut self, service: &mut Service, now: Moment, actions: &mut Actions) {
        if now >= self.terms.deadline {
            return;
        }
        self.begin_due(service, now, actions);
        if self.second_at.is_some_and(|at| at <= now) {
            self.second_at = None;
            self.second(service, now, actions);
        }
    }

    // The one attempt that runs is late.
    fn second(&mut self, service: &mut Service, now: Moment, actions: &mut Actions) {
        let Some(first) = self.live[0].or(self.live[1]) else {
            return;
        };
        if self.counted >= MOST_ATTEMPTS || !service.budget.spend(now) {
            return;
        }
        let hedge = self.terms.class == Class::Urgent;
        if !hedge {
            self.risky = true;
            self.drop_live(first.number);
            actions.push(Action::Cancel(first.number));
        }
        self.begin(hedge, service, now, actions);
    }

    fn leave(&mut self, actions: &mut Actions) {
        let may_cut = match self.terms.class {
            Class::Urgent | Class::Deferred => true,
            Class::Once => self.outcome() == Outcome::NotRun,
            Class::Durable => false,
        };
        if !may_cut {
            return;
        }
        self.cancel_all(actions);
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
        let alone = self.live.iter().all(Option::is_none);
        if alone && self.plan_retry(service, rng, now) {
            self.begin_due(service, now, actions);
            return;
        }
        self.fail_if_alone(reason, actions);
    }

    // Decides a retry; false when it isn't safe, paid for or in time.
    fn plan_retry(&mut self, service: &mut Service, rng: &mut impl Rng, now: Moment) -> bool {
        let safe = self.terms.class.is_idempotent() || !self.risky;
        if !safe || self.counted >= MOST_ATTEMPTS || self.begun >= MOST_NUMBERS {
            return false;
        }
        let needed = service.latency.quantile(500).unwrap_or_default();
        if now + needed >= self.terms.deadline {
            return false;
        }
        self.paid = service.budget.spend_or_borrow(now);
        let pause = if self.paid {
            timing::backoff(self.counted, rng)
        } else if self.terms.class == Class::Deferred {
            service.budget.wait(now)
        } else {
            return false;
        };
        let fits = now + pause + needed < self.terms.deadline;
        if !fits && !self.paid {
            return false;
        }
        self.retry_at = Some(if fits { now + pause } else { now });
        true
    }

    // Starts a decided retry whose moment has come.
    fn begin_due(&mut self, service: &mut Service, now: Moment, actions: &mut Actions) {
        if self.retry_at.is_none_or(|at| at > now) {
            return;
        }
        if !self.paid && !service.budget.spend(now) {
            self.retry_at = Some(now + service.budget.wait(now));
            return;
        }
        self.retry_at = None;
        self.paid = false;
        self.begin(false, service, now, actions);
    }

    fn begin(&mut self, hedge: bool, service: &Service, now: Moment, actions: &mut Actions) {
        self.begun += 1;
        self.counted += 1;
        let live = Live {
            number: self.begun,
            started: now,
        };
        let free = self.live.iter_mut().find(|slot| slot.is_none());
        *free.expect("at most two attempts run") = Some(live);
        self.second_at = if hedge {
            None
        } else {
            timing::late_at(&self.terms, service, now)
        };
        let remains = self.terms.deadline.since(now);
        actions.push(Action::Start(Start {
            number: self.begun,
            deadline: self.terms.deadline,
            upstream_timeout: timing::upstream_timeout(remains),
            depth: self.terms.depth.saturating_add(1),
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

    fn fail_if_alone(&mut self, reason: Reason, actions: &mut Actions) {
        if self.live.iter().all(Option::is_none) {
            self.fail(reason, actions);
        }
    }

    // Gives the call up: what runs is cancelled, and the answer goes out now.
    fn fail(&mut self, reason: Reason, actions: &mut Actions) {
        let failure = self.failure(reason);
        let begun = self.offset > 0 || matches!(self.phase, Phase::Relaying { .. });
        let last = if begun {
            Action::Break(failure)
        } else {
            Action::Fail(failure)
        };
        self.finish_with(last, actions);
    }

    fn finish_with(&mut self, last: Action, actions: &mut Actions) {
        self.cancel_all(actions);
        self.phase = Phase::Finished;
        actions.push(last);
    }

    fn cancel_all(&mut self, actions: &mut Actions) {
        for live in self.live.into_iter().flatten() {
            self.risky = true;
            actions.push(Action::Cancel(live.number));
        }
        self.live = [None; 2];
    }

    fn find(&self, number: AttemptNumber) -> Option<Live> {
        self.live.into_iter().flatten().find(|l| l.number == number)
    }

    fn drop_live(&mut self, number: AttemptNumber) {
        for slot in &mut self.live {
            if slot.is_some_and(|live| live.number == number) {
                *slot = None;
            }
        }
        if self.live.iter().all(Option::is_none) {
            self.second_at = None;
        }
    }
}
