//! The home part of a process.

use base::prelude::*;

use super::division::Division;
use super::division::Part;
use super::division::Process;

/// The position of the part that the process `own` asks first; `None` if its failure domain has
/// no instances that take requests.
///
/// A dispatcher's home is its own part, which it asks without a message. The other processes of
/// the failure domain are divided over its parts in proportion to their instances, in the order
/// of rendezvous hashing: one that joins or leaves moves at most one process for each boundary
/// between parts.
#[must_use]
pub fn home(
    service: &ServiceName,
    own: Process<'_>,
    processes: &[Process<'_>],
    division: &Division,
) -> Option<usize> {
    let parts = division.parts().iter().enumerate();
    let near: Vec<(usize, &Part)> = parts
        .filter(|(_, part)| part.id.domain.as_str() == own.domain && part.slots > 0)
        .collect();
    let dispatches = |part: &Part| part.dispatcher.as_deref() == Some(own.place);
    if let Some((position, _)) = near.iter().find(|(_, part)| dispatches(part)) {
        return Some(*position);
    }
    let near_processes = processes.iter().filter(|p| p.domain == own.domain);
    let places: Vec<&str> = near_processes.map(|process| process.place).collect();
    // A process that the hubs don't list yet takes the first place.
    let rank = place::rank(service.as_str(), own.place, &places).unwrap_or_default();
    let total: usize = near.iter().map(|(_, part)| part.instances).sum();
    // The middle of the process's share of all instances.
    let middle = (2 * rank + 1) * total;
    let mut end = 0;
    let found = near.iter().find(|(_, part)| {
        end += part.instances;
        middle < 2 * end * places.len().max(1)
    });
    found.map(|(position, _)| *position)
}
