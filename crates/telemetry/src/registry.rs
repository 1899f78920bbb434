//! In-process registry of counters, gauges and timers, for scraping.
//!
//! The registry is filled by a sink of the metrics library, so one call both records a metric here
//! and sends it over UDP if a sink is configured. Its text format has one metric per line:
//! `name{tag="value"} number`.

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

/// Maximum number of metrics, by name and tags; values of further ones are counted as dropped.
const MAX_METRICS: usize = 2_048;
/// Significant decimal digits of a histogram, which then takes 2 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longest duration that a histogram records, in milliseconds; longer ones count as this.
const MAX_DURATION_MS: u64 = 600_000;
/// Quantiles reported for a timer.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

#[derive(Debug)]
enum Metric {
    Counter(i64),
    Gauge(f64),
    /// Durations in milliseconds, and their sum.
    Timer(Box<Histogram<u32>>, u64),
}

#[derive(Debug, Default)]
struct State {
    metrics: BTreeMap<String, Metric>,
    dropped: u64,
}

/// The metrics of one process. Clones share the same metrics.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    state: Arc<Mutex<State>>,
}

/// One metric in the statsd format: `name:value|kind|#tag:value,...`.
struct StatsdLine<'a> {
    name: &'a str,
    value: &'a str,
    kind: &'a str,
    tags: &'a str,
}

impl<'a> StatsdLine<'a> {
    fn parse(text: &'a str) -> Option<Self> {
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

    /// The name and tags as they appear in the text format.
    fn key(&self) -> String {
        let mut key = self.name.replace(['.', '-'], "_");
        if self.tags.is_empty() {
            return key;
        }
        key.push('{');
        for (i, tag) in self.tags.split(',').enumerate() {
            let (name, value) = tag.split_once(':').unwrap_or((tag, ""));
            let comma = if i == 0 { "" } else { "," };
            // Writing to a string can't fail.
            let _ = write!(key, "{comma}{name}=\"{value}\"");
        }
        key.push('}');
        key
    }
}

impl MetricsRegistry {
    /// Renders all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let state = self.state();
        let mut out = String::new();
        for (key, metric) in &state.metrics {
            // Writing to a string can't fail.
            let _ = match metric {
                Metric::Counter(count) => writeln!(out, "{key} {count}"),
                Metric::Gauge(value) => writeln!(out, "{key} {value}"),
                Metric::Timer(histogram, sum) => write_timer(&mut out, key, histogram, *sum),
            };
        }
        let _ = writeln!(out, "rwr_metrics_left_out {}", state.dropped);
        out
    }

    fn record(&self, line: &StatsdLine) {
        let key = line.key();
        let mut state = self.state();
        if state.metrics.len() >= MAX_METRICS && !state.metrics.contains_key(&key) {
            state.dropped += 1;
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
                    record_duration(&mut state, &key, value);
                }
            }
            _ => state.dropped += 1,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record_duration(state: &mut State, key: &str, millis: u64) {
    if !state.metrics.contains_key(key) {
        // The bounds and digits are valid constants, so creation doesn't fail.
        let Ok(histogram) = Histogram::new_with_bounds(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        else {
            return;
        };
        let histogram = Metric::Timer(Box::new(histogram), 0);
        state.metrics.insert(key.to_owned(), histogram);
    }
    if let Some(Metric::Timer(histogram, sum)) = state.metrics.get_mut(key) {
        histogram.saturating_record(millis);
        *sum += millis;
    }
}

fn write_timer(
    out: &mut String,
    key: &str,
    histogram: &Histogram<u32>,
    sum: u64,
) -> std::fmt::Result {
    let (name, tags) = match key.split_once('{') {
        Some((name, tags)) => (name, format!(",{}", tags.trim_end_matches('}'))),
        None => (key, String::new()),
    };
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile);
        writeln!(out, "{name}_ms{{quantile=\"{quantile}\"{tags}}} {value}")?;
    }
    let bare = tags.trim_start_matches(',');
    writeln!(out, "{name}_ms_count{{{bare}}} {}", histogram.len())?;
    writeln!(out, "{name}_ms_sum{{{bare}}} {sum}")
}

/// A sink that gets the metrics in addition to the registry.
pub(crate) type NextSink = Box<dyn MetricSink + Send + Sync + RefUnwindSafe>;

/// Records each metric in the registry and passes it on to the next sink, if there is one.
pub(crate) struct Tee {
    pub(crate) registry: MetricsRegistry,
    pub(crate) next: Option<NextSink>,
}

impl MetricSink for Tee {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some(line) = StatsdLine::parse(metric) {
            self.registry.record(&line);
        }
        match &self.next {
            Some(next) => next.emit(metric),
            None => Ok(metric.len()),
        }
    }
}
