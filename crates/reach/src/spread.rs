//! The order in which hosts or instances are tried that may have been cut off together.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

/// Orders items so that each failure domain comes in turn. Within a domain they keep their order;
/// which domain comes first is random.
pub fn interleave_domains<T, D: Ord>(
    items: Vec<T>,
    domain_of: impl Fn(&T) -> D,
    rng: &mut impl Rng,
) -> Vec<T> {
    let mut counts: BTreeMap<D, usize> = BTreeMap::new();
    let ranked = items.into_iter().map(|item| {
        let rank = counts.entry(domain_of(&item)).or_default();
        *rank += 1;
        (*rank, rng.random::<u32>(), item)
    });
    let mut ranked: Vec<(usize, u32, T)> = ranked.collect();
    ranked.sort_by_key(|(rank, random, _)| (*rank, *random));
    ranked.into_iter().map(|(_, _, item)| item).collect()
}
