//! When calls are sent: evenly or as a Poisson process.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;
use strum::EnumString;

/// How the times between calls are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Spacing {
    /// The same time between any two calls.
    Even,
    /// Exponential times, as of many independent callers.
    #[default]
    Poisson,
}

/// The intended times of the calls, as offsets from the start.
#[derive(Debug)]
pub struct Arrivals {
    spacing: Spacing,
    rng: SmallRng,
    gap: f64,
    at: f64,
    end: f64,
}

impl Arrivals {
    /// Arrivals at `rate` a second for `span`.
    #[must_use]
    pub fn new(spacing: Spacing, rate: u32, duration: Duration, seed: u64) -> Self {
        Self {
            spacing,
            rng: SmallRng::seed_from_u64(seed),
            gap: 1.0 / f64::from(rate),
            at: 0.0,
            end: duration.as_secs_f64(),
        }
    }

    fn gap(&mut self) -> f64 {
        match self.spacing {
            Spacing::Even => self.gap,
            Spacing::Poisson => {
                let uniform: f64 = self.rng.random();
                -(1.0 - uniform).ln() * self.gap
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.at += self.gap();
        (self.at < self.end).then(|| Duration::from_secs_f64(self.at))
    }
}
