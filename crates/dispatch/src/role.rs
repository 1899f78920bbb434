//! Who decides for a service, and when a process may spend what all share.

use std::time::Duration;

use base::prelude::*;

/// A process spends what all share only after it has taken over for so long. Lists of
/// entry hosts reach all within some 600 ms, so the one before and this one may both spend
/// for 300 ms: that is a third of a second's share of the dispatcher's part, less than
/// what is left unspent on purpose.
const SETTLED: Duration = Duration::from_millis(300);

/// Who decides for a service, as one process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatcherLocation {
    /// Each process for its own requests.
    #[default]
    Unassigned,
    /// This process.
    Local,
    /// Another one.
    Remote,
}

/// Since when this process decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatcherRole {
    now: DispatcherLocation,
    /// It may spend what all share from then on.
    from: Moment,
}

impl DispatcherRole {
    /// Takes who decides now. Where nobody did before, as after a restart of everything,
    /// there is no one to wait for.
    pub fn set(&mut self, now: Moment, next: DispatcherLocation) {
        if self.now != next {
            self.from = match self.now {
                DispatcherLocation::Unassigned => now,
                DispatcherLocation::Local | DispatcherLocation::Remote => now + SETTLED,
            };
        }
        self.now = next;
    }

    /// Who decides.
    #[must_use]
    pub fn location(&self) -> DispatcherLocation {
        self.now
    }

    /// Whether this process may spend what all share.
    #[must_use]
    pub fn may_spend_shared(&self, now: Moment) -> bool {
        self.now == DispatcherLocation::Local && now >= self.from
    }
}
