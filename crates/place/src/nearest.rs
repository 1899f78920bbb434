//! Which entry hosts a caller is sent to: all of its failure domain, of which it
//! takes one at random, and a few others where that has few.
//!
//! The same few hosts for every caller of a name would know more of the instances
//! each, but their links fill up, and answers come late by seconds.

use std::cmp::Reverse;

use wire::hub::EntryHost;

use crate::rendezvous::score;

/// Most addresses of one answer.
const MOST: usize = 64;

/// The addresses for a caller of `name` in `domain` of `region`, nearest first: all
/// of its failure domain, and others only where that has fewer than `width`.
#[must_use]
pub fn nearest(
    hosts: &[EntryHost],
    name: &str,
    domain: &str,
    region: &str,
    width: usize,
) -> Vec<String> {
    let mut hosts: Vec<&EntryHost> = hosts.iter().collect();
    let distance = |host: &EntryHost| (host.domain != domain, host.region != region);
    hosts.sort_by_cached_key(|host| (distance(host), Reverse(score(name, &host.address))));
    let own = hosts.iter().filter(|host| host.domain == domain).count();
    let named = hosts.into_iter().take(own.max(width).clamp(1, MOST));
    named.map(|host| host.address.clone()).collect()
}
