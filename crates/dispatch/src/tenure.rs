//! How long a process has been a service's dispatcher.

use std::time::Duration;

use base::prelude::*;

/// A process spends what all share only after it has been the dispatcher for so long.
/// Lists of entry hosts reach all within some 600 ms, so two may spend at once for 300 ms:
/// that is a third of a second's share of the dispatcher's part, less than what is left
/// unspent on purpose. With a whole second the first after a restart of everything was
/// spent without knowledge.
const SETTLED: Duration = Duration::from_millis(300);

/// Whether this process is the dispatcher, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    since: Option<Moment>,
}

impl Tenure {
    /// Takes whether it is the dispatcher now.
    pub fn set(&mut self, now: Moment, holds: bool) {
        if holds {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
    }

    /// Whether it may spend what all share.
    #[must_use]
    pub fn is_settled(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) >= SETTLED)
    }
}
