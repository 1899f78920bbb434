//! Which process decides for a service.

use base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// The one of `processes` that decides for `service`, by rendezvous hashing: all that know
/// the same processes name the same one, and one that comes or goes moves no service
/// but its own.
pub fn dispatcher<'a>(
    service: &ServiceName,
    processes: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    processes.max_by_key(|process| (weight(service, process), *process))
}

fn weight(service: &ServiceName, process: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(service.as_str().as_bytes());
    hash.update(b" ");
    hash.update(process.as_bytes());
    hash.digest()
}
