//! Counters, gauges and histograms kept in the process, for whoever asks for them.
//!
//! It is a sink for the metrics library, so that one call both sends a metric
//! over UDP, where a sink is set, and counts it here. What it shows is text, one
//! metric a line: `name{tag="value"} number`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::panic::RefUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Metrics with different names or tags that are kept; others are counted as left out.
const MAX_METRICS: usize = 2_048;
/// Significant digits of a histogram: one in a hundred, at 2 KB a histogram.
const DIGITS: u8 = 2;
/// The longest time that a histogram tells apart, in milliseconds: ten minutes.
const MAX_MS: u64 = 600_000;
/// What is shown of a histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

#[derive(Debug)]
enum Metric {
    Counter(i64),
    Gauge(f64),
    Times(Box<Histogram<u32>>, u64),
}

#[derive(Debug, Default)]
struct State {
    metrics: BTreeMap<String, Metric>,
    left_out: u64,
}

/// The metrics of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    state: Arc<Mutex<State>>,
}

/// One metric as the library writes it: `name:value|kind|#tag:value,...`.
struct Line<'a> {
    name: &'a str,
    value: &'a str,
    kind: &'a str,
    tags: &'a str,
}

impl<'a> Line<'a> {
    fn read(text: &'a str) -> Option<Self> {
        let (name, rest) = text.split_once(':')?;
        let mut parts = rest.split('|');
        let value = parts.next()?;
        let kind = parts.next()?;
        let tags = parts.find_map(|part| part.strip_prefix('#'));
        Some(Self {
            name,
            value,
            kind,
            tags: tags.unwrap_or_default(),
        })
    }

    /// Its name with its tags.
    fn key(&self) -> String {
        let mut key = self.name.replace(['.', '-'], "_");
        if self.tags.is_empty() {
            return key;
        }
        key.push('{');
        for (i, tag) in self.tags.split(',').enumerate() {
            let (name, value) = tag.split_once(':').unwrap_or((tag, ""));
            let comma = if i == 0 { "" } else { "," };
            // Writing to a string fails for no reason of its own.
            let _ = write!(key, "{comma}{name}=\"{value}\"");
        }
        key.push('}');
        key
    }
}

impl MetricsRegistry {
    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let state = self.state();
        let mut out = String::new();
        for (key, metric) in &state.metrics {
            // Writing to a string fails for no reason of its own.
            let _ = match metric {
                Metric::Counter(count) => writeln!(out, "{key} {count}"),
                Metric::Gauge(value) => writeln!(out, "{key} {value}"),
                Metric::Times(times, sum) => write_times(&mut out, key, times, *sum),
            };
        }
        let _ = writeln!(out, "rwr_metrics_left_out {}", state.left_out);
        out
    }

    fn take(&self, line: &Line) {
        let key = line.key();
        let mut state = self.state();
        if state.metrics.len() >= MAX_METRICS && !state.metrics.contains_key(&key) {
            state.left_out += 1;
            return;
        }
        match line.kind {
            "c" => {
                let metric = state.metrics.entry(key).or_insert(Metric::Counter(0));
                if let (Metric::Counter(count), Ok(value)) = (metric, line.value.parse::<i64>()) {
                    *count += value;
                }
            }
            "g" => {
                if let Ok(value) = line.value.parse() {
                    state.metrics.insert(key, Metric::Gauge(value));
                }
            }
            "ms" => {
                if let Ok(value) = line.value.parse() {
                    observe(&mut state, &key, value);
                }
            }
            _ => state.left_out += 1,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn observe(state: &mut State, key: &str, millis: u64) {
    if !state.metrics.contains_key(key) {
        // Bounds and digits are constants that the library allows.
        let Ok(times) = Histogram::new_with_bounds(1, MAX_MS, DIGITS) else {
            return;
        };
        let times = Metric::Times(Box::new(times), 0);
        state.metrics.insert(key.to_owned(), times);
    }
    if let Some(Metric::Times(times, sum)) = state.metrics.get_mut(key) {
        times.saturating_record(millis);
        *sum += millis;
    }
}

fn write_times(out: &mut String, key: &str, times: &Histogram<u32>, sum: u64) -> std::fmt::Result {
    let (name, tags) = match key.split_once('{') {
        Some((name, tags)) => (name, format!(",{}", tags.trim_end_matches('}'))),
        None => (key, String::new()),
    };
    for quantile in QUANTILES {
        let value = times.value_at_quantile(quantile);
        writeln!(out, "{name}_ms{{quantile=\"{quantile}\"{tags}}} {value}")?;
    }
    let bare = tags.trim_start_matches(',');
    writeln!(out, "{name}_ms_count{{{bare}}} {}", times.len())?;
    writeln!(out, "{name}_ms_sum{{{bare}}} {sum}")
}

/// A sink beyond the board.
pub(crate) type Next = Box<dyn MetricSink + Send + Sync + RefUnwindSafe>;

/// Passes each metric to the board, and on to another sink where there is one.
pub(crate) struct Tee {
    pub(crate) registry: MetricsRegistry,
    pub(crate) next: Option<Next>,
}

impl MetricSink for Tee {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some(line) = Line::read(metric) {
            self.registry.take(&line);
        }
        match &self.next {
            Some(next) => next.emit(metric),
            None => Ok(metric.len()),
        }
    }
}
