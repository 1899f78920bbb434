//! Service times: seeded jitter on a level that shifts within milliseconds.

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::settings::Settings;

/// Gives each request its service time; pure, the time is passed in.
#[derive(Debug)]
pub struct Pace {
    rng: SmallRng,
    time: Duration,
    jitter: f64,
    shift: Duration,
    swing: f64,
    cold: u32,
    factor: u32,
    level: f64,
    next: Moment,
}

impl Pace {
    /// The pace that `settings` describe, cold.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            time: settings.time,
            jitter: f64::from(settings.jitter.0) / 100.0,
            shift: settings.shift,
            swing: f64::from(settings.swing.0) / 100.0,
            cold: settings.cold,
            factor: settings.cold_factor,
            level: 1.0,
            next: Moment::ZERO + settings.shift,
        }
    }

    /// The service time of a request that starts at `now`.
    pub fn time(&mut self, now: Moment) -> Duration {
        self.shift_level(now);
        let jitter = self.around(self.jitter);
        let time = self.time.mul_f64(self.level * jitter);
        if self.cold == 0 {
            return time;
        }
        self.cold -= 1;
        time * self.factor
    }

    fn shift_level(&mut self, now: Moment) {
        if self.shift.is_zero() || now < self.next {
            return;
        }
        self.level = self.around(self.swing);
        let wait = self.around(0.5);
        self.next = now + self.shift.mul_f64(wait);
    }

    fn around(&mut self, spread: f64) -> f64 {
        1.0 + spread * (self.rng.random::<f64>() * 2.0 - 1.0)
    }
}
