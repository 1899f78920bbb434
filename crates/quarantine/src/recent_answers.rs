//! The requests that instances answered recently.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;

// Maximum number of entries. Each answer has one for its sender and one for all senders.
const MAX_ENTRIES: usize = 8_192;
// Time for which an answer shows that a request isn't the cause of a crash.
const RETENTION: Duration = Duration::from_mins(1);

/// A bounded set of recently answered requests.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    answered_at: HashMap<Fingerprint, Moment>,
    order: VecDeque<Fingerprint>,
}

impl RecentAnswers {
    /// Records an answer to `request`.
    pub fn record(&mut self, now: Moment, request: Fingerprint) {
        for request in [request, request.for_all_senders()] {
            if self.answered_at.insert(request, now).is_none() {
                self.order.push_back(request);
            }
        }
        while self.order.len() > MAX_ENTRIES {
            let oldest = self.order.pop_front();
            self.answered_at.remove(&oldest.unwrap_or(request));
        }
    }

    /// Whether `request` was answered recently.
    #[must_use]
    pub fn contains(&self, now: Moment, request: Fingerprint) -> bool {
        let at = self.answered_at.get(&request);
        at.is_some_and(|at| now.since(*at) < RETENTION)
    }
}
