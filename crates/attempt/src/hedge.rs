//! Hedging: the attempts of one request that are in flight at the same time.
//!
//! The first attempt is late once it has taken longer than nearly all responses. Then a second one
//! may be started; [`may_hedge`] tells whether hedges help at all. The first response wins, and
//! the other attempt is cancelled. The failure of one attempt is not final while the other is in
//! flight.

use std::time::Duration;

use base::prelude::*;

use crate::distribution::Distribution;
use crate::event::AttemptNumber;

/// Maximum number of attempts in flight.
pub const MAX_IN_FLIGHT: usize = 2;
/// Requests per slot above which a service is busy. Each hedge takes a slot from a request then.
const BUSY_LOAD: f64 = 0.7;

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Its number.
    pub number: AttemptNumber,
    /// When it was started.
    pub started_at: Moment,
}

/// The attempts of a request that are in flight.
#[derive(Clone, Debug, Default)]
pub struct Race {
    attempts: [Option<InFlight>; MAX_IN_FLIGHT],
    late_at: Option<Moment>,
}

impl Race {
    /// Records the start of an attempt, which is late at `late_at` unless that is `None`.
    ///
    /// # Panics
    ///
    /// Panics if [`MAX_IN_FLIGHT`] attempts are in flight.
    pub fn start(&mut self, number: AttemptNumber, now: Moment, late_at: Option<Moment>) {
        let free = self.attempts.iter_mut().find(|slot| slot.is_none());
        *free.expect("at most two attempts are in flight") = Some(InFlight {
            number,
            started_at: now,
        });
        self.late_at = late_at;
    }

    /// When the attempt in flight is late.
    #[must_use]
    pub fn late_at(&self) -> Option<Moment> {
        self.late_at
    }

    /// The attempt that has become late; each attempt is returned once.
    pub fn take_late(&mut self, now: Moment) -> Option<InFlight> {
        self.late_at.take_if(|at| *at <= now)?;
        self.iter().next()
    }

    /// The attempts in flight.
    pub fn iter(&self) -> impl Iterator<Item = InFlight> + use<> {
        self.attempts.into_iter().flatten()
    }

    /// The attempt with this number, if it is in flight.
    #[must_use]
    pub fn find(&self, number: AttemptNumber) -> Option<InFlight> {
        self.iter().find(|attempt| attempt.number == number)
    }

    /// Whether no attempt is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Whether exactly one attempt is in flight.
    #[must_use]
    pub fn is_single(&self) -> bool {
        self.iter().count() == 1
    }

    /// Records the end of an attempt.
    pub fn remove(&mut self, number: AttemptNumber) {
        for slot in &mut self.attempts {
            slot.take_if(|attempt| attempt.number == number);
        }
        if self.is_empty() {
            self.late_at = None;
        }
    }

    /// Records that the response of an attempt is used, and returns the attempt to cancel.
    pub fn win(&mut self, number: AttemptNumber) -> Option<InFlight> {
        let other = self.iter().find(|attempt| attempt.number != number);
        if let Some(other) = other {
            self.remove(other.number);
        }
        self.late_at = None;
        other
    }

    /// Ends all attempts.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Why no hedge is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Obstacles {
    /// The request may run only once, is quarantined or suspected, was relayed to this process, or
    /// has no attempt left.
    pub request: bool,
    /// An instance of the service asks for a pause or names a limit.
    pub instances: bool,
}

/// Whether a late attempt of a service with `load` requests per slot may be hedged.
#[must_use]
pub fn may_hedge(load: f64, obstacles: Obstacles) -> bool {
    load <= BUSY_LOAD && obstacles == Obstacles::default()
}

/// The time after which an attempt is late; `None` before enough responses.
#[must_use]
pub fn delay(distribution: &Distribution, quantile: f64) -> Option<Duration> {
    distribution.latency(quantile)
}
