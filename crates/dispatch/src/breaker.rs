//! Whether a dispatcher still answers.

use std::time::Duration;

use base::prelude::*;

/// After so long without any answer while questions are open, it isn't asked: it holds
/// one for 30 ms at most and answers within a few more, and callers' aims are some 150 ms.
const SILENCE: Duration = Duration::from_millis(60);
/// For so long it isn't asked after a question that failed: about the time in which a
/// lost packet is sent again. A host that was lost is off the list of entry hosts within
/// a second, and costs each other one some questions until then.
const PAUSE: Duration = Duration::from_millis(250);

/// What the questions to one dispatcher came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    open: u32,
    /// When it last answered, or the first of the open questions went out.
    since: Option<Moment>,
    /// It isn't asked before.
    paused: Option<Moment>,
    lost: bool,
}

impl CircuitBreaker {
    /// Whether it is worth asking now; if so, the question counts as asked.
    pub fn allow_request(&mut self, now: Moment) -> bool {
        if self.paused.is_some_and(|until| now < until) {
            return false;
        }
        let silent = |since| now.since(since) >= SILENCE;
        if self.open > 0 && self.since.is_some_and(silent) {
            self.lose(now);
            return false;
        }
        if self.open == 0 {
            self.since = Some(now);
        }
        self.open += 1;
        true
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Moment) {
        self.open = self.open.saturating_sub(1);
        self.since = Some(now);
        self.paused = None;
        self.lost = false;
    }

    /// Notes a question without an answer.
    pub fn failed(&mut self, now: Moment) {
        self.open = self.open.saturating_sub(1);
        self.lose(now);
    }

    /// Notes a question that was given up by whoever asked.
    pub fn cancelled(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Whether its last question failed, or it fell silent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.lost
    }

    fn lose(&mut self, now: Moment) {
        self.paused = Some(now + PAUSE);
        self.lost = true;
    }
}
