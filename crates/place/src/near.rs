//! Which entry hosts a caller is sent to: a few of those in its failure domain,
//! the same few for every caller of a name there.
//!
//! An entry host that gets a larger part of a service's requests knows more of
//! its instances by itself, keeps fewer connections and asks less. Rendezvous
//! hashing picks them, so that one that comes or goes moves few callers.

use std::cmp::Reverse;

use wire::hub::EntryHost;
use xxhash_rust::xxh3::Xxh3;

/// Most addresses of one answer.
const MOST: usize = 64;

/// The addresses for a caller of `name` in `domain` of `region`, nearest first;
/// `width` of them, more only where its failure domain has fewer.
#[must_use]
pub fn near(
    hosts: &[EntryHost],
    name: &str,
    domain: &str,
    region: &str,
    width: usize,
) -> Vec<String> {
    let mut hosts: Vec<&EntryHost> = hosts.iter().collect();
    let distance = |host: &EntryHost| (host.domain != domain, host.region != region);
    hosts.sort_by_cached_key(|host| (distance(host), Reverse(score(name, &host.address))));
    let named = hosts.into_iter().take(width.clamp(1, MOST));
    named.map(|host| host.address.clone()).collect()
}

/// The rendezvous score of a name at an entry host.
fn score(name: &str, address: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(name.as_bytes());
    hash.update(&[0]);
    hash.update(address.as_bytes());
    hash.digest()
}
