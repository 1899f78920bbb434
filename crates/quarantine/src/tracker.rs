//! Decides which requests crash the instances that run them, as a state machine without I/O.
//!
//! A crashing instance interrupts all requests that it runs, so a single crash says little about
//! any of them. A request is refused once several instances have crashed while running it and
//! none has answered it. If more of the service's instances crash without the request than with
//! it, another cause is likely, and more crashes are required.
//!
//! Crashes are counted per sender, and for all senders of requests with the same host, path
//! and body, because a caller may return with another address. One sender's refusal explains
//! the crashes up to it, and for a short time afterwards also those of instances that ran other
//! senders' requests beside it. A later crash under another sender points at what they all ask
//! for.

mod evidence;
mod record;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::Head;

use self::record::Record;

/// Number of crashes at which a request is refused.
pub const MIN_CRASHES: usize = 3;
/// The same if more of the service's instances crash without the request than with it.
pub const MIN_CRASHES_AMONG_OTHERS: usize = 4;
/// Number of crashes at which a request is refused for all senders. One more than for one
/// sender, because crashes may be reported for other senders first, before the third one of the
/// sender that causes them.
pub const MIN_CRASHES_ALL_SENDERS: usize = 4;
/// Number of crashes that a request needs after one of its senders was refused, to be refused for
/// all senders.
pub const MIN_CRASHES_AFTER_REFUSAL: usize = 1;
/// The same if more of the service's instances crash without the request than with it.
pub const MIN_CRASHES_AFTER_REFUSAL_AMONG_OTHERS: usize = 2;
/// Time after a refusal in which instances may still crash under requests that were sent before.
pub const REFUSAL_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Number of crashes at which a request is reported as suspected, so that an answer
/// received by any process clears it.
pub const MIN_SUSPECT_CRASHES: usize = 2;
/// Time for which a crash counts.
pub const WINDOW: Duration = Duration::from_mins(10);
// Other crashes count from this long before the first crash under a request.
const OTHER_CRASHES_LEAD: Duration = Duration::from_secs(5);
/// Duration of the first refusal. Afterwards the request is allowed again, because the defect
/// may be fixed; one more crash refuses it for [`REFUSAL_GROWTH`] times as long.
pub const INITIAL_REFUSAL: Duration = Duration::from_mins(2);
/// Factor between the durations of two refusals. Each trial may crash one more instance.
pub const REFUSAL_GROWTH: u32 = 8;
/// Maximum duration of a refusal.
pub const MAX_REFUSAL: Duration = Duration::from_hours(1);
// Maximum number of records; those with the oldest crash or refusal are evicted.
const MAX_RECORDS: usize = 1_024;
// Maximum number of stored crashes.
const MAX_CRASHES: usize = 4_096;
// Maximum numbers of refused and of suspected requests that are reported.
const MAX_SUSPECTS: [usize; 2] = [256, 32];

/// An instance that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request that the instance ran.
    pub request: Fingerprint,
    /// The service of the instance.
    pub service: ServiceName,
    /// The run that ended with the crash.
    pub run: InstanceRun,
    /// When the instance crashed.
    pub at: Moment,
    /// Whether another request for the same host, path and body was answered recently.
    pub answered: bool,
}

/// The decision on a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The crash was recorded before.
    Known,
    /// The request was answered recently, so it isn't the cause.
    Answered,
    /// The crash was counted and the request isn't refused.
    Counted {
        /// Instances that crashed while running the request.
        crashes: usize,
        /// Other instances of the service that crashed.
        others: usize,
    },
    /// The request is refused from now on.
    Refused {
        /// Instances that crashed while running the request.
        crashes: usize,
        /// Duration of the refusal.
        span: Duration,
    },
}

/// A refused or suspected request, as reported to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: Fingerprint,
    /// Remaining time of the refusal; zero if the request is only suspected.
    pub refused: Duration,
}

/// Version of the reported suspects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Incremented with each change.
    pub newest: u64,
    /// The value of `newest` at the last new refusal.
    pub refusal: u64,
}

impl Revision {
    fn increment(&mut self, refused: bool) {
        self.newest += 1;
        if refused {
            self.refusal = self.newest;
        }
    }
}

/// Counts crashes and refuses requests.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
    crashes: BTreeMap<InstanceRun, (ServiceName, Moment)>,
    revision: Revision,
}

impl Tracker {
    /// The version of [`Self::suspects`].
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that an instance crashed while it ran a request.
    pub fn record_crash(&mut self, now: Moment, crash: &Crash) -> Outcome {
        self.remove_expired(now);
        let stored = (crash.service.clone(), crash.at);
        self.crashes.insert(crash.run.clone(), stored);
        if !self
            .records
            .entry(crash.request)
            .or_default()
            .add_crash(crash)
        {
            return Outcome::Known;
        }
        let all = crash.request.for_all_senders();
        if crash.answered {
            self.records.remove(&all);
            return self.evaluate_sender(now, crash);
        }
        self.records.entry(all).or_default().add_crash(crash);
        let outcome = self.evaluate_sender(now, crash);
        match self.evaluate_all_senders(now, crash) {
            refused @ Outcome::Refused { .. } => refused,
            _ => outcome,
        }
    }

    /// Records that an instance answered a request, which clears it for its sender and for all
    /// senders. Returns whether there was a record of it.
    pub fn record_success(&mut self, now: Moment, request: Fingerprint) -> bool {
        let mut found = false;
        for request in [request, request.for_all_senders()] {
            if let Some(record) = self.records.remove(&request) {
                if record.is_reported(now) {
                    self.revision.increment(false);
                }
                found = true;
            }
        }
        found
    }

    /// Records that another process refuses a request for `remaining`. Returns whether the
    /// request was not refused here.
    pub fn record_refusal(
        &mut self,
        now: Moment,
        request: Fingerprint,
        remaining: Duration,
    ) -> bool {
        let record = self.records.entry(request).or_default();
        let is_new = !record.is_refused(now);
        // Keeps the latest end, because messages are delayed and each process decides by itself.
        record.refused_until = record.refused_until.max(now + remaining.min(MAX_REFUSAL));
        record.refusals = record.refusals.max(1);
        record.first_refusal.get_or_insert(now);
        if is_new {
            self.revision.increment(true);
        }
        is_new
    }

    /// Remaining time for which a request is refused; none if it isn't refused.
    #[must_use]
    pub fn refused(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        let records =
            [request, request.for_all_senders()].map(|request| self.records.get(&request));
        let until = records
            .into_iter()
            .flatten()
            .map(|record| record.refused_until);
        let until = until.max().filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Whether there are records of requests for this path.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        self.records.range(path_range(head)).next().is_some()
    }

    /// The requests to report to other processes: the refused ones with the longest remaining
    /// refusals, then the suspected ones with the latest crashes.
    #[must_use]
    pub fn suspects(&self, now: Moment) -> Vec<Suspect> {
        let reported = self
            .records
            .iter()
            .filter(|(_, record)| record.is_reported(now));
        let (mut refused, mut suspected): (Vec<_>, Vec<_>) =
            reported.partition(|(_, record)| record.is_refused(now));
        refused.sort_by_key(|(_, record)| Reverse(record.refused_until));
        suspected.sort_by_key(|(_, record)| Reverse(record.last_crash));
        let [max_refused, max_suspected] = MAX_SUSPECTS;
        refused.truncate(max_refused);
        suspected.truncate(max_suspected);
        let all = refused.into_iter().chain(suspected);
        all.map(|(request, record)| Suspect {
            request: *request,
            refused: record.refused_until.since(now),
        })
        .collect()
    }

    /// Removes expired records and crashes, and the oldest ones beyond the maximum numbers.
    pub fn remove_expired(&mut self, now: Moment) {
        self.records.retain(|_, record| record.is_retained(now));
        self.crashes.retain(|_, (_, at)| now.since(*at) < WINDOW);
        while self.records.len() >= MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, r)| r.last_crash.max(r.refused_until));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.records.remove(&request);
        }
        while self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, at))| *at);
            let Some(run) = oldest.map(|(run, _)| run.clone()) else {
                return;
            };
            self.crashes.remove(&run);
        }
    }
}

// The fingerprints of all requests for a path.
pub(crate) fn path_range(head: Head) -> RangeInclusive<Fingerprint> {
    let [first, last] = [0, u64::MAX].map(|rest| Fingerprint {
        path: head.path,
        body: rest,
        sender: rest,
    });
    first..=last
}
