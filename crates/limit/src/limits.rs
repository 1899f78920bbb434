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
// A limit that changes by more than this is reported without waiting for the refresh.
const MIN_REPORTED_CHANGE_PERCENT: u64 = 20;
// Maximum number of stored limits; the one that was heard longest ago is evicted.
const MAX_LIMITS: usize = 1_024;

/// What an instance says of its limit, or said at another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedLimit {
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
    /// A hub, which tells all processes.
    Hub,
    /// An entry process, which tells all hubs.
    Entry,
}

/// Effect of a new report on the known limit of an instance.
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
    named: NamedLimit,
    // Whether a response to a probe has named the limit.
    named_by_probe: bool,
    // Number of the last event reported for the instance; 0 if there is none.
    event: u64,
    // What was reported last, and when.
    reported: Option<RequestRate>,
    reported_at: Moment,
}

impl Known {
    // Whether other processes have to hear of it.
    fn is_report_due(&self, now: Moment) -> bool {
        match (self.reported, self.named.rate) {
            (None, None) => false,
            (Some(reported), Some(rate)) => {
                differs(reported, rate) || now.since(self.reported_at) >= REFRESH_INTERVAL
            }
            _ => true,
        }
    }
}

fn differs(reported: RequestRate, rate: RequestRate) -> bool {
    let [reported, rate] = [reported, rate].map(|rate| u64::from(rate.milli()));
    reported.abs_diff(rate) * 100 > reported * MIN_REPORTED_CHANGE_PERCENT
}

/// The known limits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: BTreeMap<InstanceRun, Known>,
    newest: u64,
}

impl Limits {
    /// Records a limit that the instance named, or that another process has reported.
    pub fn record(&mut self, now: Moment, named: NamedLimit, source: Source) -> Change {
        let before = self.known.get(&named.run);
        if before.is_some_and(|known| known.named.heard_at > named.heard_at) {
            return Change::Unchanged;
        }
        let rate_before = self.rate(now, &named.run);
        let (rate, run) = (named.rate, named.run.clone());
        let was_named_by_probe = before.is_some_and(|known| known.named_by_probe);
        let known = Known {
            named_by_probe: rate.is_some() && (was_named_by_probe || source == Source::Probe),
            event: before.map_or(0, |known| known.event),
            reported: before.and_then(|known| known.reported),
            reported_at: before.map_or(Moment::ZERO, |known| known.reported_at),
            named,
        };
        self.evict_oldest();
        self.known.insert(run.clone(), known);
        let change = match rate {
            rate if rate == rate_before => Change::Unchanged,
            Some(rate) => Change::Limited(rate),
            None => Change::Ended,
        };
        if source != Source::Hub {
            self.report_if_due(now, &run);
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
        if known.named.rate.is_none() || says_nothing || sent_at <= known.named.heard_at {
            return Change::Unchanged;
        }
        let ended = NamedLimit {
            rate: None,
            heard_at: now,
            ..known.named.clone()
        };
        self.record(now, ended, source)
    }

    // Numbers the newest event about an instance if other processes have to hear of it.
    fn report_if_due(&mut self, now: Moment, run: &InstanceRun) {
        let known = self.known.get_mut(run);
        if let Some(known) = known.filter(|known| known.is_report_due(now)) {
            self.newest += 1;
            known.event = self.newest;
            known.reported = known.named.rate;
            known.reported_at = now;
        }
    }

    fn evict_oldest(&mut self) {
        if self.known.len() < MAX_LIMITS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, k)| k.named.heard_at);
        if let Some(run) = oldest.map(|(run, _)| run.clone()) {
            self.known.remove(&run);
        }
    }

    /// The instance's limit; `None` if it has none.
    #[must_use]
    pub fn rate(&self, now: Moment, run: &InstanceRun) -> Option<RequestRate> {
        let named = &self.known.get(run)?.named;
        named.rate.filter(|_| now.since(named.heard_at) < RETENTION)
    }

    /// The current limits of a service's instances.
    pub fn of_service(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&InstanceRun, RequestRate)> {
        let known = self.known.iter();
        known
            .filter(move |(_, known)| known.named.service == *service)
            .filter_map(move |(run, _)| Some((run, self.rate(now, run)?)))
    }

    /// Removes what was heard too long ago. Returns the limits that end with it.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<NamedLimit> {
        let is_expired = |known: &mut Known| now.since(known.named.heard_at) >= RETENTION;
        let expired = self.known.extract_if(.., |_, known| is_expired(known));
        let named = expired.map(|(_, known)| known.named);
        named.filter(|named| named.rate.is_some()).collect()
    }

    /// The number of the newest event.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// What was heard of instances after the event `number`.
    #[must_use]
    pub fn since(&self, number: u64) -> Vec<NamedLimit> {
        let newer = self.known.values().filter(|known| known.event > number);
        newer.map(|known| known.named.clone()).collect()
    }
}
