//! Orders the hosts of a service for one caller.

use base::prelude::*;

use crate::placement::Candidate;

/// Orders `hosts` for one caller.
///
/// The first is selected by `pick`, so that random picks spread callers evenly. The others
/// alternate between failure domains where possible, so that a retry leaves a failed domain.
#[must_use]
pub fn order(hosts: &[Candidate], pick: u64) -> Vec<Candidate> {
    let Ok(count) = u64::try_from(hosts.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let first = usize::try_from(pick % count).unwrap_or(0);
    let mut remaining: Vec<&Candidate> = hosts.iter().collect();
    remaining.rotate_left(first);
    let mut ordered: Vec<Candidate> = Vec::with_capacity(hosts.len());
    let mut used_domains: Vec<&DomainName> = Vec::new();
    while !remaining.is_empty() {
        let next = remaining
            .iter()
            .position(|c| !used_domains.contains(&&c.domain));
        let Some(next) = next else {
            used_domains.clear();
            continue;
        };
        let candidate = remaining.remove(next);
        used_domains.push(&candidate.domain);
        ordered.push(candidate.clone());
    }
    ordered
}
