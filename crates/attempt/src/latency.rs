//! Latency quantiles of a service's recent responses, in constant memory.
//!
//! The latencies are counted in a histogram with four buckets per octave. All counts are halved
//! once they sum to [`WINDOW`], so that old responses lose weight. A quantile is the upper bound
//! of its bucket, at most 25 % too high.

use std::time::Duration;

/// Number of counted responses at which all counts are halved.
pub const WINDOW: u32 = 2048;
/// Minimum number of responses for a quantile.
pub const MIN_RESPONSES: u32 = 32;

const BUCKETS: usize = 96;
const MIN_NANOS: u64 = 1 << 14;
const PER_OCTAVE_BITS: u32 = 2;

/// Latency histogram of one service.
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
    /// Records the latency of a response.
    pub fn record(&mut self, latency: Duration) {
        let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        self.counts[bucket(nanos)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.halve();
        }
    }

    /// The quantile at `permille` thousandths; none with fewer than [`MIN_RESPONSES`] responses.
    #[must_use]
    pub fn quantile(&self, permille: u32) -> Option<Duration> {
        if self.total < MIN_RESPONSES {
            return None;
        }
        let rank = u64::from(self.total) * u64::from(permille) / 1000;
        let mut cumulative = 0_u64;
        let found = self.counts.iter().position(|count| {
            cumulative += u64::from(*count);
            cumulative > rank
        });
        Some(upper_bound(found.unwrap_or(BUCKETS - 1)))
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }
}

fn bucket(nanos: u64) -> usize {
    let nanos = nanos.max(MIN_NANOS);
    let octave = nanos.ilog2();
    let quarter = (nanos >> (octave - PER_OCTAVE_BITS)) & 3;
    let octaves = usize::try_from(octave - MIN_NANOS.ilog2()).unwrap_or(BUCKETS);
    let quarter = usize::try_from(quarter).unwrap_or(0);
    (octaves * 4 + quarter).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    let octave = MIN_NANOS << (index / 4);
    let step = octave / 4;
    let quarter = u64::try_from(index % 4).unwrap_or(0);
    Duration::from_nanos(octave + step * (quarter + 1))
}
