//! Which requests crash the instances that run them: a pure state machine.
//!
//! An instance takes all requests with it that it runs, so that a crash says little of any of
//! them. A request is refused once several instances have crashed under it and it has
//! succeeded nowhere. Where the service's instances crash without it more often than with
//! it, something else is at work, and more crashes are asked for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::Head;

/// Crashes after which a request is refused.
pub const CRASHES: usize = 3;
/// The same where the service's instances crash more often without it.
pub const CRASHES_AMONG_OTHERS: usize = 4;
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
/// Requests that are told of.
const MOST_TOLD: usize = 256;

/// One start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
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
    pub life: Life,
    /// When it crashed.
    pub at: Moment,
}

/// What a crash led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was known.
    Known,
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

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    lives: BTreeSet<Life>,
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

    fn refuse(&mut self, now: Moment) -> Duration {
        let span = REFUSAL.saturating_mul(1_u32.checked_shl(self.refusals).unwrap_or(u32::MAX));
        let span = span.min(MOST_REFUSAL);
        self.refusals += 1;
        self.until = now + span;
        span
    }
}

/// Counts crashes and refuses requests.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
    crashes: BTreeMap<Life, (ServiceName, Moment)>,
    revision: u64,
}

impl Tracker {
    /// Rises with each change of what is told.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes that an instance crashed while it ran a request.
    pub fn crashed(&mut self, now: Moment, crash: &Crash) -> Outcome {
        self.forget(now);
        self.crashes
            .insert(crash.life.clone(), (crash.service.clone(), crash.at));
        let record = self.records.entry(crash.request).or_default();
        if !record.lives.insert(crash.life.clone()) {
            return Outcome::Known;
        }
        record.last = record.last.max(crash.at);
        let record = record.clone();
        let crashes = record.lives.len();
        let others = self.others(&crash.service, &record);
        // One that was sent before the refusal tells nothing new.
        let again = record.refusals > 0 && crash.at >= record.until;
        let due = record.refusals == 0 && crashes >= needed(crashes, others);
        let outcome = if again || due {
            let record = self.records.entry(crash.request).or_default();
            let span = record.refuse(now);
            Outcome::Refused { crashes, span }
        } else {
            Outcome::Counted { crashes, others }
        };
        if crashes >= SUSPECT || again {
            self.revision += 1;
        }
        outcome
    }

    /// Instances of the service that crashed without the request, from shortly before the
    /// first that crashed under it.
    fn others(&self, service: &ServiceName, record: &Record) -> usize {
        let at = |life: &Life| self.crashes.get(life).map(|(_, at)| *at);
        let first = record.lives.iter().filter_map(at).min();
        let Some(from) = first.map(|first| first.before(PRELUDE)) else {
            return 0;
        };
        let others = self.crashes.iter().filter(|(life, (of, at))| {
            of == service && *at >= from && !record.lives.contains(*life)
        });
        others.count()
    }

    /// Takes that an instance has answered a request: whatever crashed before, it wasn't the
    /// request. Gives whether that is news.
    pub fn succeeded(&mut self, now: Moment, request: Fingerprint) -> bool {
        let Some(record) = self.records.remove(&request) else {
            return false;
        };
        self.revision += u64::from(record.is_told(now));
        true
    }

    /// Takes that another process refuses a request, for so long. Gives whether that is
    /// news.
    pub fn learn(&mut self, now: Moment, request: Fingerprint, left: Duration) -> bool {
        let record = self.records.entry(request).or_default();
        let news = !record.is_refused(now);
        // Messages take time, and each process counts for itself.
        record.until = record.until.max(now + left.min(MOST_REFUSAL));
        record.refusals = record.refusals.max(1);
        self.revision += u64::from(news);
        news
    }

    /// How much longer a request is refused, if it is.
    #[must_use]
    pub fn refused(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&request)?;
        record.is_refused(now).then(|| record.until.since(now))
    }

    /// Whether anything is known of a request with this head.
    #[must_use]
    pub fn concerns(&self, head: Head) -> bool {
        let [first, last] = [0, u64::MAX].map(|body| Fingerprint { head, body });
        self.records.range(first..=last).next().is_some()
    }

    /// What others are told: the requests that are refused first.
    #[must_use]
    pub fn suspects(&self, now: Moment) -> Vec<Suspect> {
        let told = self.records.iter().filter(|(_, r)| r.is_told(now));
        let mut told: Vec<Suspect> = told
            .map(|(request, record)| Suspect {
                request: *request,
                refused: record.until.since(now),
            })
            .collect();
        told.sort_by_key(|suspect| std::cmp::Reverse(suspect.refused));
        told.truncate(MOST_TOLD);
        told
    }

    /// Forgets what is long ago, and what is too much.
    pub fn forget(&mut self, now: Moment) {
        self.records.retain(|_, record| record.is_kept(now));
        self.crashes.retain(|_, (_, at)| now.since(*at) < WINDOW);
        if self.records.len() >= MOST_REQUESTS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.last.max(r.until));
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.records.remove(&request);
            }
        }
        if self.crashes.len() >= MOST_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(life) = oldest.map(|(life, _)| life.clone()) {
                self.crashes.remove(&life);
            }
        }
    }
}

fn needed(crashes: usize, others: usize) -> usize {
    if others > crashes {
        CRASHES_AMONG_OTHERS
    } else {
        CRASHES
    }
}
