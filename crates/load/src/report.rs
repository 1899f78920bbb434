//! What a run measured, as a table or as key=value lines.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// Greatest latency that is recorded, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// What became of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// The upstream's answer, 2xx, whole.
    Ok,
    /// The upstream's own answer of another status.
    Status,
    /// Refused, certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No whole answer: the connection broke or the body was short.
    Broken,
    /// No connection to any address.
    Connect,
    /// No answer in time.
    Timeout,
    /// No address was known.
    NoAddress,
    /// Never sent, as too many calls were under way.
    Unsent,
}

/// Figures of one target.
#[derive(Clone, Debug)]
pub struct Report {
    /// What was called, for the reader.
    pub name: &'static str,
    /// How long calls were sent.
    pub duration: Duration,
    counts: [u64; 9],
    latency: Histogram<u64>,
    lag: Histogram<u64>,
}

impl Report {
    /// An empty report.
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

    /// Adds a call that ended `latency` after its intended time and left `lag` after it.
    ///
    /// Only calls with an upstream's whole answer count into the latency.
    pub fn add(&mut self, verdict: CallOutcome, latency: Duration, lag: Duration) {
        self.counts[verdict as usize] += 1;
        if verdict == CallOutcome::Ok {
            self.latency.saturating_record(micros(latency));
        }
        self.lag.saturating_record(micros(lag));
    }

    /// Calls that ended so.
    #[must_use]
    pub fn count(&self, verdict: CallOutcome) -> u64 {
        self.counts[verdict as usize]
    }

    /// All calls.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Latency below which `share` (0 to 1) of the answered calls stayed.
    #[must_use]
    pub fn latency(&self, share: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(share))
    }

    /// How late the tool itself was for 99 in 100 calls.
    #[must_use]
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.value_at_quantile(0.99))
    }

    /// Answered calls a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let ok = u32::try_from(self.count(CallOutcome::Ok)).unwrap_or(u32::MAX);
        f64::from(ok) / self.duration.as_secs_f64()
    }

    /// One line of key=value pairs.
    #[must_use]
    pub fn plain(&self) -> String {
        let mut items = vec![
            format!("target={}", self.name),
            format!("sent={}", self.sent()),
        ];
        items.extend(CallOutcome::iter().map(|v| format!("{v}={}", self.count(v))));
        let spans = self.spans();
        items.extend(spans.map(|(name, duration)| format!("{name}_us={}", duration.as_micros())));
        items.push(format!("rate={:.1}", self.rate()));
        items.join(" ")
    }

    fn spans(&self) -> [(&'static str, Duration); 4] {
        [
            ("p50", self.latency(0.5)),
            ("p99", self.latency(0.99)),
            ("p999", self.latency(0.999)),
            ("lag_p99", self.lag()),
        ]
    }
}

/// A table for people.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<12} {}", "target", self.name)?;
        writeln!(f, "{:<12} {}", "sent", self.sent())?;
        for verdict in CallOutcome::iter() {
            let count = self.count(verdict);
            if count > 0 || verdict == CallOutcome::Ok {
                writeln!(f, "{:<12} {count}", verdict.to_string())?;
            }
        }
        for (name, duration) in self.spans() {
            writeln!(f, "{name:<12} {:.3} ms", millis(duration))?;
        }
        write!(f, "{:<12} {:.1}/s", "rate", self.rate())
    }
}

/// Latency that the gateway adds to a direct call, at one share of the calls.
///
/// Negative where the way through the gateway was faster.
#[must_use]
pub fn added_micros(through: &Report, direct: &Report, share: f64) -> i64 {
    let signed = |r: &Report| i64::try_from(r.latency(share).as_micros()).unwrap_or(i64::MAX);
    signed(through) - signed(direct)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("constant bounds that are valid")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
