//! Random service times: jitter per request around a mean that changes within milliseconds.

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::settings::Settings;

/// Draws the service time of each request from a seeded generator. Reads no clock.
#[derive(Debug)]
pub struct ServiceTimes {
    rng: SmallRng,
    mean: Duration,
    jitter: f64,
    level_interval: Duration,
    level_spread: f64,
    /// Number of requests that are still to be slowed down after the start.
    cold_remaining: u32,
    cold_factor: u32,
    /// Factor on the service time of all requests.
    level: f64,
    next_level_change: Moment,
}

impl ServiceTimes {
    /// Service times as configured by `settings`, starting cold.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            mean: settings.time,
            jitter: f64::from(settings.jitter.0) / 100.0,
            level_interval: settings.shift,
            level_spread: f64::from(settings.swing.0) / 100.0,
            cold_remaining: settings.cold,
            cold_factor: settings.cold_factor,
            level: 1.0,
            next_level_change: Moment::ZERO + settings.shift,
        }
    }

    /// The service time of a request that starts at `now`.
    pub fn sample(&mut self, now: Moment) -> Duration {
        self.update_level(now);
        let jitter = self.random_factor(self.jitter);
        let time = self.mean.mul_f64(self.level * jitter);
        if self.cold_remaining == 0 {
            return time;
        }
        self.cold_remaining -= 1;
        time * self.cold_factor
    }

    fn update_level(&mut self, now: Moment) {
        if self.level_interval.is_zero() || now < self.next_level_change {
            return;
        }
        self.level = self.random_factor(self.level_spread);
        let interval_factor = self.random_factor(0.5);
        self.next_level_change = now + self.level_interval.mul_f64(interval_factor);
    }

    /// Draws a factor uniformly from `1 - spread` to `1 + spread`.
    fn random_factor(&mut self, spread: f64) -> f64 {
        1.0 + spread * (self.rng.random::<f64>() * 2.0 - 1.0)
    }
}
