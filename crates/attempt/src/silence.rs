//! Decides when an attempt without any response is abandoned.
//!
//! An instance that can't queue a request never answers it. From outside that looks like work
//! that takes long, and to break off work costs callers more than to wait for it. An attempt is
//! therefore abandoned only in two cases:
//!
//! - The instance's reports show that it doesn't hold the request: two reports in a row, requested
//!   after the request was sent, count no request at all.
//! - A time limit has passed: a multiple of the expected time, by the distribution of the route's
//!   responses. It is shorter for an instance that has lost requests or doesn't answer probes.
//!
//! [`Silence`] is a state machine without I/O, for one attempt of an idempotent request. The
//! driver performs each [`Step`], and reports what came of it.

use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::IntoStaticStr;

use crate::distribution::Distribution;

/// Quantile of the responses after which an attempt is checked.
const CHECK_QUANTILE: f64 = 0.95;
/// Quantile on which the time limits are based.
const LIMIT_QUANTILE: f64 = 0.99;
/// Multiple of the expected time after which an attempt is checked, before enough responses.
const DEFAULT_CHECK: f64 = 2.0;
/// Lower bound of the multiple after which an attempt is checked.
const MIN_CHECK: f64 = 1.2;
/// Basis of the time limits before enough responses: machines at a quarter of their usual pace and
/// nearly full take 6.8 times as long.
const DEFAULT_LIMIT: f64 = 7.0;
/// Lower bound of the basis of the time limits.
const MIN_LIMIT: f64 = 3.0;
/// Multiple of that basis at an instance that isn't suspected.
const UNSUSPECTED_FACTOR: f64 = 2.0;
/// Earliest check of an attempt. The request's first packet has arrived by then unless it was lost.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Interval between checks as a fraction of the time waited.
const INTERVAL_FRACTION: f64 = 0.3;
/// Lower bound of that interval. A response that was sent before a report can arrive after it,
/// within this time.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Number of reports in a row that must not count the request.
const EMPTY_REPORTS: u32 = 2;
/// A timer that is late by this much shows that this process was stopped, so responses may wait
/// to be read.
const MAX_DELAY: Duration = Duration::from_millis(50);

/// When an attempt is checked and abandoned, counted from when the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time of the first check.
    pub check: Duration,
    /// Time limit at an instance that is suspected of losing requests.
    pub suspected: Duration,
    /// Time limit at any other instance.
    pub unsuspected: Duration,
}

impl Limits {
    /// The limits of an attempt that is expected to take `expected`.
    #[must_use]
    pub fn new(expected: Duration, distribution: &Distribution) -> Self {
        let check = distribution.ratio(CHECK_QUANTILE).unwrap_or(DEFAULT_CHECK);
        let limit = distribution.ratio(LIMIT_QUANTILE).unwrap_or(DEFAULT_LIMIT);
        let suspected = expected.mul_f64(limit.max(MIN_LIMIT));
        Self {
            check: expected.mul_f64(check.max(MIN_CHECK)).max(MIN_WAIT),
            suspected,
            unsuspected: suspected.mul_f64(UNSUSPECTED_FACTOR),
        }
    }
}

/// Why an attempt is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The instance's reports don't count the request.
    NotHeld,
    /// The time limit at a suspected instance has passed.
    Suspected,
    /// The time limit has passed.
    Overdue,
}

/// What the driver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the response until then.
    Wait(Moment),
    /// Request a report of the instance.
    Probe,
    /// Abandon the attempt if the request may be sent to another instance.
    Abandon(Cause),
}

/// The state of one attempt that has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    sent_at: Moment,
    limits: Limits,
    next_check: Moment,
    /// Nothing is abandoned before.
    hold_until: Moment,
    /// Reports in a row that don't count the request.
    empty_reports: u32,
    suspected: bool,
    /// Until when the driver was told to wait.
    waits_until: Option<Moment>,
}

impl Silence {
    /// An attempt whose request was completely sent at `sent_at`.
    #[must_use]
    pub fn new(sent_at: Moment, limits: Limits) -> Self {
        Self {
            sent_at,
            limits,
            next_check: sent_at + limits.check,
            hold_until: sent_at,
            empty_reports: 0,
            suspected: false,
            waits_until: None,
        }
    }

    /// What to do at `now`.
    pub fn step(&mut self, now: Moment) -> Step {
        let waited_until = self.waits_until.take();
        if waited_until.is_some_and(|until| now.since(until) > MAX_DELAY) {
            self.postpone(now, MAX_DELAY);
        }
        let due = self.due();
        if now < due {
            self.waits_until = Some(due);
            return Step::Wait(due);
        }
        match self.cause(now) {
            Some(cause) if now >= self.hold_until => Step::Abandon(cause),
            _ => Step::Probe,
        }
    }

    /// Records that the instance reported `held` requests to a probe sent at `probed_at`.
    pub fn record_report(&mut self, now: Moment, probed_at: Moment, held: u32) {
        if held > 0 || probed_at < self.sent_at + MIN_WAIT {
            self.empty_reports = 0;
        } else {
            self.empty_reports += 1;
        }
        self.next_check = match self.empty_reports {
            0 => now + self.interval(now),
            EMPTY_REPORTS.. => now,
            _ => now + MIN_INTERVAL,
        };
    }

    /// Records that the instance didn't answer a probe.
    pub fn record_no_report(&mut self, now: Moment) {
        self.suspect();
        self.empty_reports = 0;
        self.next_check = now + self.interval(now);
    }

    /// Records that the instance has lost other requests, or doesn't answer probes.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Records that no report is to be had now, or that the attempt can't be abandoned now.
    pub fn decline(&mut self, now: Moment) {
        self.postpone(now, self.interval(now));
    }

    fn postpone(&mut self, now: Moment, delay: Duration) {
        self.next_check = now + delay;
        self.hold_until = self.next_check;
    }

    /// Whether the instance is suspected.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// When the request was sent.
    #[must_use]
    pub fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// The time limits.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn interval(&self, now: Moment) -> Duration {
        let waited = now.since(self.sent_at);
        waited.mul_f64(INTERVAL_FRACTION).max(MIN_INTERVAL)
    }

    fn overdue_at(&self) -> Moment {
        let limit = if self.suspected {
            self.limits.suspected
        } else {
            self.limits.unsuspected
        };
        self.sent_at + limit
    }

    fn due(&self) -> Moment {
        self.next_check.min(self.overdue_at()).max(self.hold_until)
    }

    fn cause(&self, now: Moment) -> Option<Cause> {
        if self.empty_reports >= EMPTY_REPORTS {
            return Some(Cause::NotHeld);
        }
        let cause = if self.suspected {
            Cause::Suspected
        } else {
            Cause::Overdue
        };
        (now >= self.overdue_at()).then_some(cause)
    }
}
