//! What a run is judged by.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::End;

/// Counts of one run, over the calls that arrived after the warm-up.
pub struct Tally {
    /// Latencies in microseconds; a call that failed counts with its whole deadline.
    pub latency: Histogram<u64>,
    /// Calls that arrived.
    pub calls: u32,
    /// Calls answered within their deadline.
    pub answered: u32,
    /// Calls refused at once.
    pub refused: u32,
    /// Calls that ended in an error other than the deadline.
    pub errors: u32,
    /// Attempts at instances.
    pub attempts: u32,
    /// Probes sent.
    pub probes: u32,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new() -> Self {
        let latency =
            Histogram::new_with_bounds(1, 60_000_000, 3).expect("three digits are allowed");
        Self {
            latency,
            calls: 0,
            answered: 0,
            refused: 0,
            errors: 0,
            attempts: 0,
            probes: 0,
        }
    }

    /// Notes the end of a call.
    pub fn record(&mut self, end: End, latency: Duration, attempts: u32) {
        self.calls += 1;
        self.attempts += attempts;
        match end {
            End::Answered => self.answered += 1,
            End::Refused => {
                self.refused += 1;
                return;
            }
            End::Late => {}
            End::Failed => self.errors += 1,
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// The figures of a run that measured for `span` with `instances`.
    pub fn figures(&self, span: Duration, instances: u32) -> Figures {
        let share = |count| f64::from(count) / f64::from(self.calls.max(1));
        let quantile = |q| {
            let micros = u32::try_from(self.latency.value_at_quantile(q));
            f64::from(micros.unwrap_or(u32::MAX)) / 1000.0
        };
        Figures {
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            within: share(self.answered),
            admitted: f64::from(self.answered) / f64::from((self.calls - self.refused).max(1)),
            refused: share(self.refused),
            errors: share(self.errors),
            attempts: share(self.attempts),
            probes: f64::from(self.probes) / span.as_secs_f64() / f64::from(instances),
        }
    }
}

/// The figures of a run; times in milliseconds, shares of all calls.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Median latency.
    pub p50: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1000.
    pub p999: f64,
    /// Answered within the deadline.
    pub within: f64,
    /// The same, of the calls that weren't refused.
    pub admitted: f64,
    /// Refused at once.
    pub refused: f64,
    /// Ended in an error.
    pub errors: f64,
    /// Attempts for each call.
    pub attempts: f64,
    /// Probes a second for each instance.
    pub probes: f64,
}

/// Median, least and greatest of a figure over the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub most: f64,
}

impl Spread {
    /// The spread of `figure` over `runs`, which has at least one.
    pub fn of(runs: &[Figures], figure: fn(&Figures) -> f64) -> Self {
        let mut values: Vec<f64> = runs.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        Self {
            median: values[values.len() / 2],
            least: values[0],
            most: values[values.len() - 1],
        }
    }
}

/// A figure's name with its unit, its value and its digits.
type Figure = (&'static str, fn(&Figures) -> f64, usize);

/// What is printed.
pub const FIGURES: [Figure; 9] = [
    ("p50_ms", |f| f.p50, 1),
    ("p99_ms", |f| f.p99, 1),
    ("p99.9_ms", |f| f.p999, 1),
    ("within_%", |f| f.within * 100.0, 2),
    ("admitted_%", |f| f.admitted * 100.0, 2),
    ("refused_%", |f| f.refused * 100.0, 2),
    ("errors_%", |f| f.errors * 100.0, 3),
    ("attempts", |f| f.attempts, 3),
    ("probes_s", |f| f.probes, 1),
];
