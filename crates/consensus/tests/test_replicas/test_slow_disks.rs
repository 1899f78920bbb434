//! Disks that are slow and steady: each write takes long, and each one ends.

use std::time::Duration;

use consensus::Acceptance;
use consensus::Action;
use consensus::ElectionStage;
use consensus::ReplicaId;
use consensus::StepDown;

use crate::cluster::Cluster;
use crate::cluster::Link;
use crate::cluster::Outcome;
use crate::cluster::hub_settings;

/// Changes proposed one after the other.
const CHANGES: usize = 10;
/// Time of an election among equal disks, in changes: two pre-votes at the same time, one campaign
/// lost, the next one and the first entry.
const ELECTION_CHANGES: u32 = 4;
/// The same where the own disk says nothing of the others': some campaigns fail before.
const MIXED_ELECTION_CHANGES: u32 = 20;
/// Seeds of random timeouts that each case is tried with.
const SEEDS: u64 = 20;

/// A group of three replicas; `millis` is how long the disk of each takes for a write.
fn cluster(millis: [u64; 3], seed: u64) -> Cluster {
    let mut cluster = Cluster::with_settings(3, Acceptance::Majority, seed, hub_settings());
    for (id, millis) in (1..).zip(millis) {
        cluster.host(ReplicaId(id)).write_time = Duration::from_millis(millis);
    }
    cluster
}

/// The time within which a change is accepted while there is a leader: the write in flight, and the
/// one with the change, at two of three replicas.
fn change_time(millis: [u64; 3]) -> Duration {
    let mut sorted = millis;
    sorted.sort_unstable();
    Duration::from_millis(sorted[1]) * 2 + hub_settings().election_timeout
}

/// Checks that a leader is elected in the time of that many changes, and accepts changes.
#[track_caller]
fn check(millis: [u64; 3], election_changes: u32) {
    for seed in 0..SEEDS {
        let mut cluster = cluster(millis, seed);
        let limit = change_time(millis) * election_changes;
        cluster.run_until(limit, |c| {
            c.leader().is_some_and(|id| {
                let node = c.node(id.0);
                node.term_at(node.status().applied) == Some(node.term())
            })
        });
        let leader = cluster.leader().expect("a leader");
        let term = cluster.node(leader.0).term();
        for change in 0..CHANGES {
            let ticket = cluster.propose(leader);
            cluster.run_until(change_time(millis), |c| c.outcomes.contains_key(&ticket));
            let outcome = &cluster.outcomes[&ticket];
            assert!(
                matches!(outcome, Outcome::Done(_)),
                "disks {millis:?} ms, seed {seed}, change {change}: {outcome:?}"
            );
        }
        assert_eq!(cluster.leader(), Some(leader), "disks {millis:?} ms");
        assert_eq!(cluster.node(leader.0).term(), term, "disks {millis:?} ms");
    }
}

/// Guards against campaigns that end before two disks have synced the votes, so that a group whose
/// disks are slow and steady never has a leader.
#[test]
fn test_slow_disks_group_elects_a_leader_and_accepts_changes() {
    for millis in [5, 50, 100, 150, 200, 250, 300, 400, 600, 1000] {
        check([millis; 3], ELECTION_CHANGES);
    }
}

/// Guards against a write timeout that no leader meets: a leader whose followers are as slow gains
/// nothing by giving way.
#[test]
fn test_slow_disks_beyond_the_write_timeout_accept_changes() {
    for millis in [1900, 2100, 3000, 4500] {
        check([millis; 3], ELECTION_CHANGES);
    }
}

/// Guards against a replica with a fast disk that starts campaign after campaign while the others
/// still sync their votes for the one before.
#[test]
fn test_slow_disks_beside_fast_ones_accept_changes() {
    for millis in [300, 1000] {
        for disks in [
            [5, millis, millis],
            [5, 5, millis],
            [millis, 5, millis],
            [5, millis / 2, millis],
        ] {
            check(disks, MIXED_ELECTION_CHANGES);
        }
    }
}

/// The reasons of leaders that stepped down, in order.
fn step_downs(cluster: &Cluster) -> Vec<StepDown> {
    let reason = |action: &Action| match action {
        Action::SteppedDown { reason, .. } => Some(*reason),
        _ => None,
    };
    cluster.reports.iter().filter_map(reason).collect()
}

/// The stages of failed elections with the votes that they had, in order.
fn failed_elections(cluster: &Cluster) -> Vec<(ElectionStage, usize)> {
    let stage = |action: &Action| match action {
        Action::ElectionFailed { stage, votes, .. } => Some((*stage, *votes)),
        _ => None,
    };
    cluster.reports.iter().filter_map(stage).collect()
}

/// Guards against a group without a majority that doesn't report why: a leader whose own disk hangs,
/// one that no follower answers, and one that hears of a newer term.
#[test]
fn test_slow_disks_leader_that_steps_down_reports_why() {
    let wait = Duration::from_secs(10);
    let (mut cluster, leader) = Cluster::elected(3);
    cluster.host(leader).stalled = true;
    cluster.propose(leader);
    cluster.run(wait);
    assert_eq!(step_downs(&cluster), [StepDown::WriteStalled]);

    let (mut cluster, leader) = Cluster::elected(3);
    for follower in cluster.followers(leader) {
        cluster.host(follower).paused = true;
    }
    cluster.run(wait);
    assert_eq!(step_downs(&cluster), [StepDown::NoQuorum]);

    let (mut cluster, leader) = Cluster::elected(3);
    cluster.step(leader, consensus::Event::Transfer);
    cluster.run(wait);
    assert_eq!(step_downs(&cluster), [StepDown::NewerTerm]);
}

/// Guards against a group without a leader that doesn't report whether nobody would vote or the votes
/// didn't come in time.
#[test]
fn test_slow_disks_failed_election_reports_its_stage_and_votes() {
    let (mut cluster, leader) = Cluster::elected(3);
    let followers = cluster.followers(leader);
    cluster.remove_host(leader);
    cluster.host(followers[1]).link = Link::Cut;
    cluster.run(Duration::from_secs(5));
    let failed = failed_elections(&cluster);
    assert!(failed.len() > 2, "{failed:?}");
    assert!(
        failed.iter().all(|f| *f == (ElectionStage::PreVote, 1)),
        "{failed:?}"
    );

    let (mut cluster, leader) = Cluster::elected(3);
    let followers = cluster.followers(leader);
    cluster.remove_host(leader);
    // It answers pre-votes, and its votes are never synced.
    cluster.host(followers[1]).stalled = true;
    cluster.run(Duration::from_secs(5));
    let failed = failed_elections(&cluster);
    assert!(failed.contains(&(ElectionStage::Campaign, 1)), "{failed:?}");
}
