//! Results of one workload's calls, as a line of a table.

use std::fmt;
use std::time::Duration;

use base::prelude::*;
use testutils::caller::Delivery;

use crate::traffic::Record;
use crate::traffic::Workload;

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
    /// Header line of the table.
    pub const HEADER: &str =
        "service                   sent answered  not-run  unknown   broken   p50 ms   p99 ms";

    /// Summarizes the calls of `workload`.
    #[must_use]
    pub fn new(workload: Workload, records: &[Record]) -> Self {
        let own = records
            .iter()
            .filter(|r| r.workload.service == workload.service);
        let own: Vec<&Record> = own.collect();
        let count = |test: fn(&&&Record) -> bool| own.iter().filter(test).count();
        let mut latencies: Vec<Duration> = own.iter().map(|r| r.latency).collect();
        latencies.sort_unstable();
        Self {
            service: workload.service,
            sent: own.len(),
            answered: count(|r| r.reply.is_ok()),
            not_run: count(|r| r.reply.outcome == Some(Outcome::NotRun)),
            unknown: count(|r| r.reply.outcome == Some(Outcome::Unknown)),
            broken: count(|r| r.reply.delivery != Delivery::Complete),
            p50: percentile(&latencies, 50),
            p99: percentile(&latencies, 99),
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

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let at = (sorted.len() * percent / 100).min(last);
    sorted.get(at).copied().unwrap_or_default()
}
