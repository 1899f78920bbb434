//! The order in which one caller is told the hosts of its service.

use base::prelude::*;

use crate::placement::Candidate;

/// Orders `hosts` for one caller: first the one that `pick` falls on, so that
/// callers spread evenly, then others with a change of failure domain at each
/// step where possible, so that a caller's next try leaves a failed domain.
#[must_use]
pub fn order(hosts: &[Candidate], pick: u64) -> Vec<Candidate> {
    let Ok(count) = u64::try_from(hosts.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let first = usize::try_from(pick % count).unwrap_or(0);
    let mut rest: Vec<&Candidate> = hosts.iter().collect();
    rest.rotate_left(first);
    let mut ordered: Vec<Candidate> = Vec::with_capacity(hosts.len());
    let mut used: Vec<&DomainName> = Vec::new();
    while !rest.is_empty() {
        let next = rest.iter().position(|c| !used.contains(&&c.domain));
        let Some(next) = next else {
            used.clear();
            continue;
        };
        let candidate = rest.remove(next);
        used.push(&candidate.domain);
        ordered.push(candidate.clone());
    }
    ordered
}
