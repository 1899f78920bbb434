//! Collects the reports of all entry processes on requests that crash instances.

use crash::Reporter;
use crash::collector;
use wire::hub::Report;
use wire::hub::Suspects;

use crate::state::Inner;
use crate::state::State;

impl State {
    /// Applies the report of an entry process, notifies watchers of changes and returns the
    /// current suspects.
    pub fn apply_report(&self, report: &Report) -> Suspects {
        self.apply_limits(report);
        let now = self.clock.now();
        let reporter = Reporter {
            role: "entry",
            host: &report.host,
        };
        let (suspects, revision) = {
            let mut inner = self.lock();
            collector::apply_report(&mut inner.tracker, now, report, reporter, &self.log);
            (self.suspects(&inner), inner.tracker.revision())
        };
        self.suspects
            .send_if_modified(|last| std::mem::replace(last, revision) != revision);
        suspects
    }

    /// The current suspects as sent to entry processes.
    pub fn suspects(&self, inner: &Inner) -> Suspects {
        collector::suspects(&inner.tracker, self.clock.now())
    }
}
