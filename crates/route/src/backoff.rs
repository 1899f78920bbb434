//! The time during which an instance takes nothing from this process, at its own request.

use base::prelude::Moment;

use crate::outcome::OutcomeKind;

/// The latest backoff that an instance asked for, until it has taken a request after it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    end: Option<Moment>,
}

impl Backoff {
    /// Sends the instance nothing before `end`.
    pub(crate) fn extend(&mut self, end: Moment) {
        self.end = self.end.max(Some(end));
    }

    /// When the backoff ends, unless it is over.
    pub(crate) fn end(&self, now: Moment) -> Option<Moment> {
        self.end.filter(|end| now < *end)
    }

    /// Whether the instance takes nothing from this process now.
    pub(crate) fn is_on(&self, now: Moment) -> bool {
        self.end(now).is_some()
    }

    /// Whether a request may be sent now. After a backoff, only one is in flight until the instance
    /// has taken it.
    pub(crate) fn allows(&self, now: Moment, in_flight: usize) -> bool {
        let is_returning = self.end.is_some() && in_flight > 0;
        !self.is_on(now) && !is_returning
    }

    /// Records the end of an attempt: one that the instance took ends its return from a backoff.
    pub(crate) fn record_end(&mut self, now: Moment, kind: OutcomeKind) {
        let is_taken = matches!(
            kind,
            OutcomeKind::Ok | OutcomeKind::Error | OutcomeKind::Timeout
        );
        if is_taken && !self.is_on(now) {
            self.end = None;
        }
    }
}
