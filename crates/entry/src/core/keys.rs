//! Whether the process may rely on its route table to know which keys are valid.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use table::Confirmation;

use super::Core;

impl Core {
    /// Records that a majority confirmed `version` as the newest route table at `at`.
    pub fn record_confirmed_table(&self, version: u64, at: Moment) {
        self.confirmation().record(version, at);
    }

    /// Whether requests that need a key are refused because no majority has confirmed the route
    /// table for too long.
    #[must_use]
    pub fn fails_closed(&self) -> bool {
        let keys = self.settings().keys;
        let now = self.clock.now();
        keys.fail_closed && !self.confirmation().is_within(now, keys.confirm)
    }

    /// How long the confirmation of the route table lasts, if keys fail closed after that.
    #[must_use]
    pub fn confirmation_left(&self) -> Option<Duration> {
        let keys = self.settings().keys;
        let age = self.confirmation_age().unwrap_or(keys.confirm);
        keys.fail_closed.then(|| keys.confirm.saturating_sub(age))
    }

    /// Time since a majority has confirmed the route table in force; `None` if none has.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.confirmation().age(self.clock.now())
    }

    pub(super) fn confirmation(&self) -> MutexGuard<'_, Confirmation> {
        self.confirmation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
