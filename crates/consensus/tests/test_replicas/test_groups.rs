//! Batches, reads, configuration changes, leadership transfers and rejections.

use std::time::Duration;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Body;
use consensus::Change;
use consensus::Event;
use consensus::Index;
use consensus::Rejection;
use consensus::ReplicaId;

use crate::cluster::Cluster;
use crate::cluster::Link;
use crate::cluster::Outcome;
use crate::cluster::member;
use crate::cluster::settings;

fn group(voters: u64, acceptance: Acceptance) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(voters, acceptance, 3);
    let leader = cluster.elect();
    cluster.run(Duration::from_secs(1));
    cluster.in_transit.clear();
    (cluster, leader)
}

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("a name")
}

/// Guards against separate writes or appends for proposals made while a write is in flight.
#[test]
fn test_groups_commit_in_one_write_and_one_append() {
    let (mut cluster, leader) = group(3, Acceptance::Majority);
    let first = cluster.propose(leader);
    cluster.in_transit.clear();
    let tickets: Vec<_> = (0..5).map(|_| cluster.propose(leader)).collect();
    assert!(cluster.in_transit.is_empty());
    cluster.sync(leader);
    let pending = cluster.hosts[&leader].disk.pending.as_ref();
    assert_eq!(pending.expect("a write").entries.len(), tickets.len());
    let appended = |m: &consensus::Message| match &m.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    };
    let appends: Vec<usize> = cluster.in_transit.iter().map(appended).collect();
    assert_eq!(appends, [tickets.len(); 2]);
    for ticket in tickets.into_iter().chain([first]) {
        cluster.done(ticket);
    }
}

/// Guards against a heartbeat round or a read index request for each single read.
#[test]
fn test_groups_read_in_one_round() {
    let (mut cluster, leader) = group(3, Acceptance::Majority);
    let follower = cluster.followers(leader)[0];
    for (id, messages) in [(leader, 4), (follower, 6)] {
        cluster.read(id);
        cluster.run(Duration::from_millis(1));
        let before = cluster.sent;
        let tickets: Vec<_> = (0..50).map(|_| cluster.read(id)).collect();
        for ticket in tickets {
            cluster.done(ticket);
        }
        let sent = cluster.sent - before;
        assert!(sent <= 2 * messages, "{sent} messages for 50 reads at {id}");
    }
}

#[test]
fn test_groups_learner_counts_only_once_promoted() {
    let (mut cluster, leader) = group(3, Acceptance::Majority);
    cluster.add_empty(4);
    for id in cluster.followers(leader) {
        cluster.host(id).link = if id.0 == 4 { Link::Open } else { Link::Cut };
    }
    let commit = cluster.node(leader.0).status().commit;
    let ticket = cluster.change(leader, Change::Add(member(4)));
    cluster.run(settings().election_timeout / 2);
    let status = cluster.node(leader.0).status();
    assert_eq!(status.commit, commit);
    assert!(status.config.learners.contains_key(&ReplicaId(4)));
    assert!(cluster.hosts[&ReplicaId(4)].disk.has_synced(status.last));
    for id in cluster.ids() {
        cluster.host(id).link = Link::Open;
    }
    cluster.done(ticket);
    assert!(
        cluster
            .node(leader.0)
            .status()
            .config
            .is_voter(ReplicaId(4))
    );
}

/// Guards against configuration changes before the leader has committed an entry in its term.
#[test]
fn test_groups_new_leader_changes_nothing_before_its_first_commit() {
    let mut cluster = Cluster::new(3, Acceptance::Majority, 3);
    cluster.run_until(Duration::from_secs(5), |c| c.leader().is_some());
    let leader = cluster.leader().expect("a leader");
    for change in [
        Change::Add(member(4)),
        Change::Remove(cluster.followers(leader)[0]),
    ] {
        let ticket = cluster.change(leader, change);
        assert_eq!(
            cluster.outcomes[&ticket],
            Outcome::Rejected(Rejection::NotReady)
        );
    }
}

#[test]
fn test_groups_change_asked_again_is_answered_at_once() {
    let (mut cluster, leader) = group(3, Acceptance::Majority);
    cluster.add_empty(4);
    for change in [
        Change::Add(member(4)),
        Change::Remove(ReplicaId(4)),
        Change::Evict(region("east")),
        Change::Readmit(region("east")),
    ] {
        let first = cluster.change(leader, change.clone());
        let index = cluster.done(first);
        let again = cluster.change(leader, change);
        assert_eq!(cluster.outcomes.get(&again), Some(&Outcome::Done(index)));
    }
}

#[test]
fn test_groups_addition_taken_back() {
    let (mut cluster, leader) = group(3, Acceptance::Majority);
    let add = cluster.change(leader, Change::Add(member(4)));
    cluster.run(Duration::from_secs(1));
    let config = cluster.node(leader.0).status().config;
    assert!(config.learners.contains_key(&ReplicaId(4)), "not caught up");
    let other = cluster.change(leader, Change::Add(member(5)));
    assert_eq!(
        cluster.outcome(other),
        Outcome::Rejected(Rejection::ChangeOpen)
    );
    let remove = cluster.change(leader, Change::Remove(ReplicaId(4)));
    cluster.done(remove);
    assert_eq!(
        cluster.outcome(add),
        Outcome::Rejected(Rejection::Withdrawn)
    );
}

#[test]
fn test_groups_hand_over_without_waiting_for_a_timeout() {
    for voters in [2, 3, 5] {
        let (mut cluster, old) = group(voters, Acceptance::Majority);
        let term = cluster.node(old.0).term();
        cluster.step(old, Event::Transfer);
        let refused = cluster.propose(old);
        assert_eq!(
            cluster.outcome(refused),
            Outcome::Rejected(Rejection::Transferring)
        );
        cluster.run(settings().election_timeout / 2);
        let new = cluster.leader().expect("a leader");
        assert_ne!(new, old);
        assert_eq!(cluster.node(new.0).term(), term.next());
    }
}

#[test]
fn test_groups_refuse_at_once() {
    let east = region("east");
    let cases: [(&str, Rejection); 6] = [
        ("follower", Rejection::NotLeader(None)),
        ("full", Rejection::Busy),
        ("evict", Rejection::Unknown),
        ("remove", Rejection::QuorumLost),
        ("readmit", Rejection::RegionDown(east.clone())),
        ("cut", Rejection::RegionDown(east.clone())),
    ];
    for (case, mut expected) in cases {
        let (mut cluster, leader) = group(6, Acceptance::EveryRegion);
        let others = cluster.followers(leader);
        let in_east = |id: &&ReplicaId| id.0.is_multiple_of(2);
        let eastern: Vec<ReplicaId> = others.iter().filter(in_east).copied().collect();
        let ticket = match case {
            "follower" => {
                expected = Rejection::NotLeader(Some(leader));
                cluster.propose(others[0])
            }
            "full" => {
                for _ in 0..settings().max_uncommitted_bytes / 64 {
                    cluster.propose(leader);
                }
                cluster.propose(leader)
            }
            "evict" => cluster.change(leader, Change::Evict(region("north"))),
            "remove" => {
                cut(&mut cluster, &eastern[..1]);
                cluster.change(leader, Change::Remove(eastern[1]))
            }
            "readmit" => {
                let ticket = cluster.change(leader, Change::Evict(east.clone()));
                cluster.done(ticket);
                cut(&mut cluster, &eastern[..2]);
                cluster.change(leader, Change::Readmit(east.clone()))
            }
            _ => {
                cut(&mut cluster, &eastern[..2]);
                cluster.propose(leader)
            }
        };
        let outcome = cluster.outcomes.get(&ticket);
        assert_eq!(outcome, Some(&Outcome::Rejected(expected)), "{case}");
    }
}

/// Partitions replicas and waits until the leader has noticed.
fn cut(cluster: &mut Cluster, ids: &[ReplicaId]) {
    for id in ids {
        cluster.host(*id).link = Link::Cut;
    }
    cluster.run(settings().election_timeout + settings().heartbeat_interval);
}

/// Guards against commits without a region's majority, and against an eviction that doesn't
/// resume them.
#[test]
fn test_groups_cut_region_stops_acceptance_until_evicted() {
    let mut cluster = Cluster::new(7, Acceptance::EveryRegion, 3);
    let east = |id: &ReplicaId| id.0.is_multiple_of(2);
    let cut: Vec<ReplicaId> = cluster.ids().into_iter().filter(east).collect();
    cluster.commit_one();
    // The leader must be in the east, so that the west elects one after the partition, which
    // can't commit an entry in its term.
    while let Some(leader) = cluster.leader().filter(|id| !east(id)) {
        cluster.step(leader, Event::Transfer);
        cluster.run(settings().election_timeout);
    }
    for id in &cut {
        cluster.host(*id).link = Link::Cut;
    }
    cluster.run(Duration::from_secs(5));
    let leader = cluster.leader().expect("a leader in the west");
    assert!(!east(&leader));
    let refused = cluster.propose(leader);
    assert!(matches!(cluster.outcome(refused), Outcome::Rejected(_)));
    let evict = cluster.change(leader, Change::Evict(region("east")));
    cluster.done(evict);
    cluster.commit_one();
    for id in cut {
        cluster.host(id).link = Link::Open;
    }
    cluster.heal_and_check();
}

#[test]
fn test_groups_of_one_commit_and_read() {
    let (mut cluster, leader) = group(1, Acceptance::Majority);
    let ticket = cluster.propose(leader);
    let index = cluster.done(ticket);
    let read = cluster.read(leader);
    assert_eq!(cluster.outcome(read), Outcome::Done(index));
    assert!(index > Index(1));
}
