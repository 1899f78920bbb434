//! What the answers and ends of a call's attempts lead to.

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
    pub(super) fn head(
        &mut self,
        number: AttemptNumber,
        head: Head,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        let Some(live) = self.find(number) else {
            return;
        };
        if self.phase != Phase::Trying {
            return;
        }
        if head.retried {
            service.budget.charge(now);
        }
        if head.shed {
            self.drop_live(number);
            actions.push(Action::Cancel(number));
            self.retry_or_fail(Reason::Shed, service, rng, now, actions);
            return;
        }
        if self.offset > 0 && head.status != PARTIAL {
            self.risky = true;
            self.drop_live(number);
            actions.push(Action::Cancel(number));
            self.retry_or_fail(Reason::ShortBody, service, rng, now, actions);
            return;
        }
        if head.status < SERVER_ERROR {
            service.latency.record(now.since(live.started));
            self.relay(number, head, actions);
            return;
        }
        self.server_error(number, head, service, rng, now, actions);
    }

    // An upstream's own failure: relayed unless another attempt may do better.
    fn server_error(
        &mut self,
        number: AttemptNumber,
        head: Head,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        self.risky = true;
        let alone = self.live.iter().flatten().count() == 1;
        if alone && (head.retried || !self.plan_retry(service, rng, now)) {
            self.relay(number, head, actions);
            return;
        }
        self.drop_live(number);
        actions.push(Action::Cancel(number));
        self.begin_due(service, now, actions);
    }

    fn relay(&mut self, number: AttemptNumber, head: Head, actions: &mut Actions) {
        for other in self.live.into_iter().flatten() {
            if other.number != number {
                self.risky = true;
                self.drop_live(other.number);
                actions.push(Action::Cancel(other.number));
            }
        }
        let resumable = head.resumable && self.terms.class == Class::Deferred;
        self.phase = Phase::Relaying { number, resumable };
        self.second_at = None;
        actions.push(Action::Relay {
            number,
            retried: head.retried || self.begun > 1 || head.status >= SERVER_ERROR,
        });
    }

    pub(super) fn whole(&mut self, number: AttemptNumber) {
        if matches!(self.phase, Phase::Relaying { number: n, .. } if n == number) {
            self.live = [None; 2];
            self.phase = Phase::Finished;
        }
    }

    pub(super) fn ended(
        &mut self,
        number: AttemptNumber,
        ending: AttemptError,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        if self.find(number).is_none() {
            return;
        }
        self.drop_live(number);
        self.risky |= ending.may_have_run();
        if let Phase::Relaying { resumable, .. } = self.phase {
            self.resume_or_break(ending, resumable, service, rng, now, actions);
            return;
        }
        let reason = Reason::from(ending);
        let useless = ending == AttemptError::NoUpstream;
        let silent = ending == AttemptError::Timeout && self.terms.depth > 0;
        if useless || silent {
            self.fail_if_alone(reason, actions);
            return;
        }
        self.retry_or_fail(reason, service, rng, now, actions);
    }

    // The body broke while it was relayed.
    fn resume_or_break(
        &mut self,
        ending: AttemptError,
        resumable: bool,
        service: &mut Service,
        rng: &mut impl Rng,
        now: Moment,
        actions: &mut Actions,
    ) {
        self.risky = true;
        if let (AttemptError::ShortBody(offset), true) = (ending, resumable) {
            if offset > self.offset {
                self.counted = self.counted.saturating_sub(1);
            }
            self.offset = offset.max(self.offset);
            self.phase = Phase::Trying;
            // With no byte relayed yet, a whole new answer would be taken for the rest.
            if self.offset > 0 && self.plan_retry(service, rng, now) {
                self.begin_due(service, now, actions);
                return;
            }
        }
        self.finish_with(Action::Break(self.failure(Reason::ShortBody)), actions);
    }
}
