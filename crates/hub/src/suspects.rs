//! Collects the reports of all entry processes on requests that crash instances.

use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Outcome;
use quarantine::Suspect;
use slog::info;
use slog::warn;
use wire::hub::Report;
use wire::hub::Suspects;

use crate::state::Inner;
use crate::state::State;

impl State {
    /// Applies the report of an entry process, notifies watchers of changes and returns the
    /// current suspects.
    pub fn apply_report(&self, report: &Report) -> Suspects {
        self.apply_limits(report);
        let (suspects, revision) = {
            let mut inner = self.lock();
            for request in &report.answered {
                self.apply_answer(&mut inner, report, *request);
            }
            for crash in &report.crashes {
                self.apply_crash(&mut inner, report, crash);
            }
            for suspect in &report.refused {
                self.apply_refusal(&mut inner, report, suspect);
            }
            (self.suspects(&inner), inner.tracker.revision())
        };
        self.suspects
            .send_if_modified(|last| std::mem::replace(last, revision) != revision);
        suspects
    }

    /// The current suspects as sent to entry processes.
    pub fn suspects(&self, inner: &Inner) -> Suspects {
        let suspects = inner.tracker.suspects(self.clock.now());
        Suspects {
            revision: inner.tracker.revision().newest,
            rows: suspects.iter().map(Suspect::to_wire).collect(),
        }
    }

    fn apply_answer(&self, inner: &mut Inner, report: &Report, request: wire::hub::Fingerprint) {
        let request = Fingerprint::from(request);
        if inner.tracker.record_success(self.clock.now(), request) {
            info!(self.log, "suspect answered"; "fingerprint" => %request,
                "entry" => &report.host);
        }
    }

    fn apply_crash(&self, inner: &mut Inner, report: &Report, reported: &wire::hub::Crash) {
        let now = self.clock.now();
        let crash = match Crash::from_wire(now, reported) {
            Ok(crash) => crash,
            Err(err) => {
                warn!(self.log, "ignored an invalid crash report"; "entry" => &report.host, "error" => %err);
                return;
            }
        };
        let outcome = inner.tracker.record_crash(now, &crash);
        if outcome != Outcome::Known {
            info!(self.log, "crash"; "fingerprint" => %crash.request,
                "instance" => %crash.run.instance, "incarnation" => crash.run.incarnation,
                "service" => %crash.service, "age_ms" => reported.ago_ms, "entry" => &report.host,
                "outcome" => format!("{outcome:?}"));
        }
    }

    fn apply_refusal(&self, inner: &mut Inner, report: &Report, reported: &wire::hub::Suspect) {
        match Suspect::from_wire(reported) {
            Ok(Suspect { request, refused }) => {
                if inner
                    .tracker
                    .record_refusal(self.clock.now(), request, refused)
                {
                    info!(self.log, "refusal learned"; "fingerprint" => %request,
                        "left_ms" => reported.refused_ms, "entry" => &report.host);
                }
            }
            Err(err) => {
                warn!(self.log, "ignored an invalid refusal report"; "entry" => &report.host, "error" => %err);
            }
        }
    }
}
