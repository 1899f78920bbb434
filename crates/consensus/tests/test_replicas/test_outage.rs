//! Elections after all replicas were lost at once, some of them with their disks.

use std::time::Duration;

use consensus::Acceptance;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::cluster::Cluster;
use crate::cluster::Link;
use crate::cluster::hub_settings;

const VOTERS: u64 = 6;
/// Disks lost, as many as a majority is left without.
const WIPED: usize = 2;
/// The processes of all replicas start within this time.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Seeds that each case is tried with.
const SEEDS: u64 = 200;
/// Bound of an election, from the start of the last survivor until its leader has applied an entry
/// of its term, in writes of a disk: the candidate's vote, the voters' votes, and the leader's first
/// entry with those that a survivor lacks.
const WRITES: u32 = 3;
/// What it takes beyond the writes at most: a pre-vote that comes too early or meets another one,
/// the messages, and one election timeout.
const BEYOND_WRITES: Duration = Duration::from_millis(700);

/// Loses power everywhere right after a change was accepted, and two disks with it; returns how long
/// the survivors take from the start of the last of them until a leader has applied an entry.
fn elect_after_outage(millis: u64, seed: u64) -> Duration {
    let mut cluster = Cluster::with_settings(VOTERS, Acceptance::Majority, seed, hub_settings());
    for id in cluster.ids() {
        cluster.host(id).write_time = Duration::from_millis(millis);
    }
    cluster.commit_one();
    let mut ids = cluster.ids();
    ids.shuffle(&mut cluster.rng);
    let (wiped, survivors) = ids.split_at(WIPED);
    // A survivor may lack what was accepted last.
    if cluster.rng.random() {
        cluster.host(survivors[0]).link = Link::Cut;
    }
    let accepted = cluster.commit_one();
    for id in cluster.ids() {
        cluster.crash(id);
        cluster.host(id).link = Link::Open;
    }
    cluster.in_transit.clear();
    for id in wiped {
        cluster.remove_host(*id);
    }
    for id in survivors {
        let delay = cluster.rng.random_range(Duration::ZERO..START_SPREAD / 3);
        cluster.run(delay);
        cluster.start(*id);
    }
    let started_at = cluster.now;
    let leader = cluster.elect();
    assert!(cluster.node(leader.0).status().applied >= accepted);
    cluster.now.since(started_at)
}

/// Guards against elections that take many writes of slow disks after a full outage, in which two
/// disks are lost and each survivor's vote is needed: callers are refused until there is a leader.
#[test]
fn test_outage_leader_is_elected_within_three_writes() {
    for millis in [1, 5, 50, 250, 400, 1000] {
        let bound = Duration::from_millis(millis) * WRITES + BEYOND_WRITES;
        let mut took: Vec<Duration> = (0..SEEDS)
            .map(|seed| elect_after_outage(millis, seed))
            .collect();
        took.sort_unstable();
        let late = took.iter().filter(|took| **took > bound).count();
        println!(
            "{millis} ms: median {:?}, most {:?}, {late} over {bound:?}",
            took[took.len() / 2],
            took[took.len() - 1]
        );
        assert_eq!(
            late, 0,
            "{millis} ms a write: {late} of {SEEDS} seeds over {bound:?}"
        );
    }
}
