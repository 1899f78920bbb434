//! Selects a service's dispatcher.

use base::prelude::*;

/// The one of `processes` that dispatches `service`, by rendezvous hashing: processes with the
/// same list agree, and a process that joins or leaves moves only its own services.
pub fn dispatcher<'a>(
    service: &ServiceName,
    processes: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    processes.max_by_key(|process| (place::score(service.as_str(), process), *process))
}
