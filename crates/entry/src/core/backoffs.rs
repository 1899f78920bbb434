//! Instances that asked this process to send them nothing.

use std::sync::Arc;

use backoff::Backoff;
use backoff::Notice;
use base::prelude::*;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use slog::info;
use slog::warn;

use super::Core;
use super::State;
use crate::view::Upstream;

impl Core {
    /// Whether the instance takes requests and probes from this process now.
    #[must_use]
    pub fn takes_requests(&self, upstream: &Upstream) -> bool {
        let now = self.clock.now();
        self.state().backoffs.get(now, &upstream.run()).is_none()
    }

    /// The instance of which this is a run, if it is known.
    #[must_use]
    pub fn upstream(&self, run: &InstanceRun) -> Option<Arc<Upstream>> {
        self.state().instances.upstream(run)
    }

    /// Records what the instance asks of this process in the head of its response to `cause`, a
    /// request's id or a probe.
    pub fn record_notices(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
        cause: &str,
    ) {
        let leaving = headers.get(&self.dialect.leaving);
        let delays = headers.get_all(&self.dialect.retry_after);
        let delays = delays.iter().map(HeaderValue::as_bytes);
        let leaving = leaving.map(HeaderValue::as_bytes);
        match backoff::read_head(status.as_u16(), leaving, delays) {
            Ok(Some(notice)) => self.record_notice(upstream, notice, status, cause),
            Ok(None) => {}
            Err(err) => warn!(self.log, "invalid backoff"; "instance" => %upstream.id,
                "value" => ?headers.get(&self.dialect.retry_after), "error" => %err),
        }
    }

    fn record_notice(&self, upstream: &Upstream, notice: Notice, status: StatusCode, cause: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        let jitter = rand::random();
        let changed = state.backoffs.record(now, &upstream.run(), notice, jitter);
        let Some(backoff) = changed else {
            return;
        };
        apply_backoff(&mut state, &upstream.service, &upstream.run(), backoff);
        drop(state);
        let reason: &'static str = backoff.into();
        let left = backoff.remaining(now).map(|left| left.as_millis());
        info!(self.log, "hold"; "reason" => reason, "instance" => %upstream.id,
            "incarnation" => upstream.incarnation, "service" => %upstream.service,
            "status" => status.as_u16(), "request" => cause, "left_ms" => left);
        self.counters.backed_off(&upstream.service, reason);
    }
}

/// Passes an instance's backoff to its service's balancer.
fn apply_backoff(state: &mut State, service: &ServiceName, run: &InstanceRun, backoff: Backoff) {
    if let Some(balancer) = state.balancers.get_mut(service) {
        balancer.set_backoff(run, backoff);
    }
}

/// Passes the known backoffs to a service's balancer, which forgets them with an instance that its
/// list lacked or that drained.
pub(super) fn apply_known_backoffs(state: &mut State, service: &ServiceName, now: Moment) {
    let backoffs: Vec<(InstanceRun, Backoff)> = state
        .backoffs
        .iter(now)
        .map(|(run, backoff)| (run.clone(), backoff))
        .collect();
    for (run, backoff) in backoffs {
        apply_backoff(state, service, &run, backoff);
    }
}
