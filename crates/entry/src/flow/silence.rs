//! Watches an attempt that has no response, and moves the request to another instance if the first
//! has probably lost it.

use attempt::silence::Cause;
use attempt::silence::Limits;
use attempt::silence::Silence;
use attempt::silence::Step;
use base::prelude::*;
use route::LoadReport;
use slog::info;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Flow;
use super::millis;
use crate::balancer::Balancer;
use crate::balancer::RetryShare;
use crate::balancer::SelectedInstance;
use crate::body::ForwardedBody;
use crate::body::Spool;
use crate::probe;
use crate::search::SearchResult;

/// An attempt that may be abandoned.
pub(super) struct Watch {
    selected: SelectedInstance,
    limits: Limits,
    /// The request's body, if it may still be arriving.
    spool: Option<Spool>,
}

/// Why an attempt isn't abandoned.
const NO_TIME: &str = "no-time";
const NO_BUDGET: &str = "no-budget";
const NO_INSTANCE: &str = "no-instance";

impl Flow {
    /// What to watch of an attempt that starts; `None` if the request may not be sent again.
    pub(super) fn watch(&self, selected: &SelectedInstance, body: &ForwardedBody) -> Option<Watch> {
        let may_move = self.route.kind.is_idempotent()
            && self.attempts < self.max_attempts
            && !self.is_suspected
            && body.replay().is_some();
        let expected = selected.choice.expected;
        may_move.then(|| Watch {
            selected: SelectedInstance {
                upstream: selected.upstream.clone(),
                choice: selected.choice,
                grant: None,
            },
            limits: self
                .core
                .route_stats(&self.route, |stats| stats.silence_limits(expected)),
            spool: body.spool(),
        })
    }

    /// Waits until the attempt is to be abandoned, and returns the instance for the next one, which
    /// is paid for. `sent_at` tells when the request was sent.
    pub(super) async fn wait_until_abandoned(
        &self,
        watch: Option<Watch>,
        mut sent_at: watch::Receiver<Option<Moment>>,
    ) -> Box<SelectedInstance> {
        let sent_at = sent_at.wait_for(Option::is_some).await;
        let sent_at = sent_at.ok().and_then(|sent_at| *sent_at);
        let (Some(watch), Some(sent_at)) = (watch, sent_at) else {
            return std::future::pending().await;
        };
        let mut silence = Silence::new(sent_at, watch.limits);
        let mut was_declined = false;
        loop {
            match silence.step(self.core.clock.now()) {
                Step::Wait(until) => {
                    tokio::time::sleep_until(self.core.clock.instant(until)).await;
                }
                // The instance doesn't know the whole request yet.
                _ if !watch.is_body_sent() => {
                    silence = Silence::new(self.core.clock.now(), watch.limits);
                }
                Step::Probe => self.check(&watch, &mut silence).await,
                Step::Abandon(cause) => {
                    let next = self.next_instance().await;
                    if next.is_ok() || !was_declined {
                        self.log_silence(&watch, &silence, cause, &next);
                    }
                    match next {
                        Ok((next, _)) => return Box::new(next),
                        Err(_) => was_declined = true,
                    }
                    silence.decline(self.core.clock.now());
                }
            }
        }
    }

    /// Requests a report of the instance.
    async fn check(&self, watch: &Watch, silence: &mut Silence) {
        let pick = watch.selected.choice.pick;
        let probed_at = self.core.clock.now();
        let asked = self.balancer(|balancer, now| {
            if balancer.is_suspected(pick) {
                silence.suspect();
            }
            balancer.begin_probe(now, pick)
        });
        if asked != Some(true) {
            silence.decline(probed_at);
            return;
        }
        let report = probe::probe_instance(&self.core, pick, &watch.selected.upstream).await;
        let held = report.map(|report| self.held(report));
        let now = self.core.clock.now();
        match held {
            Some(held) => silence.record_report(now, probed_at, held),
            None => silence.record_no_report(now),
        }
        info!(self.core.log, "silence checked"; "request" => self.request_id(),
            "attempt" => self.attempts, "instance" => %watch.selected.upstream.id,
            "service" => %self.service, "held" => held.map_or(-1, i64::from),
            "suspected" => silence.is_suspected(), "age_ms" => millis(now.since(probed_at)),
            "waited_ms" => millis(now.since(silence.sent_at())));
    }

    /// The requests that the instance holds; at least one if its reports don't count them.
    fn held(&self, report: LoadReport) -> u32 {
        let counts = self.balancer(|balancer, _| balancer.reports_count_requests());
        let held = report.running + report.waiting;
        if counts == Some(true) {
            held
        } else {
            held.max(1)
        }
    }

    /// Finds an instance that takes the request now, and pays for the attempt there.
    async fn next_instance(&self) -> Result<(SelectedInstance, RetryShare), &'static str> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let is_too_late = self.wait_until_stop().is_some_and(|left| left.is_zero());
        if remaining <= self.work_time() || is_too_late {
            return Err(NO_TIME);
        }
        let share = self.balancer(|balancer, now| balancer.retry_share(now));
        let share = share.filter(|share| share.tokens > 0.0).ok_or(NO_BUDGET)?;
        let busy = self.balancer(|balancer, _| balancer.is_busy());
        let found = self
            .find_instance(&self.search_request(), busy == Some(true))
            .await;
        let SearchResult::Selected(selected) = found else {
            return Err(NO_INSTANCE);
        };
        let is_other = !self.exclude.contains(&selected.choice.pick);
        let paid = is_other && self.balancer(Balancer::try_spend_retry) == Some(true);
        match (is_other, paid) {
            (false, _) => Err(NO_INSTANCE),
            (true, false) => Err(NO_BUDGET),
            (true, true) => Ok((selected, share)),
        }
    }

    fn log_silence(
        &self,
        watch: &Watch,
        silence: &Silence,
        cause: Cause,
        next: &Result<(SelectedInstance, RetryShare), &'static str>,
    ) {
        let (outcome, next, share) = match next {
            Ok((next, share)) => ("abandoned", next.upstream.id.as_str(), *share),
            Err(reason) => (*reason, "-", RetryShare::default()),
        };
        info!(self.core.log, "silent attempt"; "request" => self.request_id(),
            "attempt" => self.attempts, "instance" => %watch.selected.upstream.id,
            "service" => %self.service, "outcome" => outcome, "cause" => %cause, "next" => next,
            "suspected" => silence.is_suspected(),
            "waited_ms" => millis(self.core.clock.now().since(silence.sent_at())),
            "limit_ms" => millis(watch.limits.unsuspected),
            "suspected_limit_ms" => millis(watch.limits.suspected),
            "left_ms" => millis(self.deadline.saturating_duration_since(Instant::now())),
            "tokens" => format!("{:.2}", share.tokens), "processes" => share.processes);
        self.core
            .counters
            .silent(&self.service, outcome, cause.into());
    }

    fn request_id(&self) -> &str {
        self.request.id.to_str().unwrap_or("-")
    }
}

impl Watch {
    fn is_body_sent(&self) -> bool {
        self.spool.as_ref().is_none_or(Spool::is_complete)
    }
}
