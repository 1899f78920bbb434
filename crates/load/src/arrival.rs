//! Intended times of the calls: evenly spaced or a Poisson process.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;
use strum::EnumString;

/// Distribution of the times between calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Spacing {
    /// Constant times.
    Even,
    /// Exponentially distributed times, as of many independent callers.
    #[default]
    Poisson,
}

/// Iterator over the intended times of the calls, as offsets from the start.
#[derive(Debug)]
pub struct Arrivals {
    spacing: Spacing,
    rng: SmallRng,
    /// Mean time between two calls, in seconds.
    mean_interval: f64,
    offset: f64,
    end: f64,
}

impl Arrivals {
    /// Creates the arrivals of `rate` calls per second for `duration`.
    #[must_use]
    pub fn new(spacing: Spacing, rate: u32, duration: Duration, seed: u64) -> Self {
        Self {
            spacing,
            rng: SmallRng::seed_from_u64(seed),
            mean_interval: 1.0 / f64::from(rate),
            offset: 0.0,
            end: duration.as_secs_f64(),
        }
    }

    fn next_interval(&mut self) -> f64 {
        match self.spacing {
            Spacing::Even => self.mean_interval,
            Spacing::Poisson => {
                let uniform: f64 = self.rng.random();
                -(1.0 - uniform).ln() * self.mean_interval
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.offset += self.next_interval();
        (self.offset < self.end).then(|| Duration::from_secs_f64(self.offset))
    }
}
