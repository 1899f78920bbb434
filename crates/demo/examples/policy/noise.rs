//! Noisy neighbours, which slow an instance at random for milliseconds at a time.

use std::time::Duration;

use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean duration in seconds and slowdown of calm and of busy intervals.
pub type Neighbours = [(f64, f64); 2];

/// Slowdown of 3 for 12 ms of 72 ms on average.
pub const MILD: Neighbours = [(0.060, 1.0), (0.012, 3.0)];
/// Slowdown of 10 for 50 ms of 500 ms on average.
pub const HARSH: Neighbours = [(0.450, 1.0), (0.050, 10.0)];
/// Number of intervals, which cover over 60 s and so every run.
const INTERVALS: usize = 2000;

/// Ends and slowdowns of an instance's alternating intervals, the same for every policy.
pub struct Noise(Vec<(Moment, f64)>);

impl Noise {
    /// Generates the intervals from `seed`.
    pub fn new(neighbours: Neighbours, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut end = Moment::ZERO;
        let intervals = neighbours.iter().cycle().map(|(mean, factor)| {
            end = end + Duration::from_secs_f64(mean * exponential(&mut rng));
            (end, *factor)
        });
        Self(intervals.take(INTERVALS).collect())
    }

    /// How long `work` takes if started at `start`.
    pub fn duration(&self, start: Moment, work: Duration) -> Duration {
        let (mut at, mut remaining) = (start, work.as_secs_f64());
        let first = self.0.partition_point(|(end, _)| *end <= at);
        for (end, factor) in &self.0[first..] {
            let work_in_interval = end.since(at).as_secs_f64() / factor;
            if remaining <= work_in_interval {
                return at.since(start) + Duration::from_secs_f64(remaining * factor);
            }
            (at, remaining) = (*end, remaining - work_in_interval);
        }
        Duration::MAX
    }
}

/// Draws from the exponential distribution with mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
