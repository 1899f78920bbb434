//! Limits that instances name.

use base::prelude::*;
use http::HeaderMap;
use limit::Change;
use limit::Report;
use limit::Source;
use slog::info;
use slog::warn;
use tokio::time::Instant;

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
        let run = InstanceRun {
            instance: upstream.id.clone(),
            incarnation: upstream.incarnation,
        };
        let mut state = self.state();
        let change = if rate.is_some() {
            let report = Report {
                run,
                service: upstream.service.clone(),
                rate,
                heard_at: now,
            };
            state.limits.record(now, report, source)
        } else {
            let sent_at = now.before(sent_at.elapsed());
            state.limits.record_absence(now, &run, sent_at, source)
        };
        self.apply_limit_change(&mut state, upstream, change, source);
    }

    /// Logs a change of an instance's limit.
    fn apply_limit_change(
        &self,
        _state: &mut State,
        upstream: &Upstream,
        change: Change,
        source: Source,
    ) {
        let per_second = match change {
            Change::Unchanged => return,
            Change::Limited(rate) => rate.to_string(),
            Change::Ended => "none".to_owned(),
        };
        info!(self.log, "instance limit"; "instance" => %upstream.id,
            "incarnation" => upstream.incarnation, "service" => %upstream.service,
            "per_second" => per_second, "source" => %source);
        self.counters
            .limit_changed(&upstream.service, source.into());
    }
}
