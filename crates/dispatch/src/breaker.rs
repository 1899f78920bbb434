//! Circuit breaker for requests to a dispatcher.

use std::time::Duration;

use base::prelude::*;

/// Time without any answer, with requests in flight, that opens the breaker. It exceeds the
/// 30 ms for which a dispatcher holds a request, and is short beside target latencies.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time that the breaker stays open; about the retransmission time of a lost packet.
const OPEN_DURATION: Duration = Duration::from_millis(250);

/// Circuit breaker for one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    in_flight: u32,
    /// Time of the last answer, or of the first request in flight if that is later.
    waiting_since: Option<Moment>,
    /// No request is allowed before.
    open_until: Option<Moment>,
    open: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent now; if so, it counts as in flight.
    pub fn allow_request(&mut self, now: Moment) -> bool {
        if self.open_until.is_some_and(|until| now < until) {
            return false;
        }
        let silent = |since| now.since(since) >= SILENCE_TIMEOUT;
        if self.in_flight > 0 && self.waiting_since.is_some_and(silent) {
            self.trip(now);
            return false;
        }
        if self.in_flight == 0 {
            self.waiting_since = Some(now);
        }
        self.in_flight += 1;
        true
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Moment) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.waiting_since = Some(now);
        self.open_until = None;
        self.open = false;
    }

    /// Records a request that failed.
    pub fn failed(&mut self, now: Moment) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.trip(now);
    }

    /// Records a request that was cancelled by its caller.
    pub fn cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether the latest request failed or the dispatcher stopped answering.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    fn trip(&mut self, now: Moment) {
        self.open_until = Some(now + OPEN_DURATION);
        self.open = true;
    }
}
