//! Results of probes and attempts, and the ejections that follow from them.

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;

use crate::health::Cause;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::Ticket;
use crate::outcome::LoadReport;
use crate::outcome::OutcomeKind;

use super::ProbingChooser;
use super::entry::Presence;

/// Weight of one report in the service's average load. The average stands in for missing
/// reports, so that an instance without one doesn't attract all requests while the others
/// are full.
const LOAD_WEIGHT: f64 = 0.1;
/// At most one instance in this many is ejected.
const EJECTED_DIVISOR: usize = 2;
/// Duration of the ramp after an ejection.
const RAMP: Duration = Duration::from_secs(2);

impl ProbingChooser {
    /// Records the end of a probe; `None` if it failed.
    pub fn probed(&mut self, now: Moment, pick: Pick, report: Option<LoadReport>) {
        let Some(entry) = self.entry(pick) else {
            return;
        };
        entry.probes_in_flight = entry.probes_in_flight.saturating_sub(1);
        if let Some(report) = report {
            entry.report = Some((now, report));
            entry.attempts_since_report = 0;
            entry.last_probe_failed = false;
            entry.health.probe_answered(now);
            self.observe(report);
            return;
        }
        entry.last_probe_failed = true;
        if entry.health.probe_failed(false) {
            self.eject(now, pick, Cause::Silence);
        }
    }

    /// Records the time that an instance reports to remain cold.
    pub fn set_cold_remaining(&mut self, now: Moment, pick: Pick, remaining: Duration) {
        if let Some(entry) = self.entry(pick) {
            entry.cold_until = now + remaining;
        }
    }

    /// Records a report that another process has just received from the instance.
    pub fn report_relayed(&mut self, now: Moment, pick: Pick, report: LoadReport) {
        if let Some(entry) = self.entry(pick) {
            entry.report = Some((now, report));
            entry.attempts_since_report = 0;
            entry.last_probe_failed = false;
        }
    }

    /// Records that another instance has taken over the address. This one receives nothing
    /// more, not even a trial request, as its id never returns there.
    pub fn displaced(&mut self, pick: Pick) {
        if let Some(entry) = self.entry(pick) {
            entry.presence = Presence::Displaced;
        }
    }

    /// Records that a response was aborted after the end of its attempt.
    pub fn response_aborted(&mut self, now: Moment, pick: Pick) {
        let cause = Cause::Failures;
        let should_eject = self
            .entry(pick)
            .is_some_and(|entry| entry.health.record_failure(now, cause));
        if should_eject {
            self.eject(now, pick, cause);
        }
    }

    /// Records the start of an attempt.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        if let Some(entry) = self.entry(pick) {
            entry.record_start(now);
        }
        Ticket {
            pick,
            started_at: now,
        }
    }

    /// Records the end of an attempt, with the load report on its response.
    pub fn finished(
        &mut self,
        now: Moment,
        ticket: Ticket,
        kind: OutcomeKind,
        report: Option<LoadReport>,
    ) {
        let (pick, started_at) = ticket.into_parts();
        let Some(entry) = self.entry(pick) else {
            return;
        };
        if let Some(at) = entry.starts.iter().position(|start| *start == started_at) {
            entry.starts.remove(at);
        }
        if let Some(report) = report {
            entry.report = Some((now, report));
            entry.attempts_since_report = 0;
            entry.last_probe_failed = false;
        } else {
            entry.attempts_since_report = entry.attempts_since_report.saturating_sub(1);
        }
        entry.backoff.record_end(now, kind);
        let eject_cause = match kind {
            OutcomeKind::Ok => {
                entry.loss.record_response();
                entry.health.record_success(now);
                let _ = entry.health.ramp_progress(now, RAMP);
                None
            }
            OutcomeKind::Error | OutcomeKind::ConnectFailed => entry
                .health
                .record_failure(now, Cause::Failures)
                .then_some(Cause::Failures),
            OutcomeKind::Timeout => entry
                .health
                .record_failure(now, Cause::Silence)
                .then_some(Cause::Silence),
            OutcomeKind::Abandoned => {
                entry.loss.record_loss(now);
                entry.health.trial_cancelled();
                None
            }
            OutcomeKind::Shed | OutcomeKind::Cancelled => {
                entry.health.trial_cancelled();
                None
            }
        };
        if let Some(report) = report {
            self.observe(report);
        }
        if let Some(cause) = eject_cause {
            self.eject(now, pick, cause);
        }
    }

    fn observe(&mut self, report: LoadReport) {
        let slots = f64::from(report.slots.max(1));
        let load = f64::from(report.running + report.waiting) / slots;
        self.averages.load += (load - self.averages.load) * LOAD_WEIGHT;
        self.averages.pace_stats.observe(report.pace);
        self.averages.counts_requests |= report.running + report.waiting > 0;
    }

    /// Ejects the instance unless too many ready instances are ejected already.
    fn eject(&mut self, now: Moment, pick: Pick, cause: Cause) {
        let ready = self
            .entries
            .iter()
            .filter(|e| e.instance.phase == Phase::Ready);
        let (mut count, mut out) = (0, 0);
        for entry in ready {
            count += 1;
            out += usize::from(!entry.health.takes_traffic());
        }
        let jitter = self.rng.random();
        let Some(entry) = self.entry(pick) else {
            return;
        };
        if !entry.health.takes_traffic() || out < count / EJECTED_DIVISOR {
            entry.health.eject(now, cause, jitter);
        }
    }
}
