//! An adaptive bound on the running calls of one service at one gateway.
//!
//! The gateways share the upstreams' slots without talking of it. Upstreams queue
//! what their slots can't take, so too many running calls show as time: once a
//! call takes [`STRETCH`] times what it takes without a queue, each gateway shrinks
//! its bound, and calls wait here, where they are ordered and can be refused. A shed
//! shrinks it too. It grows slowly while it is what holds calls back. A bound of a
//! few calls is too coarse in whole steps, so its fraction is met on average over
//! starts.

use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::EnumIter;

/// Growth with each answer while the bound holds calls back.
pub const GROWTH: f64 = 0.018;
/// Growth with each answer before the bound was ever shrunk.
pub const EARLY_GROWTH: f64 = 0.1;
/// What a shed leaves of the bound.
pub const SHRINK: f64 = 0.95;
/// Least that one round of slow answers leaves of the bound.
pub const DEEPEST: f64 = 0.7;
/// How much longer than without a queue a call may take before the bound shrinks.
pub const STRETCH: f64 = 1.3;
/// Least bound.
pub const LEAST: f64 = 1.0;
/// Least bound to begin with, and that slow answers alone lead to: means over a few
/// calls scatter too much.
pub const LEAST_SLOW: f64 = 8.0;
/// The same as a multiple of the gateway's share of the slots: slow answers while
/// calls can't even fill the slots come from elsewhere.
pub const SLOTS_SLOW: f64 = 2.0;

// Share of a new sample in the recent mean.
const WEIGHT: f64 = 1.0 / 32.0;
// Samples before the mean is worth a comparison.
const FEWEST: u32 = 32;
// Growth of the shortest mean with each answer, so that a lasting change is learned.
const FORGET: f64 = 1.000_01;

// Steps of the golden ratio spread evenly over the unit interval.
const SPREAD: f64 = 0.618_033_988_749_895;

/// Whether the bound follows what upstreams shed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// It stays at the entry's limit; the baseline.
    Fixed,
    /// It shrinks and grows.
    #[default]
    Adaptive,
}

/// The bound of one lane.
#[derive(Clone, Debug)]
pub struct Limit {
    mode: Mode,
    most: u32,
    // What slow answers alone leave of the bound; it begins there, too, so that the
    // time of a call without a queue is learned first.
    floor: f64,
    bound: f64,
    phase: f64,
    shrunk: Option<Moment>,
    // Seconds: the recent mean, and the shortest that it was.
    mean: f64,
    shortest: f64,
    samples: u32,
}

impl Limit {
    /// A bound of at most `most`, where the gateway's share of the upstreams is `slots`.
    #[must_use]
    pub fn new(mode: Mode, most: u32, slots: u32) -> Self {
        let floor = floor(slots);
        let bound = match mode {
            Mode::Fixed => f64::from(most),
            Mode::Adaptive => f64::from(most).min(floor),
        };
        Self {
            mode,
            most,
            floor,
            bound,
            phase: 0.0,
            shrunk: None,
            mean: 0.0,
            shortest: f64::INFINITY,
            samples: 0,
        }
    }

    /// Takes another largest bound over.
    pub fn set_most(&mut self, most: u32) {
        let was_open = self.bound >= f64::from(self.most);
        self.most = most;
        let most = f64::from(most);
        self.bound = if was_open { most } else { self.bound.min(most) };
    }

    /// Takes another share of the upstreams' slots over; with a larger one the bound
    /// begins anew.
    pub fn set_slots(&mut self, slots: u32) {
        let floor = floor(slots);
        if floor > self.floor {
            self.bound = self.bound.max(floor).min(f64::from(self.most));
        }
        self.floor = floor;
    }

    /// Whether a call may start beside `running` others.
    #[must_use]
    pub fn has_room(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.bound + self.phase && running < self.most
    }

    /// A call was started.
    pub fn started(&mut self) {
        self.phase = (self.phase + SPREAD).fract();
    }

    /// A call was answered after `span`; `was_full` when the bound held others back.
    pub fn answered(&mut self, span: Duration, was_full: bool, now: Moment) {
        self.learn(span);
        let stretch = self.mean / self.shortest;
        if stretch > STRETCH {
            self.shrink((STRETCH / stretch).max(DEEPEST), self.floor, now);
        } else if was_full {
            let growth = self.shrunk.map_or(EARLY_GROWTH, |_| GROWTH);
            self.bound = (self.bound + growth).min(f64::from(self.most));
        }
    }

    /// An upstream shed a call.
    pub fn shed(&mut self, now: Moment) {
        self.shrink(SHRINK, LEAST, now);
    }

    fn learn(&mut self, span: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (span.as_secs_f64() - self.mean) * weight;
        self.shortest *= FORGET;
        if self.samples >= FEWEST {
            self.shortest = self.shortest.min(self.mean);
        }
    }

    // Once in the time that a call takes, so that one cause counts once.
    fn shrink(&mut self, factor: f64, least: f64, now: Moment) {
        let round = Duration::from_secs_f64(self.mean);
        if self.mode == Mode::Fixed || self.shrunk.is_some_and(|at| now.since(at) < round) {
            return;
        }
        self.shrunk = Some(now);
        let shrunk = (self.bound * factor).max(least);
        self.bound = self.bound.min(shrunk);
    }

    /// The bound as it stands.
    #[must_use]
    pub fn bound(&self) -> f64 {
        self.bound
    }
}

fn floor(slots: u32) -> f64 {
    (f64::from(slots) * SLOTS_SLOW).max(LEAST_SLOW)
}
