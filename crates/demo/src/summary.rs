//! What one kind of caller got, in one line of a table.

use std::fmt;
use std::time::Duration;

use base::prelude::*;
use testutils::caller::End;

use crate::traffic::Record;
use crate::traffic::Shape;

/// Counts and latencies of one service's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    service: &'static str,
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    broken: usize,
    p50: Duration,
    p99: Duration,
}

impl Summary {
    /// The table's first line.
    pub const HEAD: &str =
        "service                   sent answered  not-run  unknown   broken   p50 ms   p99 ms";

    /// Sums up the calls of `shape`.
    #[must_use]
    pub fn new(shape: Shape, records: &[Record]) -> Self {
        let own = records.iter().filter(|r| r.shape.service == shape.service);
        let own: Vec<&Record> = own.collect();
        let count = |test: fn(&&&Record) -> bool| own.iter().filter(test).count();
        let mut times: Vec<Duration> = own.iter().map(|r| r.took).collect();
        times.sort_unstable();
        Self {
            service: shape.service,
            sent: own.len(),
            answered: count(|r| r.reply.is_ok()),
            not_run: count(|r| r.reply.outcome == Some(Outcome::NotRun)),
            unknown: count(|r| r.reply.outcome == Some(Outcome::Unknown)),
            broken: count(|r| r.reply.end != End::Whole),
            p50: share(&times, 50),
            p99: share(&times, 99),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<24} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8.1} {:>8.1}",
            self.service,
            self.sent,
            self.answered,
            self.not_run,
            self.unknown,
            self.broken,
            self.p50.as_secs_f64() * 1_000.0,
            self.p99.as_secs_f64() * 1_000.0,
        )
    }
}

fn share(sorted: &[Duration], percent: usize) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let at = (sorted.len() * percent / 100).min(last);
    sorted.get(at).copied().unwrap_or_default()
}
