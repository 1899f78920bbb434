//! What becomes of probes and attempts, and which instances they eject.

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

/// Weight of one report in the usual load of the service. Where all instances
/// fill up, one of which nothing is known is full too, and must not draw
/// everybody's requests.
const LOAD_WEIGHT: f64 = 0.1;
/// At most one instance in so many is ejected.
const EJECTED_DIVISOR: usize = 2;
/// Ramp after an ejection.
const RAMP: Duration = Duration::from_secs(2);

impl ProbingChooser {
    /// Notes the end of a probe; none where it failed.
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

    /// Notes how much longer an instance says that it is cold.
    pub fn set_cold_remaining(&mut self, now: Moment, pick: Pick, left: Duration) {
        if let Some(entry) = self.entry(pick) {
            entry.cold_until = now + left;
        }
    }

    /// Notes what another process was told by the instance, a moment ago.
    pub fn report_relayed(&mut self, now: Moment, pick: Pick, report: LoadReport) {
        if let Some(entry) = self.entry(pick) {
            entry.report = Some((now, report));
            entry.attempts_since_report = 0;
            entry.last_probe_failed = false;
        }
    }

    /// Notes that another instance has the address: this one gets nothing more, not
    /// even a trial, as its id never comes back there.
    pub fn displaced(&mut self, pick: Pick) {
        if let Some(entry) = self.entry(pick) {
            entry.displaced = true;
        }
    }

    /// Notes that an answer broke off whose attempt has ended already.
    pub fn response_aborted(&mut self, now: Moment, pick: Pick) {
        let cause = Cause::Failures;
        let bad = self
            .entry(pick)
            .is_some_and(|entry| entry.health.record_failure(now, cause));
        if bad {
            self.eject(now, pick, cause);
        }
    }

    /// Notes that an attempt begins.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        if let Some(entry) = self.entry(pick) {
            entry.record_start(now);
        }
        Ticket {
            pick,
            started_at: now,
        }
    }

    /// Notes the end of an attempt, with the report that came on its answer.
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
        let bad = match kind {
            OutcomeKind::Ok => {
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
            OutcomeKind::Shed | OutcomeKind::Cancelled => {
                entry.health.trial_cancelled();
                None
            }
        };
        if let Some(report) = report {
            self.observe(report);
        }
        if let Some(cause) = bad {
            self.eject(now, pick, cause);
        }
    }

    fn observe(&mut self, report: LoadReport) {
        let slots = f64::from(report.slots.max(1));
        let load = f64::from(report.running + report.waiting) / slots;
        self.averages.load += (load - self.averages.load) * LOAD_WEIGHT;
        self.averages.pace_stats.observe(report.pace);
    }

    /// Ejects the instance unless too many of the ready ones are out already.
    fn eject(&mut self, now: Moment, pick: Pick, cause: Cause) {
        let ready = self
            .entries
            .iter()
            .filter(|r| r.instance.phase == Phase::Ready);
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
