//! Limits that instances name.

use std::net::SocketAddr;

use base::prelude::*;
use http::HeaderMap;
use limit::Change;
use limit::NamedLimit;
use limit::Source;
use slog::info;
use slog::warn;
use tokio::time::Instant;
use wire::hub::Limit;

use super::Core;
use super::State;
use crate::view::Upstream;

impl Core {
    /// Records the limit that an instance names, or no longer names, in its response to a request
    /// sent at `sent_at`.
    pub fn record_limit(
        &self,
        upstream: &Upstream,
        headers: &HeaderMap,
        sent_at: Instant,
        source: Source,
    ) {
        let named = headers.get(&self.dialect.limit);
        let text = named.map(|value| value.to_str().unwrap_or_default());
        let rate = text.and_then(self.dialect.read_limit);
        if rate.is_none() && named.is_some() {
            warn!(self.log, "invalid limit"; "instance" => %upstream.id, "value" => ?named);
            return;
        }
        let now = self.clock.now();
        let named = NamedLimit {
            run: upstream.run(),
            service: upstream.service.clone(),
            rate,
            heard_at: now,
        };
        let mut state = self.state();
        let change = if rate.is_some() {
            state.limits.record(now, named.clone(), source)
        } else {
            let sent_at = now.before(sent_at.elapsed());
            state
                .limits
                .record_absence(now, &named.run, sent_at, source)
        };
        self.apply_limit_change(&mut state, now, &named, change, source);
        let newest = state.limits.newest();
        drop(state);
        self.newest_limit
            .send_if_modified(|last| std::mem::replace(last, newest) != newest);
    }

    /// Applies the limits reported by the hub at `hub`.
    pub fn apply_limits(&self, hub: SocketAddr, rows: &[Limit]) {
        let now = self.clock.now();
        let mut state = self.state();
        for row in rows {
            match NamedLimit::from_wire(now, row) {
                Ok(named) => {
                    let change = state.limits.record(now, named.clone(), Source::Hub);
                    self.apply_limit_change(&mut state, now, &named, change, Source::Hub);
                }
                Err(err) => {
                    warn!(self.log, "ignored an invalid limit"; "hub" => %hub, "error" => %err);
                }
            }
        }
    }

    /// Removes limits that weren't heard for a long time.
    pub fn expire_limits(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        for expired in state.limits.remove_expired(now) {
            if let Some(balancer) = state.balancers.get_mut(&expired.service) {
                balancer.set_limit(now, &expired.run, None);
            }
            info!(self.log, "instance limit"; "instance" => %expired.run.instance,
                "incarnation" => expired.run.incarnation, "service" => %expired.service,
                "per_second" => "none", "source" => "expiry");
        }
    }

    /// Passes a change of an instance's limit to its service's balancer, and logs it.
    fn apply_limit_change(
        &self,
        state: &mut State,
        now: Moment,
        named: &NamedLimit,
        change: Change,
        source: Source,
    ) {
        let rate = match change {
            Change::Unchanged => return,
            Change::Limited(rate) => Some(rate),
            Change::Ended => None,
        };
        if let Some(balancer) = state.balancers.get_mut(&named.service) {
            balancer.set_limit(now, &named.run, rate);
        }
        info!(self.log, "instance limit"; "instance" => %named.run.instance,
            "incarnation" => named.run.incarnation, "service" => %named.service,
            "per_second" => rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
            "source" => %source, "age_ms" => now.since(named.heard_at).as_millis());
        self.counters.limit_changed(&named.service, source.into());
    }
}

/// Passes the known limits of a service's instances to its balancer, which may not have known
/// the instances when the limits were heard.
pub(super) fn apply_known_limits(state: &mut State, service: &ServiceName, now: Moment) {
    let Some(balancer) = state.balancers.get_mut(service) else {
        return;
    };
    for (run, rate) in state.limits.of_service(now, service) {
        balancer.set_limit(now, run, Some(rate));
    }
}
