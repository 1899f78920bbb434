//! What instances have answered lately.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;

/// Answers that are remembered, each for its sender and for all of them.
const MOST: usize = 8_192;
/// For so long an answer speaks for a request: what crashes every instance that runs it is
/// answered by none.
const LATELY: Duration = Duration::from_mins(1);

/// The last requests that were answered.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    known: HashMap<Fingerprint, Moment>,
    order: VecDeque<Fingerprint>,
}

impl Answered {
    /// Notes an answer.
    pub fn note(&mut self, now: Moment, request: Fingerprint) {
        for request in [request, request.of_all()] {
            if self.known.insert(request, now).is_none() {
                self.order.push_back(request);
            }
        }
        while self.order.len() > MOST {
            let oldest = self.order.pop_front();
            self.known.remove(&oldest.unwrap_or(request));
        }
    }

    /// Whether a request was answered lately.
    #[must_use]
    pub fn contains(&self, now: Moment, request: Fingerprint) -> bool {
        let at = self.known.get(&request);
        at.is_some_and(|at| now.since(*at) < LATELY)
    }
}
