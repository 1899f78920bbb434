//! Handling of the responses and failures of a call's attempts.

use base::prelude::*;
use rand::Rng;

use crate::action::Action;
use crate::action::Actions;
use crate::action::Reason;
use crate::call::Call;
use crate::call::Phase;
use crate::event::AttemptError;
use crate::event::AttemptNumber;
use crate::event::Head;
use crate::service::Service;

const PARTIAL: u16 = 206;
const SERVER_ERROR: u16 = 500;

impl Call {
    pub(super) fn handle_head(
        &mut self,
        number: AttemptNumber,
        head: Head,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        let Some(attempt) = self.race.find(number) else {
            return;
        };
        if self.phase != Phase::Trying {
            return;
        }
        if head.retried {
            service.budget.charge(now);
        }
        if head.shed {
            self.race.remove(number);
            actions.push(Action::Cancel(number));
            self.retry_or_fail(Reason::Shed, service, rng, now, actions);
            return;
        }
        if self.offset > 0 && head.status != PARTIAL {
            self.may_have_run = true;
            self.race.remove(number);
            actions.push(Action::Cancel(number));
            self.retry_or_fail(Reason::ShortBody, service, rng, now, actions);
            return;
        }
        if head.status < SERVER_ERROR {
            service.latency.record(now.since(attempt.started_at));
            self.relay(number, head, actions);
            return;
        }
        self.server_error(number, head, service, rng, now, actions);
    }

    // The upstream answered with a server error. It is relayed unless another attempt is in
    // flight or can be started.
    fn server_error(
        &mut self,
        number: AttemptNumber,
        head: Head,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        self.may_have_run = true;
        if self.race.is_single() && (head.retried || !self.schedule_retry(service, rng, now)) {
            self.relay(number, head, actions);
            return;
        }
        self.race.remove(number);
        actions.push(Action::Cancel(number));
        self.start_due_retry(service, now, actions);
    }

    fn relay(&mut self, number: AttemptNumber, head: Head, actions: &mut Actions) {
        if let Some(other) = self.race.win(number) {
            self.may_have_run = true;
            actions.push(Action::Cancel(other.number));
        }
        let resumable = head.resumable && self.context.class == Class::Deferred;
        self.phase = Phase::Relaying { number, resumable };
        actions.push(Action::Relay {
            number,
            retried: head.retried || self.started > 1 || head.status >= SERVER_ERROR,
        });
    }

    pub(super) fn complete(&mut self, number: AttemptNumber) {
        if matches!(self.phase, Phase::Relaying { number: n, .. } if n == number) {
            self.race.clear();
            self.phase = Phase::Finished;
        }
    }

    pub(super) fn attempt_failed(
        &mut self,
        number: AttemptNumber,
        err: AttemptError,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        if self.race.find(number).is_none() {
            return;
        }
        self.race.remove(number);
        self.may_have_run |= err.may_have_run();
        if let Phase::Relaying { resumable, .. } = self.phase {
            self.resume_or_break(err, resumable, service, rng, now, actions);
            return;
        }
        let reason = Reason::from(err);
        let is_final = matches!(
            err,
            AttemptError::NoUpstream | AttemptError::Quarantined | AttemptError::Suspected
        );
        let timeout_below_edge = err == AttemptError::Timeout && self.context.depth > 0;
        if is_final || timeout_below_edge {
            self.fail_if_none_in_flight(reason, actions);
            return;
        }
        self.retry_or_fail(reason, service, rng, now, actions);
    }

    // The body was truncated while it was relayed.
    fn resume_or_break(
        &mut self,
        err: AttemptError,
        resumable: bool,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        self.may_have_run = true;
        if let (AttemptError::ShortBody(offset), true) = (err, resumable) {
            if offset > self.offset {
                self.counted_attempts = self.counted_attempts.saturating_sub(1);
            }
            self.offset = offset.max(self.offset);
            self.phase = Phase::Trying;
            // At offset 0, a complete new response could not be told from the missing rest.
            if self.offset > 0 && self.schedule_retry(service, rng, now) {
                self.start_due_retry(service, now, actions);
                return;
            }
        }
        self.finish(Action::Break(self.failure(Reason::ShortBody)), actions);
    }
}
