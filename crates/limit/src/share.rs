//! Divides an instance's limit among the processes that send requests.
//!
//! No process sees what the others send. Therefore only a few processes, the senders of an
//! instance, each have a share of its limit; the others send nothing to the instance while it has a limit.
//! Processes with the same process list select the same senders.

use base::prelude::*;

use crate::rate::RequestRate;

/// The rate at which the process `own` may send to `instance`, which `processes` send to.
#[must_use]
pub fn share<T: AsRef<str>>(
    rate: RequestRate,
    instance: &InstanceId,
    own: &str,
    processes: &[T],
) -> RequestRate {
    let senders = sender_count(rate).min(processes.len());
    let rank = place::rank(instance.as_str(), own, processes);
    match (rank, u32::try_from(senders)) {
        (Some(rank), Ok(parts)) if rank < senders => rate.divided_by(parts),
        _ => RequestRate::ZERO,
    }
}

// One sender for each request per second: all senders may send at the same moment, so more of
// them would exceed the limit.
fn sender_count(rate: RequestRate) -> usize {
    let rounded = rate.milli().saturating_add(500) / 1_000;
    usize::try_from(rounded).unwrap_or(usize::MAX).max(1)
}
