//! Election and commit quorums.

use std::collections::BTreeMap;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Config;
use consensus::Index;
use consensus::Member;
use consensus::ReplicaId;
use consensus::quorum;
use quickcheck::quickcheck;

fn member(id: u64, region: &str) -> Member {
    Member {
        id: ReplicaId(id),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d").expect("a name"),
        region: RegionName::new(region).expect("a name"),
    }
}

fn config(regions: &[&str], acceptance: Acceptance) -> Config {
    let voters = regions
        .iter()
        .zip(1..)
        .map(|(region, id)| member(id, region));
    Config::of_voters(voters, acceptance)
}

#[test]
fn test_quorum_table() {
    use Acceptance::EveryRegion;
    use Acceptance::Majority;
    let split = ["a", "a", "a", "b", "b", "b"];
    let cases: [(&[&str], Acceptance, &[u64], u64); 9] = [
        (&[], Majority, &[], 0),
        (&["a"], Majority, &[4], 4),
        (&["a", "a"], Majority, &[4, 3], 3),
        (&["a", "a", "a"], Majority, &[9, 1, 5], 5),
        (&["a", "a", "b", "b", "c"], Majority, &[9, 8, 7, 1, 1], 7),
        (&split, Majority, &[9, 9, 9, 7, 1, 1], 7),
        (&split, EveryRegion, &[9, 9, 9, 7, 1, 1], 1),
        (&split, EveryRegion, &[9, 9, 1, 7, 6, 1], 6),
        (&["a", "a", "a"], EveryRegion, &[9, 1, 5], 5),
    ];
    for (regions, acceptance, matched, expected) in cases {
        let config = config(regions, acceptance);
        let matched: BTreeMap<u64, u64> = (1..).zip(matched.iter().copied()).collect();
        let accepted = quorum::quorum_index(&config, |id| Index(matched[&id.0]));
        assert_eq!(
            accepted,
            Index(expected),
            "{regions:?} {acceptance} {matched:?}"
        );
    }
}

#[test]
fn test_quorum_evicted_region_is_not_asked() {
    let mut config = config(
        &["a", "a", "a", "a", "b", "b", "b"],
        Acceptance::EveryRegion,
    );
    let west = |id: ReplicaId| id.0 <= 4;
    assert!(!quorum::has_commit_quorum(&config, west));
    config.evicted.insert(RegionName::new("b").expect("a name"));
    assert!(quorum::has_commit_quorum(&config, west));
    assert!(!quorum::has_commit_quorum(&config, |id| id.0 > 4));
}

/// Guards against losing committed entries: every commit quorum must intersect every
/// election quorum and a majority of each region.
#[test]
fn test_quorum_sets_intersect() {
    let config = config(
        &["a", "a", "a", "a", "b", "b", "b"],
        Acceptance::EveryRegion,
    );
    let has = |set: u8| move |id: ReplicaId| set & (1 << (id.0 - 1)) != 0;
    let accepting = (0..128).filter(|set| quorum::has_commit_quorum(&config, has(*set)));
    for set in accepting {
        for other in 0..128 {
            let can_elect = quorum::has_election_quorum(&config, has(other));
            assert!(!can_elect || set & other != 0, "{set:b} {other:b}");
            let south = (other & 0b111_0000).count_ones() >= 2;
            assert!(!south || set & other & 0b111_0000 != 0, "{set:b} {other:b}");
        }
    }
}

quickcheck! {
    /// The quorum index must be the highest index that a commit quorum has.
    fn test_quorum_index_agrees_with_sets(matched: Vec<u8>) -> bool {
        let matched: Vec<u8> = matched.into_iter().chain([0; 7]).take(7).collect();
        let config = config(&["a", "a", "a", "a", "b", "b", "b"], Acceptance::EveryRegion);
        let at = |id: ReplicaId| matched[usize::try_from(id.0).expect("small") - 1];
        let accepted = quorum::quorum_index(&config, |id| Index(u64::from(at(id))));
        let holders = |index: u64| quorum::has_commit_quorum(&config, |id| u64::from(at(id)) >= index);
        holders(accepted.0) && !holders(accepted.0 + 1)
    }
}
