//! Handling of responses: checks them, relays them, and fails calls.

use std::time::Duration;

use admit::Finish;
use attempt::AttemptError;
use attempt::Event;
use attempt::Failure;
use attempt::event::AttemptNumber;
use base::header;
use base::prelude::*;
use bytes::Bytes;
use correlate::Owner;
use correlate::Verdict;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::ACCEPT_RANGES;
use http::header::ETAG;
use http::header::RANGE;
use route::OutcomeKind;
use slog::info;

use crate::attempt_guard::EndedAttempt;
use crate::call::classify::attempt_error_of;
use crate::call::classify::kind_of;
use crate::call::classify::kind_of_response;
use crate::call::classify::range_start;
use crate::call::classify::reason_of;
use crate::call::driver::Driver;
use crate::call::state::AnsweredAttempt;
use crate::call::state::CallerChannel;
use crate::call::state::CheckedAttempt;
use crate::call::state::PendingAttempt;
use crate::call::state::RelayingAttempt;
use crate::correlation;
use crate::instance_clients::SendError;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::RelayedResponse;
use crate::relay::UpstreamResponse;
use crate::view::UpstreamInstance;

impl Driver {
    pub(super) fn on_response_head(
        &mut self,
        number: AttemptNumber,
        result: std::result::Result<UpstreamResponse, SendError>,
    ) {
        let Some(index) = self.pending.iter().position(|a| a.start.number == number) else {
            return;
        };
        let PendingAttempt {
            start, mut guard, ..
        } = self.pending.swap_remove(index);
        let response = match result {
            Ok(response) => response,
            Err(err) => {
                let pick = guard.pick();
                let ended = guard.end(kind_of(&err));
                info!(self.log, "attempt failed"; "attempt" => number, "error" => %err);
                if matches!(err, SendError::Connect(_)) {
                    self.unreachable.extend(pick);
                }
                let is_unsent = matches!(err, SendError::Connect(_) | SendError::Withheld);
                if is_unsent && self.connect_elsewhere(start) {
                    return;
                }
                let is_broken = matches!(
                    err,
                    SendError::NoAnswer(_) | SendError::Framing(_) | SendError::EndlessInterim
                );
                self.on_failed(number, attempt_error_of(&err), ended.filter(|_| is_broken));
                return;
            }
        };
        let verdict = response.judge(&self.request.head.id);
        self.record_owner(&guard.upstream(), &response, &verdict);
        if let Some(err) = self.reject_response(&response, &verdict) {
            guard.set_kind(OutcomeKind::Error);
            drop(guard);
            info!(self.log, "answer refused"; "attempt" => number, "ending" => <&str>::from(err));
            self.step(Event::AttemptFailed(number, err));
            return;
        }
        let Ok(charge) = self.request.client.begin_response_now(response.length) else {
            guard.set_kind(OutcomeKind::Error);
            drop(guard);
            info!(self.log, "no memory for answer"; "attempt" => number);
            self.step(Event::AttemptFailed(number, AttemptError::NoAnswer));
            return;
        };
        guard.record_head(&response.headers);
        guard.set_kind(kind_of_response(&response, &verdict));
        let head = self.response_head(&response, &verdict);
        if head.shed {
            self.core.queue.shed(&self.request.head.service.name);
        }
        self.answered.push(AnsweredAttempt {
            number,
            guard,
            response,
            charge,
        });
        self.step(Event::Head(number, head));
    }

    /// Logs and counts a refusal, or a response that isn't the request's own.
    fn record_owner(
        &self,
        upstream: &UpstreamInstance,
        response: &UpstreamResponse,
        verdict: &Verdict,
    ) {
        let (core, log, headers) = (&self.core, &self.log, &response.headers);
        match verdict {
            Verdict::Foreign(owner) => {
                correlation::record_foreign(core, log, upstream, *owner, response.status, headers);
            }
            Verdict::NotRun(_) => {
                correlation::record_refusal(core, log, upstream, Owner::Sent, headers);
            }
            Verdict::Answered => {}
        }
    }

    /// Handles a failed attempt. If it broke off at an instance and may be retried, that is
    /// decided once it is known whether the request crashed the instance.
    pub(super) fn on_failed(
        &mut self,
        number: AttemptNumber,
        err: AttemptError,
        broken: Option<EndedAttempt>,
    ) {
        let Some(attempt) = broken else {
            self.step(Event::AttemptFailed(number, err));
            return;
        };
        let check = self.core.check_crash(&self.request.identity, attempt);
        if !self.call.may_retry_after(err) {
            self.step(Event::AttemptFailed(number, err));
            return;
        }
        let remaining = self.request.head.deadline.since(self.core.clock.now());
        self.checking.push(CheckedAttempt {
            number,
            err,
            may_retry: Box::pin(check.may_retry(number.into(), remaining)),
        });
    }

    pub(super) fn on_checked(&mut self, number: AttemptNumber, may_retry: bool) {
        let Some(index) = self.checking.iter().position(|a| a.number == number) else {
            return;
        };
        let CheckedAttempt { err, .. } = self.checking.swap_remove(index);
        let quarantine = self.core.check_quarantine(&self.request.identity);
        self.quarantine = quarantine;
        let err = match quarantine {
            Some(_) => AttemptError::Quarantined,
            None if !may_retry => AttemptError::Suspected,
            None => err,
        };
        info!(self.log, "attempt checked"; "attempt" => number, "may_retry" => may_retry,
            "ending" => <&str>::from(err));
        self.step(Event::AttemptFailed(number, err));
    }

    /// How the attempt ends if the response is unusable: it belongs to another request,
    /// its end is undefined, it promises what isn't proven, or it doesn't resume the body where it
    /// broke off.
    pub(super) fn reject_response(
        &self,
        response: &UpstreamResponse,
        verdict: &Verdict,
    ) -> Option<AttemptError> {
        if matches!(verdict, Verdict::Foreign(_)) {
            return Some(AttemptError::Mismatch);
        }
        if !response.framed {
            return Some(AttemptError::NoAnswer);
        }
        let is_answered = matches!(verdict, Verdict::Answered);
        let is_unsafe = !self.request.head.service.class.is_idempotent();
        if is_answered && is_unsafe && correlate::promises_not_run(response.status) {
            return Some(AttemptError::Unproven);
        }
        let resumed = self.received_bytes > 0 && response.status == StatusCode::PARTIAL_CONTENT;
        if resumed && range_start(&response.headers) != Some(self.received_bytes) {
            return Some(AttemptError::Mismatch);
        }
        None
    }

    pub(super) fn response_head(
        &self,
        response: &UpstreamResponse,
        verdict: &Verdict,
    ) -> attempt::Head {
        attempt::Head {
            status: response.status.as_u16(),
            shed: matches!(verdict, Verdict::NotRun(_)),
            retried: response.headers.contains_key(header::RETRIED),
            resumable: self.is_resumable(response),
        }
    }

    /// Whether a truncated body can be resumed by a range request.
    pub(super) fn is_resumable(&self, response: &UpstreamResponse) -> bool {
        let is_range_request = self.request.headers.contains_key(RANGE);
        let accepts_ranges = response
            .headers
            .get(ACCEPT_RANGES)
            .is_some_and(|v| v == "bytes");
        let has_strong_etag = response
            .headers
            .get(ETAG)
            .is_some_and(|v| v.as_bytes().starts_with(b"\""));
        let is_status_ok = response.status == StatusCode::OK
            || (response.status == StatusCode::PARTIAL_CONTENT && self.received_bytes > 0);
        self.request.method == Method::GET
            && !is_range_request
            && accepts_ranges
            && has_strong_etag
            && is_status_ok
    }

    pub(super) fn cancel_attempt(&mut self, number: AttemptNumber, cause: Option<Event>) {
        // An attempt that is cancelled by a timer counts as timed out.
        let timed_out = matches!(cause, Some(Event::Tick));
        if let Some(index) = self.pending.iter().position(|a| a.start.number == number) {
            let mut pending = self.pending.swap_remove(index);
            if timed_out {
                pending.guard.set_kind(OutcomeKind::Timeout);
            }
        }
        self.checking.retain(|a| a.number != number);
        self.answered.retain(|a| a.number != number);
        if self.relaying.as_ref().is_some_and(|a| a.number == number) {
            let relaying = self.relaying.take();
            if let Some(mut relaying) = relaying.filter(|_| timed_out && self.chunk.is_none()) {
                relaying.guard.set_kind(OutcomeKind::Timeout);
            }
        }
    }

    pub(super) fn relay(&mut self, number: AttemptNumber, marked: bool) {
        let Some(index) = self.answered.iter().position(|a| a.number == number) else {
            return;
        };
        let AnsweredAttempt {
            guard,
            response,
            charge,
            ..
        } = self.answered.swap_remove(index);
        self.etag = response.headers.get(ETAG).cloned();
        let caller = std::mem::replace(&mut self.caller, CallerChannel::Closed);
        self.caller = match caller {
            CallerChannel::Head(send) => {
                let (sender, mut relayed) = RelayedResponse::begin(&response);
                if marked {
                    let mark = HeaderValue::from_static("1");
                    relayed.headers.insert(header::RETRIED, mark);
                }
                // If the caller has disconnected, the channel of the body shows it.
                let _ = send.send(Ok(relayed));
                CallerChannel::Body(sender)
            }
            resumed => resumed,
        };
        self.relaying = Some(RelayingAttempt {
            number,
            guard,
            succeeded: !response.status.is_server_error(),
            chunks: response.body,
            _charge: charge,
        });
    }

    pub(super) fn on_chunk(&mut self, bytes: Bytes) {
        self.received_bytes += bytes.len() as u64;
        if matches!(self.caller, CallerChannel::Body(_)) && !bytes.is_empty() {
            self.chunk = Some(bytes);
        }
    }

    pub(super) fn on_truncated(&mut self) {
        let Some(RelayingAttempt { number, guard, .. }) = self.relaying.take() else {
            return;
        };
        let ended = guard.end(OutcomeKind::Error);
        info!(self.log, "answer short"; "attempt" => number, "bytes" => self.received_bytes);
        let err = AttemptError::ShortBody(self.received_bytes);
        self.on_failed(number, err, ended);
    }

    pub(super) fn on_complete(&mut self) {
        let Some(relaying) = self.relaying.take() else {
            return;
        };
        let number = relaying.number;
        if relaying.succeeded {
            let fingerprint = self.request.identity.fingerprint;
            self.core.guard.record_success(fingerprint);
            relaying.guard.record_end();
        }
        drop(relaying);
        if let CallerChannel::Body(send) = &self.caller {
            // The empty chunk marks a complete body; `relay_step` released capacity for it.
            let _ = send.try_send(Ok(Bytes::new()));
        }
        self.set_finish(Finish::Answered);
        self.step(Event::Complete(number));
    }

    pub(super) fn set_finish(&mut self, finish: Finish) {
        if let Some(permit) = &mut self.request.permit {
            permit.set_finish(finish);
        }
    }

    pub(super) fn fail(&mut self, failure: Failure) {
        let mut reason = reason_of(failure.reason);
        if let (Reason::NoUpstream, Some(start_failure)) = (reason, self.start_failure) {
            reason = start_failure;
        }
        let backoff = self.balancer.backoff_remaining(self.core.clock.now());
        if reason == Reason::NoUpstream && backoff.is_some() {
            reason = Reason::BackedOff;
        }
        let mut status = StatusCode::from_u16(failure.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        if self.request.body.is_over_limit() {
            status = StatusCode::PAYLOAD_TOO_LARGE;
            reason = Reason::BodyTooLarge;
        }
        let refusal = Refusal {
            status,
            outcome: failure.outcome,
            reason,
            retry_after: self.quarantine.or_else(|| {
                let estimate = (failure.outcome == Outcome::NotRun).then(|| self.retry_after());
                estimate.map(|estimate| estimate.max(backoff.unwrap_or_default()))
            }),
            retried: true,
        };
        self.set_finish(if reason == Reason::Shed {
            Finish::Shed
        } else {
            Finish::Failed
        });
        info!(self.log, "call failed";
            "outcome" => <&str>::from(refusal.outcome),
            "reason" => <&str>::from(refusal.reason),
        );
        if let CallerChannel::Head(send) =
            std::mem::replace(&mut self.caller, CallerChannel::Closed)
        {
            let _ = send.send(Err(refusal));
        }
    }

    pub(super) fn retry_after(&self) -> Duration {
        self.core.queue.retry_after(&self.request.head.service.name)
    }

    pub(super) fn abort_response(&mut self, failure: Failure) {
        self.set_finish(Finish::Failed);
        info!(self.log, "call broken"; "reason" => <&str>::from(failure.reason));
        // Without the end mark the caller sees a truncated response.
        self.caller = CallerChannel::Closed;
    }
}
