//! Collects the reports of many processes on requests that crash instances.

use base::prelude::*;
use quarantine::Crash;
use quarantine::Event;
use quarantine::Fingerprint;
use quarantine::Outcome as Decision;
use quarantine::Suspect;
use quarantine::Tracker;
use slog::Logger;
use slog::info;
use slog::warn;
use wire::hub::Report;
use wire::hub::Suspects;

/// The process that sent a report, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Reporter<'a> {
    /// Log key.
    pub role: &'static str,
    /// Name of its host.
    pub host: &'a str,
}

/// Applies a report. Returns the events of the report that were not known.
pub fn apply_report(
    tracker: &mut Tracker,
    now: Moment,
    report: &Report,
    reporter: Reporter<'_>,
    log: &Logger,
) -> Vec<Event> {
    let mut collector = Collector {
        tracker,
        now,
        reporter,
        log,
        events: Vec::new(),
    };
    for request in &report.answered {
        collector.apply_answer((*request).into());
    }
    for crash in &report.crashes {
        collector.apply_crash(crash);
    }
    for suspect in &report.refused {
        collector.apply_refusal(suspect);
    }
    collector.events
}

/// The current suspects as sent to the processes that report.
#[must_use]
pub fn suspects(tracker: &Tracker, now: Moment) -> Suspects {
    let suspects = tracker.suspects(now);
    Suspects {
        revision: tracker.revision().newest,
        rows: suspects.iter().map(Suspect::to_wire).collect(),
    }
}

struct Collector<'a> {
    tracker: &'a mut Tracker,
    now: Moment,
    reporter: Reporter<'a>,
    log: &'a Logger,
    events: Vec<Event>,
}

impl Collector<'_> {
    fn apply_answer(&mut self, request: Fingerprint) {
        if self.tracker.record_success(self.now, request) {
            let Reporter { role, host } = self.reporter;
            info!(self.log, "suspect answered"; "fingerprint" => %request, role => host);
            self.events.push(Event::Succeeded(request));
        }
    }

    fn apply_crash(&mut self, reported: &wire::hub::Crash) {
        let Reporter { role, host } = self.reporter;
        let crash = match Crash::from_wire(self.now, reported) {
            Ok(crash) => crash,
            Err(err) => {
                warn!(self.log, "ignored an invalid crash report"; role => host, "error" => %err);
                return;
            }
        };
        let decision = self.tracker.record_crash(self.now, &crash);
        if decision == Decision::Known {
            return;
        }
        info!(self.log, "crash"; "fingerprint" => %crash.request,
            "instance" => %crash.run.instance, "incarnation" => crash.run.incarnation,
            "service" => %crash.service, "age_ms" => reported.ago_ms, role => host,
            "outcome" => format!("{decision:?}"));
        self.events.push(Event::Crashed(crash));
    }

    fn apply_refusal(&mut self, reported: &wire::hub::Suspect) {
        let Reporter { role, host } = self.reporter;
        match Suspect::from_wire(reported) {
            Ok(Suspect { request, refused }) => {
                if self.tracker.record_refusal(self.now, request, refused) {
                    info!(self.log, "refusal learned"; "fingerprint" => %request,
                        "left_ms" => reported.refused_ms, role => host);
                    self.events.push(Event::Refused(request));
                }
            }
            Err(err) => {
                warn!(self.log, "ignored an invalid refusal report"; role => host, "error" => %err);
            }
        }
    }
}
