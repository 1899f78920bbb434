//! Collects the limits that instances name to entry processes.

use limit::Change;
use limit::NamedLimit;
use limit::Source;
use slog::info;
use slog::warn;
use wire::hub::Limit;
use wire::hub::Limits;
use wire::hub::Report;

use crate::state::Inner;
use crate::state::State;

impl State {
    /// Applies the limits that an entry process reports, and notifies watchers of changes.
    pub fn apply_limits(&self, report: &Report) {
        if report.limits.is_empty() {
            return;
        }
        let mut inner = self.lock();
        for limit in &report.limits {
            self.apply_limit(&mut inner, report, limit);
        }
        let newest = inner.limits.newest();
        drop(inner);
        self.limits
            .send_if_modified(|last| std::mem::replace(last, newest) != newest);
    }

    fn apply_limit(&self, inner: &mut Inner, report: &Report, limit: &Limit) {
        let now = self.clock.now();
        let named = match NamedLimit::from_wire(now, limit) {
            Ok(named) => named,
            Err(err) => {
                warn!(self.log, "ignored an invalid limit"; "entry" => &report.host, "error" => %err);
                return;
            }
        };
        inner.limits.remove_expired(now);
        let change = inner.limits.record(now, named.clone(), Source::Entry);
        if change != Change::Unchanged {
            info!(self.log, "instance limit"; "instance" => %named.run.instance,
                "incarnation" => named.run.incarnation, "service" => %named.service,
                "per_second" => named.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
                "age_ms" => limit.ago_ms, "entry" => &report.host);
        }
    }

    /// The limits heard since `revision`, as sent to entry processes; `None` if there are none.
    pub fn limits_since(&self, inner: &Inner, revision: u64) -> Option<Limits> {
        let now = self.clock.now();
        let newest = inner.limits.newest();
        (newest != revision).then(|| Limits {
            revision: newest,
            rows: inner
                .limits
                .since(revision)
                .iter()
                .map(|named| named.to_wire(now))
                .collect(),
        })
    }
}
