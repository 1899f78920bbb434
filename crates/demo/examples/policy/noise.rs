//! Service time that shifts within milliseconds.

use std::time::Duration;

use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean length of a calm stretch.
const CALM: Duration = Duration::from_millis(60);
/// Mean length of a stretch in which a neighbour takes the machine's time.
const BUSY: Duration = Duration::from_millis(12);
/// How much slower work goes meanwhile.
const BUSY_FACTOR: f64 = 3.0;

/// Mean speed over both kinds of stretches.
pub fn mean_speed() -> f64 {
    let (calm, busy) = (CALM.as_secs_f64(), BUSY.as_secs_f64());
    (calm + busy / BUSY_FACTOR) / (calm + busy)
}

/// A draw from the exponential distribution with mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// An instance's neighbours: alternating stretches, the same for every policy.
pub struct Noise {
    rng: SmallRng,
    stretches: Vec<(Moment, f64)>,
}

impl Noise {
    /// The schedule of `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            stretches: Vec::new(),
        }
    }

    /// When `work` that starts at `start` is done.
    pub fn finish(&mut self, start: Moment, work: Duration) -> Moment {
        let mut at = start;
        let mut left = work.as_secs_f64();
        let mut index = self.stretches.partition_point(|(end, _)| *end <= at);
        loop {
            let (end, factor) = self.stretch(index);
            let room = end.since(at).as_secs_f64() / factor;
            if left <= room {
                return at + Duration::from_secs_f64(left * factor);
            }
            left -= room;
            at = end;
            index += 1;
        }
    }

    fn stretch(&mut self, index: usize) -> (Moment, f64) {
        while self.stretches.len() <= index {
            let last = self.stretches.last().map_or(Moment::ZERO, |(end, _)| *end);
            let busy = self.stretches.len() % 2 == 1;
            let (mean, factor) = if busy {
                (BUSY, BUSY_FACTOR)
            } else {
                (CALM, 1.0)
            };
            let length = mean.mul_f64(exponential(&mut self.rng)) + Duration::from_micros(1);
            self.stretches.push((last + length, factor));
        }
        self.stretches[index]
    }
}
