//! The limits that a process knows, as a state machine without I/O.
//!
//! What was heard last counts. A response without a limit ends it only if its request was sent
//! after the limit had been heard, because responses overtake each other. Responses to probes
//! may never name limits, so one without a limit ends it only if an earlier one named it.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::IntoStaticStr;

use crate::rate::RequestRate;

/// Time for which a limit is valid after it was last heard.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Time after which a limit that is heard again is reported again.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
// Maximum number of stored limits; the one that was heard first is evicted.
const MAX_LIMITS: usize = 1_024;

/// What an instance says of its limit, or said at another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The instance.
    pub run: InstanceRun,
    /// Its service.
    pub service: ServiceName,
    /// The limit; `None` if the instance names none any more.
    pub rate: Option<RequestRate>,
    /// When this was heard.
    pub heard_at: Moment,
}

/// Where a process heard of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// The response to a request.
    Response,
    /// The response to a probe.
    Probe,
    /// A hub.
    Hub,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// The instance has this limit from now on.
    Limited(RequestRate),
    /// The instance has no limit any more.
    Ended,
}

#[derive(Clone, Debug)]
struct Known {
    report: Report,
    // Whether a response to a probe has named the limit.
    named_by_probe: bool,
    // The number of the newest event to report; 0 if none is.
    event: u64,
    reported_at: Moment,
}

/// The known limits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: BTreeMap<InstanceRun, Known>,
    newest: u64,
}

impl Limits {
    /// Records a limit that the instance named, or that another process has reported.
    pub fn record(&mut self, now: Moment, report: Report, source: Source) -> Change {
        let before = self.known.get(&report.run);
        if before.is_some_and(|known| known.report.heard_at > report.heard_at) {
            return Change::Unchanged;
        }
        let rate_before = self.rate(now, &report.run);
        let (rate, run) = (report.rate, report.run.clone());
        let was_named_by_probe = before.is_some_and(|known| known.named_by_probe);
        let known = Known {
            named_by_probe: rate.is_some() && (was_named_by_probe || source == Source::Probe),
            event: before.map_or(0, |known| known.event),
            reported_at: before.map_or(Moment::ZERO, |known| known.reported_at),
            report,
        };
        self.evict_oldest();
        self.known.insert(run.clone(), known);
        let change = match rate {
            rate if rate == rate_before => Change::Unchanged,
            Some(rate) => Change::Limited(rate),
            None => Change::Ended,
        };
        if source != Source::Hub {
            self.report_if_due(now, &run, change);
        }
        change
    }

    /// Records a response of the instance that names no limit, to a request sent at `sent_at`.
    pub fn record_absence(
        &mut self,
        now: Moment,
        run: &InstanceRun,
        sent_at: Moment,
        source: Source,
    ) -> Change {
        let Some(known) = self.known.get(run) else {
            return Change::Unchanged;
        };
        let says_nothing = source == Source::Probe && !known.named_by_probe;
        if known.report.rate.is_none() || says_nothing || sent_at <= known.report.heard_at {
            return Change::Unchanged;
        }
        let report = Report {
            rate: None,
            heard_at: now,
            ..known.report.clone()
        };
        self.record(now, report, source)
    }

    // Numbers the newest event about an instance if it is new or an old one has to be repeated.
    fn report_if_due(&mut self, now: Moment, run: &InstanceRun, change: Change) {
        let Some(known) = self.known.get_mut(run) else {
            return;
        };
        let is_due = known.report.rate.is_some()
            && (known.event == 0 || now.since(known.reported_at) >= REFRESH_INTERVAL);
        if change != Change::Unchanged || is_due {
            self.newest += 1;
            known.event = self.newest;
            known.reported_at = now;
        }
    }

    fn evict_oldest(&mut self) {
        if self.known.len() < MAX_LIMITS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, k)| k.report.heard_at);
        if let Some(run) = oldest.map(|(run, _)| run.clone()) {
            self.known.remove(&run);
        }
    }

    /// The instance's limit; `None` if it has none.
    #[must_use]
    pub fn rate(&self, now: Moment, run: &InstanceRun) -> Option<RequestRate> {
        let report = &self.known.get(run)?.report;
        report
            .rate
            .filter(|_| now.since(report.heard_at) < RETENTION)
    }

    /// The current limits of a service's instances.
    pub fn of_service(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceRun, RequestRate)> {
        let known = self.known.iter();
        known
            .filter(move |(_, known)| known.report.service == *service)
            .filter_map(move |(run, _)| Some((run, self.rate(now, run)?)))
    }

    /// Removes what was heard too long ago. Returns the limits that end with it.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Report> {
        let is_expired = |known: &mut Known| now.since(known.report.heard_at) >= RETENTION;
        let expired = self.known.extract_if(.., |_, known| is_expired(known));
        let reports = expired.map(|(_, known)| known.report);
        reports.filter(|report| report.rate.is_some()).collect()
    }

    /// The number of the newest event.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// What was heard of instances after the event `number`.
    #[must_use]
    pub fn since(&self, number: u64) -> Vec<Report> {
        let newer = self.known.values().filter(|known| known.event > number);
        newer.map(|known| known.report.clone()).collect()
    }
}
