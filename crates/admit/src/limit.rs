//! An adaptive limit on the running calls of one service at one gateway.
//!
//! Gateways share the slots of the upstreams without coordinating. Upstreams queue requests
//! that exceed their slots, so too many running calls show as longer calls. Once calls take
//! [`MAX_LATENCY_RATIO`] times as long as without a queue, each gateway lowers its limit, so
//! that calls queue at the gateway, where they are ordered by deadline and can be refused.
//! Sheds lower the limit, too. It rises slowly while it is what delays calls.

use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::EnumIter;

/// Increase of the limit with each answer while the limit delays calls.
pub const INCREASE: f64 = 0.018;
/// Increase of the limit with each answer until the limit is lowered for the first time.
pub const INITIAL_INCREASE: f64 = 0.1;
/// Factor by which a shed lowers the limit.
pub const SHED_FACTOR: f64 = 0.95;
/// Minimum factor by which slow answers lower the limit at once.
pub const MIN_LATENCY_FACTOR: f64 = 0.7;
/// Ratio of the recent mean latency to the latency without a queue above which the limit is
/// lowered.
pub const MAX_LATENCY_RATIO: f64 = 1.3;
/// Minimum limit.
pub const MIN_LIMIT: f64 = 1.0;
/// Minimum of the initial limit and of what slow answers lower the limit to, because the
/// mean latency of a few calls is too noisy.
pub const MIN_LATENCY_LIMIT: f64 = 8.0;
/// The same minimum as a multiple of the gateway's share of the slots: calls that can't fill
/// the slots aren't slow because of a queue.
pub const MIN_LATENCY_LIMIT_PER_SLOT: f64 = 2.0;

// Weight of a new sample in the recent mean.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;
// Samples needed before the mean is compared.
const MIN_SAMPLES: u32 = 32;
// Growth of the minimum mean with each answer, so that it follows lasting changes.
const MIN_MEAN_GROWTH: f64 = 1.000_01;

// Multiples of the golden ratio are spread evenly over the unit interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Whether the limit adapts to the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// The limit stays at its maximum, as a baseline for comparisons.
    Fixed,
    /// The limit follows latency and sheds.
    #[default]
    Adaptive,
}

/// The limit on the running calls of one service.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    mode: Mode,
    max: u32,
    // Initial limit, and the minimum that slow answers lower the limit to. Starting here
    // lets the latency without a queue be measured first.
    latency_floor: f64,
    current: f64,
    // Added to the limit, between 0 and 1 and different at each start, so that the fraction
    // of a small limit is met on average.
    dither: f64,
    last_decrease: Option<Moment>,
    // Recent mean latency in seconds, and its minimum.
    mean: f64,
    min_mean: f64,
    samples: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit of at most `max`. `slots` is the gateway's share of the upstreams' slots.
    #[must_use]
    pub fn new(mode: Mode, max: u32, slots: u32) -> Self {
        let latency_floor = latency_floor(slots);
        let current = match mode {
            Mode::Fixed => f64::from(max),
            Mode::Adaptive => f64::from(max).min(latency_floor),
        };
        Self {
            mode,
            max,
            latency_floor,
            current,
            dither: 0.0,
            last_decrease: None,
            mean: 0.0,
            min_mean: f64::INFINITY,
            samples: 0,
        }
    }

    /// Changes the maximum. A limit that was at the maximum follows it.
    pub fn set_max(&mut self, max: u32) {
        let was_max = self.current >= f64::from(self.max);
        self.max = max;
        let max = f64::from(max);
        self.current = if was_max { max } else { self.current.min(max) };
    }

    /// Changes the gateway's share of the upstreams' slots. A larger share raises the limit
    /// to its new initial value.
    pub fn set_slots(&mut self, slots: u32) {
        let latency_floor = latency_floor(slots);
        if latency_floor > self.latency_floor {
            self.current = self.current.max(latency_floor).min(f64::from(self.max));
        }
        self.latency_floor = latency_floor;
    }

    /// Whether a call may start while `running` others run.
    #[must_use]
    pub fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.current + self.dither && running < self.max
    }

    /// Records the start of a call.
    pub fn record_start(&mut self) {
        self.dither = (self.dither + GOLDEN_RATIO).fract();
    }

    /// Records a call that was answered after `elapsed`; `was_full` says whether the limit
    /// was reached while it ran.
    pub fn record_answer(&mut self, elapsed: Duration, was_full: bool, now: Moment) {
        self.update_mean(elapsed);
        let ratio = self.mean / self.min_mean;
        if ratio > MAX_LATENCY_RATIO {
            self.decrease(
                (MAX_LATENCY_RATIO / ratio).max(MIN_LATENCY_FACTOR),
                self.latency_floor,
                now,
            );
        } else if was_full {
            let increase = self.last_decrease.map_or(INITIAL_INCREASE, |_| INCREASE);
            self.current = (self.current + increase).min(f64::from(self.max));
        }
    }

    /// Records that an upstream shed a call.
    pub fn record_shed(&mut self, now: Moment) {
        self.decrease(SHED_FACTOR, MIN_LIMIT, now);
    }

    fn update_mean(&mut self, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (elapsed.as_secs_f64() - self.mean) * weight;
        self.min_mean *= MIN_MEAN_GROWTH;
        if self.samples >= MIN_SAMPLES {
            self.min_mean = self.min_mean.min(self.mean);
        }
    }

    // At most once per mean latency, so that calls delayed by the same queue count once.
    fn decrease(&mut self, factor: f64, min: f64, now: Moment) {
        let interval = Duration::from_secs_f64(self.mean);
        if self.mode == Mode::Fixed
            || self
                .last_decrease
                .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        self.last_decrease = Some(now);
        let decreased = (self.current * factor).max(min);
        self.current = self.current.min(decreased);
    }

    /// The current limit.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.current
    }
}

fn latency_floor(slots: u32) -> f64 {
    (f64::from(slots) * MIN_LATENCY_LIMIT_PER_SLOT).max(MIN_LATENCY_LIMIT)
}
