//! Instances that asked this process to send them nothing.

use std::sync::Arc;

use base::prelude::*;
use hold::Hold;
use hold::Notice;
use hold::RetryAfter;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use slog::info;
use slog::warn;

use super::Core;
use super::State;
use crate::view::Upstream;

/// Value of the header of an instance that isn't shutting down.
const NOT_LEAVING: &str = "0";

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
        // Another instance has the address now.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let leaving = headers.get(&self.dialect.leaving);
        if leaving.is_some_and(|value| value != NOT_LEAVING) {
            self.record_notice(upstream, Notice::Leaving, status, cause);
        } else if let Some(notice) = self.requested_rest(upstream, status, headers) {
            self.record_notice(upstream, notice, status, cause);
        }
    }

    /// The rest for which the instance asks in a response that refuses a request or a probe.
    fn requested_rest(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<Notice> {
        if !hold::may_ask_for_rest(status.as_u16()) {
            return None;
        }
        let values = headers.get_all(&self.dialect.rest);
        match RetryAfter::parse(values.iter().map(HeaderValue::as_bytes)) {
            RetryAfter::Rest(rest) => Some(Notice::Rest(rest)),
            RetryAfter::Absent => None,
            RetryAfter::Invalid => {
                warn!(self.log, "invalid rest"; "instance" => %upstream.id,
                    "value" => ?headers.get(&self.dialect.rest));
                None
            }
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
        let (reason, left) = match hold {
            Hold::Until(end) => ("rest", end.since(now).as_millis().to_string()),
            Hold::Leaving => ("leaving", "-".to_owned()),
        };
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
