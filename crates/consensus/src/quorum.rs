//! Which sets of voters elect a leader, and which accept an entry.
//!
//! A leader is elected by a majority of all voters. An entry is accepted by a
//! majority of all voters and, under [`Acceptance::EveryRegion`], by a majority
//! of the voters within each region that is not evicted. So every accepting set
//! meets every electing set, and it also meets a majority of any one region.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::config::Acceptance;
use crate::config::Config;
use crate::config::Member;
use crate::entry::Index;
use crate::entry::ReplicaId;

/// The least number that is more than half of `voters`.
#[must_use]
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether the voters for which `has` holds elect a leader or confirm one.
pub fn elects(config: &Config, has: impl Fn(ReplicaId) -> bool) -> bool {
    let count = config.voters.keys().filter(|id| has(**id)).count();
    count >= majority(config.voters.len())
}

/// Whether the voters for which `has` holds accept an entry.
pub fn accepts(config: &Config, has: impl Fn(ReplicaId) -> bool) -> bool {
    elects(config, &has) && lacking_region(config, &has).is_none()
}

/// The first region whose majority is asked for and not among those for which `has` holds.
pub fn lacking_region(config: &Config, has: impl Fn(ReplicaId) -> bool) -> Option<RegionName> {
    let regions = regions(config);
    let lacking = regions.into_iter().find(|(_, voters)| {
        let count = voters.iter().filter(|id| has(**id)).count();
        count < majority(voters.len())
    });
    lacking.map(|(region, _)| region.clone())
}

/// The highest index that an accepting set has, where `matched` tells what each voter has.
pub fn accepted(config: &Config, matched: impl Fn(ReplicaId) -> Index) -> Index {
    let all = held_by_majority(config.voters.keys().copied(), &matched);
    let regions = regions(config);
    regions
        .into_values()
        .map(|voters| held_by_majority(voters.into_iter(), &matched))
        .fold(all, Index::min)
}

/// The highest index that more than half of `voters` have; 0 for no voter.
fn held_by_majority(
    voters: impl Iterator<Item = ReplicaId>,
    matched: impl Fn(ReplicaId) -> Index,
) -> Index {
    let mut indexes: Vec<Index> = voters.map(matched).collect();
    indexes.sort_unstable_by(|a, b| b.cmp(a));
    let needed = majority(indexes.len());
    indexes.get(needed - 1).copied().unwrap_or_default()
}

/// The voters of each region whose majority is asked for.
fn regions(config: &Config) -> BTreeMap<&RegionName, Vec<ReplicaId>> {
    let mut regions: BTreeMap<&RegionName, Vec<ReplicaId>> = BTreeMap::new();
    if config.acceptance == Acceptance::Majority {
        return regions;
    }
    let counted = |m: &&Member| !config.evicted.contains(&m.region);
    for member in config.voters.values().filter(counted) {
        regions.entry(&member.region).or_default().push(member.id);
    }
    regions
}
