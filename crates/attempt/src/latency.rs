//! Latency quantiles of one service from recent answers, in fixed memory.
//!
//! A histogram with four buckets an octave, halved as a whole once it holds
//! [`WINDOW`] answers, so that old answers fade. A quantile is the upper bound of
//! its bucket: at most 25 % too high.

use std::time::Duration;

/// Answers after which all counts are halved.
pub const WINDOW: u32 = 2048;
/// Answers below which no quantile is given.
pub const FEWEST: u32 = 32;

const BUCKETS: usize = 96;
const SMALLEST_NANOS: u64 = 1 << 14;
const PER_OCTAVE_BITS: u32 = 2;

/// Recent latencies of one service.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Latency {
    /// Counts one answer.
    pub fn record(&mut self, span: Duration) {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        self.counts[bucket(nanos)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.halve();
        }
    }

    /// The quantile at `permille` thousandths; none with fewer than [`FEWEST`] answers.
    #[must_use]
    pub fn quantile(&self, permille: u32) -> Option<Duration> {
        if self.total < FEWEST {
            return None;
        }
        let rank = u64::from(self.total) * u64::from(permille) / 1000;
        let mut seen = 0_u64;
        let found = self.counts.iter().position(|count| {
            seen += u64::from(*count);
            seen > rank
        });
        Some(upper(found.unwrap_or(BUCKETS - 1)))
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }
}

fn bucket(nanos: u64) -> usize {
    let nanos = nanos.max(SMALLEST_NANOS);
    let octave = nanos.ilog2();
    let within = (nanos >> (octave - PER_OCTAVE_BITS)) & 3;
    let octaves = usize::try_from(octave - SMALLEST_NANOS.ilog2()).unwrap_or(BUCKETS);
    let within = usize::try_from(within).unwrap_or(0);
    (octaves * 4 + within).min(BUCKETS - 1)
}

fn upper(index: usize) -> Duration {
    let octave = SMALLEST_NANOS << (index / 4);
    let step = octave / 4;
    let within = u64::try_from(index % 4).unwrap_or(0);
    Duration::from_nanos(octave + step * (within + 1))
}
