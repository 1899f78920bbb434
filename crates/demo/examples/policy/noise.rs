//! Service time that shifts within milliseconds.

use std::time::Duration;

use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;
use strum::EnumString;

/// How noisy the neighbours on an instance's machine are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Neighbours {
    /// They slow it 3 times for 12 ms of 72.
    Mild,
    /// They slow it 10 times for 50 ms of 500.
    Harsh,
}

impl Neighbours {
    /// Mean lengths of a calm and a busy stretch, and how much slower the busy one is.
    fn stretches(self) -> (Duration, Duration, f64) {
        match self {
            Self::Mild => (Duration::from_millis(60), Duration::from_millis(12), 3.0),
            Self::Harsh => (Duration::from_millis(450), Duration::from_millis(50), 10.0),
        }
    }

    /// Mean speed over both kinds of stretches.
    pub fn mean_speed(self) -> f64 {
        let (calm, busy, factor) = self.stretches();
        let (calm, busy) = (calm.as_secs_f64(), busy.as_secs_f64());
        (calm + busy / factor) / (calm + busy)
    }
}

/// A draw from the exponential distribution with mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// An instance's neighbours: alternating stretches, the same for every policy.
pub struct Noise {
    neighbours: Neighbours,
    rng: SmallRng,
    stretches: Vec<(Moment, f64)>,
}

impl Noise {
    /// The schedule of `seed`.
    pub fn new(neighbours: Neighbours, seed: u64) -> Self {
        Self {
            neighbours,
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
            let (calm, busy, factor) = self.neighbours.stretches();
            let is_busy = self.stretches.len() % 2 == 1;
            let (mean, factor) = if is_busy { (busy, factor) } else { (calm, 1.0) };
            let length = mean.mul_f64(exponential(&mut self.rng)) + Duration::from_micros(1);
            self.stretches.push((last + length, factor));
        }
        self.stretches[index]
    }
}
