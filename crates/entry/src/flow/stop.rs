//! Requests while the process stops.
//!
//! Nothing is passed on that can't be answered before the end of the grace period, by what is known of
//! the service's response times. Such a request is refused before it leaves, so that its caller can
//! send it elsewhere at once.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use attempt::stop::Grace;
use base::prelude::*;
use slog::info;
use table::Kind;
use tokio::time::Instant;

use super::Flow;
use super::Outcome;
use super::millis;
use crate::body::ForwardedBody;
use crate::body::Transfer;
use crate::core::Core;
use crate::exchange::AttemptEnd;
use crate::refusal::Reason;

/// Completes at the end of the grace period.
pub(super) async fn grace_ended(core: &Core) {
    let end = begun(core).await.end();
    tokio::time::sleep_until(core.clock.instant(end)).await;
}

/// Waits until the process begins to stop.
async fn begun(core: &Core) -> Grace {
    let mut grace = core.grace.subscribe();
    let begun = grace.wait_for(Option::is_some).await;
    match begun.ok().and_then(|grace| *grace) {
        Some(grace) => grace,
        None => std::future::pending().await,
    }
}

/// Runs `step` unless it becomes too late to pass the request on before its body has arrived.
async fn hold_during<T>(
    core: &Core,
    transfer: &Transfer,
    latest_start: impl Fn(Grace) -> Moment,
    step: impl Future<Output = T>,
) -> Result<T, Reason> {
    if transfer.is_complete() {
        return Ok(step.await);
    }
    let too_late = async {
        let latest = latest_start(begun(core).await);
        tokio::time::sleep_until(core.clock.instant(latest)).await;
        if transfer.is_complete() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        biased;
        result = step => Ok(result),
        () = too_late => Err(Reason::Stopping),
    }
}

impl Flow {
    /// Fails if the process stops and the response of an attempt that takes `expected` would come too
    /// late, or the request's long body hasn't arrived and it may run once only: when the rest of it
    /// comes, the attempt can't be taken back.
    pub(super) fn check_stop(
        &self,
        body: &ForwardedBody,
        expected: Duration,
    ) -> Result<(), Reason> {
        let Some(grace) = *self.core.grace.borrow() else {
            return Ok(());
        };
        let now = self.core.clock.now();
        let latest = self.latest_start(expected)(grace);
        let is_arriving = body.spool().is_none() && !body.transfer().is_complete();
        if now <= latest && !(is_arriving && self.route.kind == Kind::Once) {
            return Ok(());
        }
        info!(self.core.log, "stopping"; "request" => self.request.id.to_str().unwrap_or("-"),
            "service" => %self.service, "attempt" => self.attempts, "arriving" => is_arriving,
            "needed_ms" => millis(self.response_time().max(expected)),
            "left_ms" => millis(grace.end().since(now)));
        Err(Reason::Stopping)
    }

    /// While the process stops, waits for the rest of a body that is buffered, so that nothing has
    /// left if it comes too late.
    pub(super) async fn complete_body(&self, body: &ForwardedBody) {
        if self.core.grace.borrow().is_some()
            && let Some(spool) = body.spool()
        {
            spool.fill().await;
        }
    }

    /// For how long the request may wait before it is passed on; `None` unless the process stops.
    pub(super) fn wait_until_stop(&self) -> Option<Duration> {
        let grace = (*self.core.grace.borrow())?;
        let latest = self.latest_start(Duration::ZERO)(grace);
        Some(latest.since(self.core.clock.now()))
    }

    /// When an attempt that takes `expected` may begin at the latest.
    fn latest_start(&self, expected: Duration) -> impl Fn(Grace) -> Moment + use<> {
        let time = self.response_time().max(expected);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let deadline = self.core.clock.now() + left;
        move |grace| grace.latest_start(time, deadline)
    }

    /// The longest response time of the service's recent requests.
    fn response_time(&self) -> Duration {
        self.core
            .route_stats(&self.route, |stats| stats.longest_time())
    }

    /// Makes one attempt; fails if it becomes too late for it before the request's body has arrived.
    pub(super) async fn attempt_before_stop(
        &mut self,
        body: ForwardedBody,
        transfer: &Transfer,
    ) -> Result<Result<AttemptEnd, Reason>, Reason> {
        let (core, latest_start) = (self.core.clone(), self.latest_start(Duration::ZERO));
        let attempt = pin!(self.attempt_while_allowed(body, transfer));
        hold_during(&core, transfer, latest_start, attempt).await?
    }

    /// Relays the request; refuses it if it becomes too late before its body has arrived.
    pub(super) async fn relay_before_stop(
        &mut self,
        body: ForwardedBody,
        transfer: &Transfer,
    ) -> Result<Outcome, ForwardedBody> {
        let (core, latest_start) = (self.core.clone(), self.latest_start(Duration::ZERO));
        let end = {
            let relaying = pin!(self.relay_while_allowed(body, transfer));
            hold_during(&core, transfer, latest_start, relaying).await
        };
        end.unwrap_or_else(|reason| Ok(self.fallback(reason)))
    }
}
