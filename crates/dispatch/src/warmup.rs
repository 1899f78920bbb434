//! How many requests each process may start at an instance that is cold.
//!
//! A cold instance crashes when it gets many more requests a second than it can take, and
//! no process sees what the others send. So a few processes, its keepers, have a share of
//! its rate each, and the others send it nothing until it is warm. All that know the same
//! processes name the same keepers. While lists of processes differ, two sets of keepers may
//! send at once, so the shares add up to half of what the instance bears at most.

use base::prelude::*;

/// Thousandths of a unit.
const MILLI: u64 = 1_000;

/// What cold instances of one service bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// Requests that one takes, in a thousand seconds.
    pub rate: u32,
    /// How much more it bears, in thousandths of that.
    pub overshoot: u32,
    /// Requests that it bears in a second beyond that.
    pub slack: u32,
}

impl Warmup {
    /// Requests that one may get from all processes together in any second.
    #[must_use]
    pub fn max_per_second(self) -> u32 {
        self.rising().saturating_add(self.slack)
    }

    /// Requests that all shares of one list of processes add up to at most, a second.
    #[must_use]
    pub fn shared(self) -> u32 {
        (self.max_per_second() / 2).min(self.rising())
    }

    fn rising(self) -> u32 {
        let millionths = u64::from(self.rate) * u64::from(self.overshoot);
        u32::try_from(millionths / (MILLI * MILLI)).unwrap_or(u32::MAX)
    }

    /// Requests that the process `own` may start at `instance` in a second, where
    /// `processes` send to it.
    #[must_use]
    pub fn share<T: AsRef<str>>(self, instance: &InstanceId, own: &str, processes: &[T]) -> u32 {
        let score = |process: &str| (place::score(instance.as_str(), process), process.to_owned());
        let processes = || processes.iter().map(AsRef::as_ref);
        if !processes().any(|process| process == own) {
            return 0;
        }
        let count = u32::try_from(processes().count()).unwrap_or(u32::MAX);
        let keepers = self.shared().min(count);
        let higher = processes().filter(|process| score(process) > score(own));
        let rank = u32::try_from(higher.count()).unwrap_or(u32::MAX);
        if rank < keepers {
            self.shared() / keepers
        } else {
            0
        }
    }
}
