//! Which entry hosts a caller is sent to: those in its failure domain, and
//! others where these are too few.

use wire::hub::EntryHost;

/// Most addresses of one answer.
const MOST: usize = 64;
/// Least addresses of one answer, as callers leave out those that failed them.
const LEAST: usize = 4;

/// The addresses for a caller in `domain` of `region`, nearest first.
#[must_use]
pub fn near(hosts: &[EntryHost], domain: &str, region: &str) -> Vec<String> {
    let mut hosts: Vec<&EntryHost> = hosts.iter().collect();
    hosts.sort_by_key(|host| (host.domain != domain, host.region != region));
    let own = hosts.iter().filter(|host| host.domain == domain).count();
    let count = if own >= LEAST { own } else { hosts.len() };
    let named = hosts.into_iter().take(count.min(MOST));
    named.map(|host| host.address.clone()).collect()
}
