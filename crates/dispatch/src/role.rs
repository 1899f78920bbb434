//! Which process dispatches a service, and when it may spend the shared budget.

use std::time::Duration;

use base::prelude::*;

/// Time after a takeover until the new dispatcher spends the shared budget. The list of entry
/// hosts reaches all processes within about 600 ms, so that both dispatchers may spend for
/// 300 ms; the unspent reserve of the budget covers this.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// Which process dispatches a service, from the view of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatcherLocation {
    /// None; each process chooses for its own requests.
    #[default]
    Unassigned,
    /// This process.
    Local,
    /// Another process.
    Remote,
}

/// Whether this process dispatches a service, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatcherRole {
    location: DispatcherLocation,
    /// Time from which it may spend the shared budget.
    may_spend_from: Moment,
}

impl DispatcherRole {
    /// Sets which process dispatches. Without a previous dispatcher, as after a restart of all
    /// processes, the shared budget may be spent at once.
    pub fn set(&mut self, now: Moment, next: DispatcherLocation) {
        if self.location != next {
            self.may_spend_from = match self.location {
                DispatcherLocation::Unassigned => now,
                DispatcherLocation::Local | DispatcherLocation::Remote => now + TAKEOVER_DELAY,
            };
        }
        self.location = next;
    }

    /// Which process dispatches.
    #[must_use]
    pub fn location(&self) -> DispatcherLocation {
        self.location
    }

    /// Whether this process may spend the shared budget.
    #[must_use]
    pub fn may_spend_shared(&self, now: Moment) -> bool {
        self.location == DispatcherLocation::Local && now >= self.may_spend_from
    }
}
