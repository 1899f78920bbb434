//! Service time that shifts within milliseconds.

use std::time::Duration;

use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean seconds of a calm and a busy stretch, each with how much slower it is.
pub type Neighbours = [(f64, f64); 2];

/// They slow an instance 3 times for 12 ms of 72.
pub const MILD: Neighbours = [(0.060, 1.0), (0.012, 3.0)];
/// They slow an instance 10 times for 50 ms of 500.
pub const HARSH: Neighbours = [(0.450, 1.0), (0.050, 10.0)];
/// Enough stretches for every run: over 60 s.
const STRETCHES: usize = 2000;

/// An instance's alternating stretches with their ends, the same for every policy.
pub struct Noise(Vec<(Moment, f64)>);

impl Noise {
    /// The schedule of `seed`.
    pub fn new(neighbours: Neighbours, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut end = Moment::ZERO;
        let stretches = neighbours.iter().cycle().map(|(mean, factor)| {
            end = end + Duration::from_secs_f64(mean * exponential(&mut rng));
            (end, *factor)
        });
        Self(stretches.take(STRETCHES).collect())
    }

    /// How long `work` that starts at `start` takes.
    pub fn span(&self, start: Moment, work: Duration) -> Duration {
        let (mut at, mut left) = (start, work.as_secs_f64());
        let first = self.0.partition_point(|(end, _)| *end <= at);
        for (end, factor) in &self.0[first..] {
            let room = end.since(at).as_secs_f64() / factor;
            if left <= room {
                return at.since(start) + Duration::from_secs_f64(left * factor);
            }
            (at, left) = (*end, left - room);
        }
        Duration::MAX
    }
}

/// A draw from the exponential distribution with mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
