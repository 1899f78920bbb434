//! Which process decides for a service.

use base::prelude::*;

/// The one of `processes` that decides for `service`, by rendezvous hashing: all that know
/// the same processes name the same one, and one that comes or goes moves no service
/// but its own.
pub fn dispatcher<'a>(
    service: &ServiceName,
    processes: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    processes.max_by_key(|process| (place::score(service.as_str(), process), *process))
}
