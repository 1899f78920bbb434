//! Requests that crash instances, as all entry processes tell of them.

use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Outcome;
use quarantine::Suspect;
use slog::info;
use slog::warn;
use wire::hub::Report;
use wire::hub::Suspects;

use crate::state::Known;
use crate::state::State;

impl State {
    /// Takes what an entry process has seen, and wakes whoever waits for a change.
    pub fn take_report(&self, report: &Report) -> Suspects {
        let (told, revision) = {
            let mut known = self.known();
            for request in &report.answered {
                self.take_answer(&mut known, report, *request);
            }
            for crash in &report.crashes {
                self.take_crash(&mut known, report, crash);
            }
            for suspect in &report.refused {
                self.take_refusal(&mut known, report, suspect);
            }
            (self.suspects(&known), known.tracker.revision())
        };
        self.suspects
            .send_if_modified(|held| std::mem::replace(held, revision) != revision);
        told
    }

    /// What is told of suspects.
    pub fn suspects(&self, known: &Known) -> Suspects {
        let rows = known.tracker.suspects(self.clock.now());
        Suspects {
            revision: known.tracker.revision().newest,
            rows: rows.iter().map(Suspect::to_wire).collect(),
        }
    }

    fn take_answer(&self, known: &mut Known, report: &Report, request: wire::hub::Fingerprint) {
        let request = Fingerprint::from(request);
        if known.tracker.record_success(self.clock.now(), request) {
            info!(self.log, "suspect answered"; "fingerprint" => %request,
                "entry" => &report.host);
        }
    }

    fn take_crash(&self, known: &mut Known, report: &Report, told: &wire::hub::Crash) {
        let now = self.clock.now();
        let crash = match Crash::from_wire(now, told) {
            Ok(crash) => crash,
            Err(err) => {
                warn!(self.log, "crash not taken"; "entry" => &report.host, "error" => %err);
                return;
            }
        };
        let outcome = known.tracker.record_crash(now, &crash);
        if outcome != Outcome::Known {
            info!(self.log, "crash"; "fingerprint" => %crash.request,
                "instance" => %crash.run.instance, "incarnation" => crash.run.incarnation,
                "service" => %crash.service, "age_ms" => told.ago_ms, "entry" => &report.host,
                "outcome" => format!("{outcome:?}"));
        }
    }

    fn take_refusal(&self, known: &mut Known, report: &Report, told: &wire::hub::Suspect) {
        match Suspect::from_wire(told) {
            Ok(Suspect { request, refused }) => {
                if known
                    .tracker
                    .record_refusal(self.clock.now(), request, refused)
                {
                    info!(self.log, "refusal learned"; "fingerprint" => %request,
                        "left_ms" => told.refused_ms, "entry" => &report.host);
                }
            }
            Err(err) => {
                warn!(self.log, "refusal not taken"; "entry" => &report.host, "error" => %err);
            }
        }
    }
}
