//! Lost, emptied, replaced and failing disks.

use std::time::Duration;

use bytes::Bytes;
use consensus::Acceptance;
use consensus::Action;
use consensus::Body;
use consensus::Change;
use consensus::Entry;
use consensus::Event;
use consensus::Fault;
use consensus::HardState;
use consensus::Index;
use consensus::Message;
use consensus::Node;
use consensus::Payload;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Stored;
use consensus::Term;
use consensus::WriteNumber;

use crate::cluster::Cluster;
use crate::cluster::disk::Disk;
use crate::cluster::member;
use crate::cluster::settings;

/// Enough time for many elections.
const LONG: Duration = Duration::from_secs(10);

fn noop(term: u64, index: u64) -> Entry {
    Entry {
        term: Term(term),
        index: Index(index),
        payload: Payload::Noop,
    }
}

/// Guards against losing committed entries when a second disk is lost right after the first
/// lost replica has been replaced.
#[test]
fn test_disks_second_loss_right_after_a_repair() {
    // Whether the first and the second lost replica lead, and whether the addition comes first.
    let bits = |n: u8, bit: u8| n & (1 << bit) != 0;
    for (first_leads, second_leads, add_first) in
        (0..8).map(|n| (bits(n, 0), bits(n, 1), bits(n, 2)))
    {
        let (mut cluster, leader) = Cluster::elected(3);
        let first = if first_leads {
            leader
        } else {
            cluster.followers(leader)[0]
        };
        cluster.remove_host(first);
        let leader = cluster.elect();
        cluster.compact(leader);
        cluster.add_empty(4);
        let mut changes = [Change::Remove(first), Change::Add(member(4))];
        if add_first {
            changes.reverse();
        }
        for change in changes {
            let leader = cluster.elect();
            let ticket = cluster.change(leader, change);
            cluster.done(ticket);
        }
        let chosen = cluster.oracle.committed.clone();
        let leader = cluster.leader().expect("a leader");
        let second = if second_leads {
            leader
        } else {
            let mut ids = cluster.ids().into_iter();
            ids.find(|id| *id != leader && id.0 != 4).expect("a voter")
        };
        cluster.remove_host(second);
        cluster.heal_and_check();
        assert!(cluster.oracle.committed.starts_with(&chosen));
    }
}

#[test]
fn test_disks_finished_repair_means_synced_at_the_new_replica() {
    let (mut cluster, leader) = Cluster::elected(3);
    cluster.add_empty(4);
    let ticket = cluster.change(leader, Change::Add(member(4)));
    let added = ReplicaId(4);
    cluster.run_until(LONG, |c| c.node(leader.0).status().config.is_voter(added));
    cluster.host(added).paused = true;
    cluster.run(LONG);
    let status = cluster.node(leader.0).status();
    assert_eq!(status.commit, status.last, "accepted without the new one");
    assert_eq!(
        cluster.outcomes.get(&ticket),
        None,
        "finished without the new one"
    );
    cluster.host(added).paused = false;
    let index = cluster.done(ticket);
    assert!(cluster.hosts[&ReplicaId(4)].disk.has_synced(index));
}

#[test]
fn test_disks_emptied_replica_never_votes_as_its_old_self() {
    let (mut cluster, leader) = Cluster::elected(3);
    let old = cluster.followers(leader)[0];
    cluster.remove_host(old);
    let stored = Stored::empty(ReplicaId(9));
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    let vote = |to| {
        let last = Position {
            term: Term(50),
            index: Index(50),
        };
        let transfer = true;
        Event::Message(Message {
            from: leader,
            to,
            term: Term(60),
            body: Body::Vote { last, transfer },
        })
    };
    let append = Event::Message(Message {
        from: leader,
        to: old,
        term: Term(60),
        body: Body::Append {
            previous: Position::default(),
            entries: vec![noop(60, 1)],
            commit: Index(1),
        },
    });
    for event in [vote(old), vote(ReplicaId(9)), append] {
        let mut actions = Vec::new();
        node.step(cluster.now, event.clone(), &mut actions);
        node.step(cluster.now + LONG, Event::Tick, &mut actions);
        node.step(cluster.now + LONG * 2, Event::Tick, &mut actions);
        assert_eq!(actions, [], "{event:?}");
        assert_eq!(node.term(), Term(0));
    }
}

#[test]
fn test_disks_failed_write_stops_for_good_and_acknowledges_nothing() {
    let vote = Body::Vote {
        last: Position::default(),
        transfer: false,
    };
    let append = Body::Append {
        previous: Position::default(),
        entries: vec![noop(5, 1)],
        commit: Index(1),
    };
    for body in [vote, append] {
        let cluster = Cluster::new(3, Acceptance::Majority, 1);
        let stored = cluster.hosts[&ReplicaId(2)].disk.stored.clone();
        let mut node = Node::new(settings(), stored, 1, cluster.now);
        let mut actions = Vec::new();
        let event = Event::Message(Message {
            from: ReplicaId(1),
            to: ReplicaId(2),
            term: Term(5),
            body,
        });
        node.step(cluster.now, event.clone(), &mut actions);
        assert!(actions.iter().any(|a| matches!(a, Action::Persist(_))));
        node.step(cluster.now, Event::PersistFailed, &mut actions);
        assert!(actions.contains(&Action::Stop(Fault::PersistFailed)));
        node.step(cluster.now, event, &mut actions);
        node.step(cluster.now + LONG, Event::Tick, &mut actions);
        let sent = actions
            .iter()
            .any(|a| matches!(a, Action::Send(_) | Action::Commit(_)));
        assert!(!sent, "{actions:?}");
    }
}

/// Guards against keeping superseded entries after a crash between the write of a received
/// snapshot and their removal.
#[test]
fn test_disks_half_written_snapshot_overrules_the_old_log() {
    let position = Position {
        term: Term(3),
        index: Index(2),
    };
    let cluster = Cluster::new(3, Acceptance::Majority, 1);
    let mut stored = cluster.hosts[&ReplicaId(1)].disk.stored.clone();
    stored.hard_state = HardState {
        term: Term(3),
        vote: None,
    };
    stored.snapshot.position = position;
    stored.entries = (1..=4).map(|index| noop(1, index)).collect();
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    assert_eq!(node.status().last, position.index);
    let mut actions = Vec::new();
    node.step(cluster.now, Event::Tick, &mut actions);
    let Some(Action::Persist(write)) = actions.first() else {
        panic!("nothing written: {actions:?}");
    };
    assert_eq!(write.truncate, Some(Index(1)));
}

/// Guards against superseded entries that make recovery discard those appended after a
/// received snapshot.
#[test]
fn test_disks_entries_after_a_received_snapshot_survive_a_restart() {
    let cluster = Cluster::new(3, Acceptance::Majority, 1);
    let mut stored = cluster.hosts[&ReplicaId(2)].disk.stored.clone();
    let config = stored.snapshot.config.clone();
    stored.hard_state.term = Term(1);
    stored.entries = (1..=4).map(|index| noop(1, index)).collect();
    let mut disk = Disk::new(stored.clone());
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    let position = Position {
        term: Term(3),
        index: Index(2),
    };
    let chunk = Body::Chunk {
        position,
        config,
        total: 0,
        offset: 0,
        data: Bytes::new(),
    };
    let append = Body::Append {
        previous: position,
        entries: vec![noop(3, 3)],
        commit: Index(2),
    };
    for body in [chunk, append] {
        let mut actions = Vec::new();
        let event = Event::Message(Message {
            from: ReplicaId(1),
            to: ReplicaId(2),
            term: Term(3),
            body,
        });
        node.step(cluster.now, event, &mut actions);
        let mut writes = actions.into_iter().filter_map(|action| match action {
            Action::Persist(write) => Some(write),
            _ => None,
        });
        disk.pending = writes.next();
        let number = disk.sync().expect("a write").number;
        node.step(cluster.now, Event::Persisted { number }, &mut Vec::new());
    }
    let node = Node::new(settings(), disk.stored, 2, cluster.now);
    assert_eq!(node.status().last, Index(3));
    assert_eq!(node.term_at(Index(3)), Some(Term(3)));
}

/// Guards against counting the own vote when only an earlier write has been synced.
#[test]
fn test_disks_own_vote_counts_once_it_is_synced() {
    let cluster = Cluster::new(1, Acceptance::Majority, 1);
    let mut stored = cluster.hosts[&ReplicaId(1)].disk.stored.clone();
    stored.entries = vec![noop(1, 7)];
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    let timeout = settings().election_timeout * 2;
    let mut writes = Vec::new();
    node.step(cluster.now, Event::Tick, &mut writes);
    node.step(cluster.now + timeout, Event::Tick, &mut writes);
    assert_eq!(node.role(), Role::Candidate);
    for (number, role) in [(1, Role::Candidate), (2, Role::Leader)] {
        let number = WriteNumber(number);
        node.step(
            cluster.now + timeout,
            Event::Persisted { number },
            &mut writes,
        );
        assert_eq!(node.role(), role);
    }
}

#[test]
fn test_disks_learner_never_campaigns() {
    let cluster = Cluster::new(3, Acceptance::Majority, 1);
    let mut config = cluster.node(1).status().config;
    config.learners.insert(ReplicaId(4), member(4));
    let stored = Stored::founding(ReplicaId(4), config);
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    let mut actions = Vec::new();
    node.step(cluster.now + LONG, Event::Tick, &mut actions);
    assert_eq!(actions, []);
    assert_eq!(node.role(), Role::Follower);
}

/// Guards against raising the group's term by a replica that can't sync its vote.
#[test]
fn test_disks_hung_replica_never_campaigns() {
    let cluster = Cluster::new(1, Acceptance::Majority, 1);
    let mut stored = cluster.hosts[&ReplicaId(1)].disk.stored.clone();
    stored.entries = vec![noop(1, 7)];
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    for wait in [Duration::ZERO, LONG, LONG * 2, LONG * 3] {
        node.step(cluster.now + wait, Event::Tick, &mut Vec::new());
        assert_eq!((node.role(), node.term()), (Role::Follower, Term(0)));
    }
}
