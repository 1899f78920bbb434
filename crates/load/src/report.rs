//! Measurements of a run, printed as a table or as key=value lines.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// Maximum recorded latency, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits of a recorded latency.
const DIGITS: u8 = 3;

/// Outcome of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// A complete response of the upstream with status 2xx.
    Ok,
    /// A complete response of the upstream with another status.
    Status,
    /// The system reported that the request was not run.
    NotRun,
    /// The system reported that the request may have run.
    Unknown,
    /// No complete response: the connection broke or the body was truncated.
    Broken,
    /// Connecting failed for all addresses.
    Connect,
    /// No complete response in time.
    Timeout,
    /// No address was known.
    NoAddress,
    /// Not sent because too many calls were in flight.
    Unsent,
}

/// Measurements of one target.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the target, as printed.
    pub name: &'static str,
    /// How long calls were sent.
    pub duration: Duration,
    counts: [u64; 9],
    latency: Histogram<u64>,
    lag: Histogram<u64>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub fn new(name: &'static str, duration: Duration) -> Self {
        Self {
            name,
            duration,
            counts: [0; 9],
            latency: histogram(),
            lag: histogram(),
        }
    }

    /// Records a call that was sent `lag` after its intended time and ended `latency` after it.
    ///
    /// Only calls with the outcome `Ok` count into the latency.
    pub fn add(&mut self, outcome: CallOutcome, latency: Duration, lag: Duration) {
        self.counts[outcome as usize] += 1;
        if outcome == CallOutcome::Ok {
            self.latency.saturating_record(micros(latency));
        }
        self.lag.saturating_record(micros(lag));
    }

    /// Number of calls with this outcome.
    #[must_use]
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.counts[outcome as usize]
    }

    /// Number of all calls, including unsent ones.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Latency of the `Ok` calls at `quantile` (0 to 1).
    #[must_use]
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// 99th percentile of the delay with which the tool itself sent calls.
    #[must_use]
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.value_at_quantile(0.99))
    }

    /// `Ok` calls per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let ok = u32::try_from(self.count(CallOutcome::Ok)).unwrap_or(u32::MAX);
        f64::from(ok) / self.duration.as_secs_f64()
    }

    /// Formats the report as one line of key=value pairs.
    #[must_use]
    pub fn plain(&self) -> String {
        let mut items = vec![
            format!("target={}", self.name),
            format!("sent={}", self.sent()),
        ];
        items.extend(CallOutcome::iter().map(|v| format!("{v}={}", self.count(v))));
        let percentiles = self.percentiles();
        items.extend(
            percentiles.map(|(name, duration)| format!("{name}_us={}", duration.as_micros())),
        );
        items.push(format!("rate={:.1}", self.rate()));
        items.join(" ")
    }

    fn percentiles(&self) -> [(&'static str, Duration); 4] {
        [
            ("p50", self.latency(0.5)),
            ("p99", self.latency(0.99)),
            ("p999", self.latency(0.999)),
            ("lag_p99", self.lag()),
        ]
    }
}

/// Prints a human-readable table.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<12} {}", "target", self.name)?;
        writeln!(f, "{:<12} {}", "sent", self.sent())?;
        for outcome in CallOutcome::iter() {
            let count = self.count(outcome);
            if count > 0 || outcome == CallOutcome::Ok {
                writeln!(f, "{:<12} {count}", outcome.to_string())?;
            }
        }
        for (name, duration) in self.percentiles() {
            writeln!(f, "{name:<12} {:.3} ms", millis(duration))?;
        }
        write!(f, "{:<12} {:.1}/s", "rate", self.rate())
    }
}

/// Latency that the gateway adds to direct calls at `quantile`, in microseconds.
///
/// Negative if calls through the gateway were faster.
#[must_use]
pub fn added_micros(gateway: &Report, direct: &Report, quantile: f64) -> i64 {
    let signed = |r: &Report| i64::try_from(r.latency(quantile).as_micros()).unwrap_or(i64::MAX);
    signed(gateway) - signed(direct)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("valid constant bounds")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
