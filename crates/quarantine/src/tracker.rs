//! Which requests crash the instances that run them: a pure state machine.
//!
//! An instance takes all requests with it that it runs, so that a crash says little of any of
//! them. A request is refused once several instances have crashed under it and it has
//! succeeded nowhere. Where the service's instances crash without it more often than with
//! it, something else is at work, and more crashes are asked for.
//!
//! One sender's request is counted by itself, and together with what others send for the same
//! path with the same body: a caller may come again from another address.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::Head;

/// Crashes after which a request is refused.
pub const CRASHES: usize = 3;
/// The same where the service's instances crash more often without it.
pub const CRASHES_AMONG_OTHERS: usize = 4;
/// Crashes after which a request is refused to all its senders, whoever comes next: one more
/// than where it is one sender's alone, of whose third crash others may tell first.
pub const CRASHES_OF_ALL: usize = 4;
/// Crashes from which on a request is told to all, so that a success anywhere acquits it.
pub const SUSPECT: usize = 2;
/// How long a crash counts.
pub const WINDOW: Duration = Duration::from_mins(10);
/// Crashes so long before the first one under a request have the same cause, if it is another.
const PRELUDE: Duration = Duration::from_secs(5);
/// How long a request is refused at first; each time after that twice as long. Then it is
/// tried again, as its cause may be mended: one more crash is enough.
pub const REFUSAL: Duration = Duration::from_mins(2);
/// Longest refusal.
pub const MOST_REFUSAL: Duration = Duration::from_hours(1);
/// Requests that are kept; the ones that have crashed something longest ago give way.
const MOST_REQUESTS: usize = 1_024;
/// Crashes that are kept.
const MOST_CRASHES: usize = 4_096;
/// Requests that are told of as refused, and as suspected: those that crashed something last.
const MOST_TOLD: [usize; 2] = [256, 32];

/// One start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceRun {
    /// The instance.
    pub instance: InstanceId,
    /// Rises with each start under the same id.
    pub incarnation: u64,
}

/// An instance that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The instance's service.
    pub service: ServiceName,
    /// The instance.
    pub run: InstanceRun,
    /// When it crashed.
    pub at: Moment,
    /// Somebody got an answer for the same path and body lately.
    pub answered: bool,
}

/// What a crash led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was known.
    Known,
    /// An instance has answered the request lately, so something else was the cause.
    Answered,
    /// So many instances have crashed under the request, and so many others without it.
    Counted {
        /// Under the request.
        crashes: usize,
        /// Without it.
        others: usize,
    },
    /// The request is refused from now on.
    Refused {
        /// Instances that have crashed under it.
        crashes: usize,
        /// For so long.
        span: Duration,
    },
}

/// A request that others are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: Fingerprint,
    /// How much longer it is refused; zero where it isn't.
    pub refused: Duration,
}

/// What is known of one request, or of the same one of all senders.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The instances that crashed under it, each with its senders.
    lives: BTreeMap<InstanceRun, BTreeSet<u64>>,
    /// When it last crashed an instance.
    last: Moment,
    /// How often it was refused.
    refusals: u32,
    /// Until when it is refused.
    until: Moment,
}

impl Record {
    fn is_refused(&self, now: Moment) -> bool {
        now < self.until
    }

    fn is_told(&self, now: Moment) -> bool {
        self.is_refused(now) || self.lives.len() >= SUSPECT
    }

    fn is_kept(&self, now: Moment) -> bool {
        now.since(self.last.max(self.until)) < WINDOW
    }

    /// Takes a crash; gives whether it is news.
    fn note(&mut self, crash: &Crash) -> bool {
        self.last = self.last.max(crash.at);
        let senders = self.lives.entry(crash.run.clone()).or_default();
        senders.insert(crash.request.sender)
    }

    fn refuse(&mut self, now: Moment) -> Duration {
        let span = REFUSAL.saturating_mul(1_u32.checked_shl(self.refusals).unwrap_or(u32::MAX));
        let span = span.min(MOST_REFUSAL);
        self.refusals += 1;
        self.until = now + span;
        span
    }
}

/// Numbers the changes of what is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Of the newest change.
    pub newest: u64,
    /// Of the newest refusal.
    pub refusal: u64,
}

impl Revision {
    fn rise(&mut self, refused: bool) {
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
    /// Rises with each change of what is told.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes that an instance crashed while it ran a request.
    pub fn record_crash(&mut self, now: Moment, crash: &Crash) -> Outcome {
        self.forget(now);
        let told = (crash.service.clone(), crash.at);
        self.crashes.insert(crash.run.clone(), told);
        if !self.records.entry(crash.request).or_default().note(crash) {
            return Outcome::Known;
        }
        let outcome = self.judge(now, crash, crash.request);
        let all = crash.request.of_all();
        if crash.answered {
            self.records.remove(&all);
            return outcome;
        }
        self.records.entry(all).or_default().note(crash);
        if matches!(outcome, Outcome::Refused { .. }) {
            return outcome;
        }
        match self.judge(now, crash, all) {
            refused @ Outcome::Refused { .. } => refused,
            _ => outcome,
        }
    }

    /// Refuses `request`, which `crash` counts for, if that is due.
    fn judge(&mut self, now: Moment, crash: &Crash, request: Fingerprint) -> Outcome {
        let lives = self.counted(request);
        let crashes = lives.len();
        let others = self.others(&crash.service, &lives);
        let record = self.records.entry(request).or_default();
        // One that was sent before the refusal tells nothing new.
        let again = record.refusals > 0 && crash.at >= record.until;
        let needed = if request.is_of_all() {
            CRASHES_OF_ALL
        } else if others > crashes {
            CRASHES_AMONG_OTHERS
        } else {
            CRASHES
        };
        if again || (record.refusals == 0 && crashes >= needed) {
            self.revision.rise(true);
            let span = record.refuse(now);
            return Outcome::Refused { crashes, span };
        }
        if crashes >= SUSPECT {
            self.revision.rise(false);
        }
        Outcome::Counted { crashes, others }
    }

    /// The instances that speak against a request. Where it is that of all senders, one that is
    /// refused by itself is the cause alone.
    fn counted(&self, request: Fingerprint) -> BTreeSet<InstanceRun> {
        let Some(record) = self.records.get(&request) else {
            return BTreeSet::new();
        };
        let alone = |sender: u64| {
            let one = Fingerprint { sender, ..request };
            request.is_of_all() && self.records.get(&one).is_some_and(|r| r.refusals > 0)
        };
        let counts = |by: &BTreeSet<u64>| by.iter().any(|sender| !alone(*sender));
        let lives = record.lives.iter().filter(|(_, by)| counts(by));
        lives.map(|(run, _)| run.clone()).collect()
    }

    /// Instances of the service that crashed beside `lives`, from shortly before the first of
    /// these on.
    fn others(&self, service: &ServiceName, lives: &BTreeSet<InstanceRun>) -> usize {
        let at = |run: &InstanceRun| self.crashes.get(run).map(|(_, at)| *at);
        let first = lives.iter().filter_map(at).min();
        let Some(from) = first.map(|first| first.before(PRELUDE)) else {
            return 0;
        };
        let others = self
            .crashes
            .iter()
            .filter(|(run, (of, at))| of == service && *at >= from && !lives.contains(*run));
        others.count()
    }

    /// Takes that an instance has answered a request: whatever crashed before, it wasn't the
    /// request, nor what all its senders ask for. Gives whether that is news.
    pub fn record_success(&mut self, now: Moment, request: Fingerprint) -> bool {
        let mut news = false;
        for request in [request, request.of_all()] {
            if let Some(record) = self.records.remove(&request) {
                if record.is_told(now) {
                    self.revision.rise(false);
                }
                news = true;
            }
        }
        news
    }

    /// Takes that another process refuses a request, for so long. Gives whether that is
    /// news.
    pub fn record_refusal(&mut self, now: Moment, request: Fingerprint, left: Duration) -> bool {
        let record = self.records.entry(request).or_default();
        let news = !record.is_refused(now);
        // Messages take time, and each process counts for itself.
        record.until = record.until.max(now + left.min(MOST_REFUSAL));
        record.refusals = record.refusals.max(1);
        if news {
            self.revision.rise(true);
        }
        news
    }

    /// How much longer a request is refused, if it is.
    #[must_use]
    pub fn refused(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        let records = [request, request.of_all()].map(|request| self.records.get(&request));
        let until = records.into_iter().flatten().map(|record| record.until);
        let until = until.max().filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Whether anything is known of requests for this path.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        self.records.range(all_of(head)).next().is_some()
    }

    /// What others are told: the requests that are refused first, the longest ones before.
    #[must_use]
    pub fn suspects(&self, now: Moment) -> Vec<Suspect> {
        let told = self
            .records
            .iter()
            .filter(|(_, record)| record.is_told(now));
        let (mut refused, mut suspected): (Vec<_>, Vec<_>) =
            told.partition(|(_, record)| record.is_refused(now));
        refused.sort_by_key(|(_, record)| Reverse(record.until));
        suspected.sort_by_key(|(_, record)| Reverse(record.last));
        let [most_refused, most_suspected] = MOST_TOLD;
        refused.truncate(most_refused);
        suspected.truncate(most_suspected);
        let all = refused.into_iter().chain(suspected);
        all.map(|(request, record)| Suspect {
            request: *request,
            refused: record.until.since(now),
        })
        .collect()
    }

    /// Forgets what is long ago, and what is too much.
    pub fn forget(&mut self, now: Moment) {
        self.records.retain(|_, record| record.is_kept(now));
        self.crashes.retain(|_, (_, at)| now.since(*at) < WINDOW);
        while self.records.len() >= MOST_REQUESTS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.last.max(r.until));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.records.remove(&request);
        }
        while self.crashes.len() >= MOST_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, at))| *at);
            let Some(run) = oldest.map(|(run, _)| run.clone()) else {
                return;
            };
            self.crashes.remove(&run);
        }
    }
}

/// The requests for one path.
pub(crate) fn all_of(head: Head) -> RangeInclusive<Fingerprint> {
    let [first, last] = [0, u64::MAX].map(|rest| Fingerprint {
        path: head.path,
        body: rest,
        sender: rest,
    });
    first..=last
}
