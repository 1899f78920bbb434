//! Election and commit quorums.
//!
//! An election quorum is a majority of all voters. A commit quorum is a majority of
//! all voters and, under [`Acceptance::EveryRegion`], also a majority of the voters
//! within each region that is not evicted. Every commit quorum therefore intersects
//! every election quorum, and also a majority of any one region.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::config::Acceptance;
use crate::config::Config;
use crate::config::Member;
use crate::entry::Index;
use crate::entry::ReplicaId;

/// Returns the smallest number that is more than half of `voters`.
#[must_use]
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether the voters for which `is_counted` holds can elect or confirm a leader.
pub fn has_election_quorum(config: &Config, is_counted: impl Fn(ReplicaId) -> bool) -> bool {
    let count = config.voters.keys().filter(|id| is_counted(**id)).count();
    count >= majority(config.voters.len())
}

/// Whether the voters for which `is_counted` holds can commit an entry.
pub fn has_commit_quorum(config: &Config, is_counted: impl Fn(ReplicaId) -> bool) -> bool {
    has_election_quorum(config, &is_counted)
        && region_without_majority(config, &is_counted).is_none()
}

/// Returns the first region that requires a majority and lacks one among the voters for
/// which `is_counted` holds.
pub fn region_without_majority(
    config: &Config,
    is_counted: impl Fn(ReplicaId) -> bool,
) -> Option<RegionName> {
    let regions = voters_by_region(config);
    let lacking = regions.into_iter().find(|(_, voters)| {
        let count = voters.iter().filter(|id| is_counted(**id)).count();
        count < majority(voters.len())
    });
    lacking.map(|(region, _)| region.clone())
}

/// Returns the highest index that a commit quorum has, where `matched` is each voter's
/// match index.
pub fn quorum_index(config: &Config, matched: impl Fn(ReplicaId) -> Index) -> Index {
    let all = majority_index(config.voters.keys().copied(), &matched);
    let regions = voters_by_region(config);
    regions
        .into_values()
        .map(|voters| majority_index(voters.into_iter(), &matched))
        .fold(all, Index::min)
}

/// The highest index that a majority of `voters` has; 0 without voters.
fn majority_index(
    voters: impl Iterator<Item = ReplicaId>,
    matched: impl Fn(ReplicaId) -> Index,
) -> Index {
    let mut indexes: Vec<Index> = voters.map(matched).collect();
    indexes.sort_unstable_by(|a, b| b.cmp(a));
    let needed = majority(indexes.len());
    indexes.get(needed - 1).copied().unwrap_or_default()
}

/// The voters of each region that requires a majority.
fn voters_by_region(config: &Config) -> BTreeMap<&RegionName, Vec<ReplicaId>> {
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
