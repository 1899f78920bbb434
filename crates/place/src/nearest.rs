//! Selects the entry hosts for a caller: all of its failure domain, of which the caller takes
//! one at random, plus a few others where that domain has few.
//!
//! Sending all callers of a name to the same few hosts would let each host know more of the
//! instances, but saturates those hosts' links and delays responses by seconds.

use std::cmp::Reverse;

use wire::hub::EntryHost;

use crate::rendezvous::score;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The addresses for a caller of `name` in `domain` of `region`, nearest first: all of its
/// failure domain, filled up from others to at least `min_hosts`.
#[must_use]
pub fn nearest(
    hosts: &[EntryHost],
    name: &str,
    domain: &str,
    region: &str,
    min_hosts: usize,
) -> Vec<String> {
    let mut hosts: Vec<&EntryHost> = hosts.iter().collect();
    let distance = |host: &EntryHost| (host.domain != domain, host.region != region);
    hosts.sort_by_cached_key(|host| (distance(host), Reverse(score(name, &host.address))));
    let own = hosts.iter().filter(|host| host.domain == domain).count();
    let selected = hosts
        .into_iter()
        .take(own.max(min_hosts).clamp(1, MAX_ADDRESSES));
    selected.map(|host| host.address.clone()).collect()
}
