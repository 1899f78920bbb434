//! An adaptive bound on the running calls of one service at one gateway.
//!
//! The gateways share the upstreams' slots without talking of it. Each shrinks its
//! bound when an upstream sheds, and grows it slowly while the bound is what holds
//! calls back. A bound of a few calls is too coarse in whole steps, so its
//! fraction is met on average over starts.

use std::time::Duration;

use base::prelude::*;

/// Growth over one round of calls that filled the bound.
pub const GROWTH: f64 = 0.05;
/// What a shed leaves of the bound.
pub const SHRINK: f64 = 0.95;
/// Least bound.
pub const LEAST: f64 = 1.0;

// Steps of the golden ratio spread evenly over the unit interval.
const SPREAD: f64 = 0.618_033_988_749_895;

/// The bound of one lane.
#[derive(Clone, Debug)]
pub struct Limit {
    most: u32,
    bound: f64,
    phase: f64,
    shrunk: Option<Moment>,
}

impl Limit {
    /// A bound that begins at `most`.
    #[must_use]
    pub fn new(most: u32) -> Self {
        Self {
            most,
            bound: f64::from(most),
            phase: 0.0,
            shrunk: None,
        }
    }

    /// Takes another largest bound over.
    pub fn set_most(&mut self, most: u32) {
        let was_open = self.bound >= f64::from(self.most);
        self.most = most;
        let most = f64::from(most);
        self.bound = if was_open { most } else { self.bound.min(most) };
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

    /// A call was answered while the bound held others back.
    pub fn answered(&mut self) {
        let grown = self.bound + GROWTH / self.bound.max(LEAST);
        self.bound = grown.min(f64::from(self.most));
    }

    /// An upstream shed a call; counts once in `round`, the time a call takes.
    pub fn shed(&mut self, round: Duration, now: Moment) {
        if self.shrunk.is_some_and(|at| now.since(at) < round) {
            return;
        }
        self.shrunk = Some(now);
        self.bound = (self.bound * SHRINK).max(LEAST);
    }

    /// The bound as it stands.
    #[must_use]
    pub fn bound(&self) -> f64 {
        self.bound
    }
}
