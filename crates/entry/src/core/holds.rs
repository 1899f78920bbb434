//! Instances that asked this process to send them nothing.

use std::sync::Arc;

use base::prelude::*;
use hold::Hold;
use hold::Notice;
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
        self.state().holds.get(now, &upstream.run()).is_none()
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
        let rests = headers.get_all(&self.dialect.rest);
        let rests = rests.iter().map(HeaderValue::as_bytes);
        let leaving = leaving.map(HeaderValue::as_bytes);
        match hold::read_head(status.as_u16(), leaving, rests) {
            Ok(Some(notice)) => self.record_notice(upstream, notice, status, cause),
            Ok(None) => {}
            Err(err) => warn!(self.log, "invalid rest"; "instance" => %upstream.id,
                "value" => ?headers.get(&self.dialect.rest), "error" => %err),
        }
    }

    fn record_notice(&self, upstream: &Upstream, notice: Notice, status: StatusCode, cause: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        let jitter = rand::random();
        let changed = state.holds.record(now, &upstream.run(), notice, jitter);
        let Some(hold) = changed else {
            return;
        };
        apply_hold(&mut state, &upstream.service, &upstream.run(), hold);
        drop(state);
        let reason: &'static str = hold.into();
        let left = hold.remaining(now).map(|left| left.as_millis());
        info!(self.log, "hold"; "reason" => reason, "instance" => %upstream.id,
            "incarnation" => upstream.incarnation, "service" => %upstream.service,
            "status" => status.as_u16(), "request" => cause, "left_ms" => left);
        self.counters.held(&upstream.service, reason);
    }
}

/// Passes an instance's hold to its service's balancer.
fn apply_hold(state: &mut State, service: &ServiceName, run: &InstanceRun, hold: Hold) {
    if let Some(balancer) = state.balancers.get_mut(service) {
        balancer.set_hold(run, hold);
    }
}

/// Passes the known holds to a service's balancer, which forgets them with an instance that its
/// list lacked or that drained.
pub(super) fn apply_known_holds(state: &mut State, service: &ServiceName, now: Moment) {
    let holds: Vec<(InstanceRun, Hold)> = state
        .holds
        .iter(now)
        .map(|(run, hold)| (run.clone(), hold))
        .collect();
    for (run, hold) in holds {
        apply_hold(state, service, &run, hold);
    }
}
