//! Limits the requests that each process may start at a cold instance.
//!
//! A cold instance crashes when it receives many more requests per second than it
//! can process, and no process sees what the others send. Therefore only a few
//! processes, its senders, each have a share of its rate; the others send nothing
//! until it is warm. Processes with the same process list select the same senders.
//! While lists differ, two sets of senders may be active, so the shares add up to
//! at most half of the limit.

use base::prelude::*;

/// Thousandths of a unit.
const MILLI: u64 = 1_000;

/// Limits of a service's cold instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// Requests that an instance can process in 1000 seconds.
    pub rate: u32,
    /// Tolerated rate, in thousandths of `rate`.
    pub overshoot: u32,
    /// Requests per second tolerated on top of that.
    pub slack: u32,
}

impl Warmup {
    /// Maximum number of requests to an instance in any second, from all processes together.
    #[must_use]
    pub fn max_per_second(self) -> u32 {
        self.without_slack().saturating_add(self.slack)
    }

    /// Sum of the shares of one process list, in requests per second.
    #[must_use]
    pub fn shared_per_second(self) -> u32 {
        (self.max_per_second() / 2).min(self.without_slack())
    }

    fn without_slack(self) -> u32 {
        let millionths = u64::from(self.rate) * u64::from(self.overshoot);
        u32::try_from(millionths / (MILLI * MILLI)).unwrap_or(u32::MAX)
    }

    /// Requests per second that the process `own` may start at `instance`, which `processes` send
    /// to.
    #[must_use]
    pub fn share<T: AsRef<str>>(self, instance: &InstanceId, own: &str, processes: &[T]) -> u32 {
        let Some(rank) = place::rank(instance.as_str(), own, processes) else {
            return 0;
        };
        let [rank, count] = [rank, processes.len()].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        let senders = self.shared_per_second().min(count);
        if rank < senders {
            self.shared_per_second() / senders
        } else {
            0
        }
    }
}
