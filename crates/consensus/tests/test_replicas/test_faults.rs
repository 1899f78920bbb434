//! Individual faults: partitions, frozen replicas, stalled disks and long absences.

use std::time::Duration;

use consensus::Acceptance;
use consensus::Action;
use consensus::Body;
use consensus::Entry;
use consensus::Event;
use consensus::Index;
use consensus::Message;
use consensus::Node;
use consensus::Payload;
use consensus::Position;
use consensus::Rejection;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Term;
use consensus::WriteNumber;

use crate::cluster::Cluster;
use crate::cluster::Link;
use crate::cluster::Outcome;
use crate::cluster::settings;

/// Enough time for many elections.
const LONG: Duration = Duration::from_secs(10);

fn terms(cluster: &Cluster) -> Vec<Term> {
    let ids = cluster.ids();
    ids.iter().map(|id| cluster.node(id.0).term()).collect()
}

#[test]
fn test_faults_cut_replica_returns_without_a_new_term() {
    for voters in [3, 5] {
        let (mut cluster, leader) = Cluster::elected(voters);
        let before = terms(&cluster);
        let away = cluster.followers(leader)[0];
        cluster.host(away).link = Link::Cut;
        cluster.run(LONG);
        cluster.commit_one();
        cluster.host(away).link = Link::Open;
        cluster.run(LONG);
        assert_eq!(terms(&cluster), before);
        assert_eq!(cluster.leader(), Some(leader));
        let applied = cluster.node(away.0).status().applied;
        assert_eq!(applied.0, cluster.oracle.committed.len() as u64);
    }
}

#[test]
fn test_faults_cut_leader_accepts_nothing_and_returns_quietly() {
    let (mut cluster, old) = Cluster::elected(5);
    cluster.host(old).link = Link::Cut;
    let proposal = cluster.propose(old);
    let read = cluster.read(old);
    cluster.run(LONG);
    assert_eq!(
        cluster.outcomes[&proposal],
        Outcome::Rejected(Rejection::Uncertain)
    );
    assert!(matches!(cluster.outcomes[&read], Outcome::Rejected(_)));
    assert_ne!(cluster.node(old.0).role(), Role::Leader);

    cluster.commit_one();
    let new = cluster.leader().expect("a leader");
    let term = cluster.node(new.0).term();
    let late = cluster.read(old);
    assert_eq!(
        cluster.outcome(late),
        Outcome::Rejected(Rejection::NotLeader(None))
    );
    cluster.host(old).link = Link::Open;
    cluster.run(LONG);
    assert_eq!(cluster.node(old.0).term(), term);
    assert_eq!(cluster.leader(), Some(new));
}

#[test]
fn test_faults_frozen_leader_answers_no_stale_read() {
    let (mut cluster, old) = Cluster::elected(3);
    let early = cluster.read(old);
    cluster.host(old).paused = true;
    cluster.run(LONG);
    cluster.commit_one();
    cluster.host(old).paused = false;
    let late = cluster.read(old);
    cluster.run(LONG);
    for read in [early, late] {
        assert!(matches!(cluster.outcomes[&read], Outcome::Rejected(_)));
    }
}

/// Guards against a leader that keeps leading while its disk is stalled.
#[test]
fn test_faults_leader_with_a_hung_disk_gives_way() {
    let (mut cluster, old) = Cluster::elected(3);
    cluster.host(old).stalled = true;
    let lost = cluster.propose(old);
    cluster.run(LONG);
    assert_eq!(
        cluster.outcomes.get(&lost),
        Some(&Outcome::Rejected(Rejection::Uncertain))
    );
    assert!(cluster.leader().is_some_and(|id| id != old));
    cluster.commit_one();
    cluster.heal_and_check();
}

/// Guards against unbounded held messages while a write is stalled.
#[test]
fn test_faults_hung_disk_holds_a_bounded_number_of_messages() {
    let cluster = Cluster::new(3, Acceptance::Majority, 1);
    let stored = cluster.hosts[&ReplicaId(2)].disk.stored.clone();
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    for round in 1..1000 {
        let body = Body::Heartbeat {
            commit: Index(0),
            round,
        };
        let event = Event::Message(Message {
            from: ReplicaId(1),
            to: ReplicaId(2),
            term: Term(1),
            body,
        });
        node.step(cluster.now, event, &mut Vec::new());
    }
    let mut actions = Vec::new();
    let number = WriteNumber(1);
    node.step(cluster.now, Event::Persisted { number }, &mut actions);
    let [Action::Send(message)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(message.body, Body::HeartbeatReply { round: 999 });
}

/// Guards against unbounded growth of the leader's log while a follower is absent.
#[test]
fn test_faults_long_absence_takes_bounded_memory() {
    let (mut cluster, leader) = Cluster::elected(3);
    let away = cluster.followers(leader)[0];
    cluster.host(away).link = Link::Cut;
    let mut most = 0;
    for round in 0..300 {
        let ticket = cluster.propose(leader);
        cluster.done(ticket);
        if round % 10 == 0 {
            cluster.compact(leader);
        }
        most = most.max(cluster.node(leader.0).status().log_bytes);
    }
    assert!(most < 2500, "the log took {most} bytes");
    cluster.host(away).link = Link::Open;
    cluster.run(LONG);
    let applied = cluster.hosts[&leader].applied;
    assert_eq!(cluster.hosts[&away].applied, applied);
    assert!(cluster.node(away.0).status().snapshot.0 > 200);
}

/// Guards against unbounded appends to a follower that doesn't respond.
#[test]
fn test_faults_silent_follower_takes_a_bounded_window() {
    let (mut cluster, leader) = Cluster::elected(3);
    let silent = cluster.followers(leader)[0];
    cluster.host(silent).paused = true;
    for _ in 0..50 {
        let ticket = cluster.propose(leader);
        cluster.done(ticket);
    }
    cluster.run(LONG);
    let full = |m: &&Message| {
        let has = matches!(&m.body, Body::Append { entries, .. } if !entries.is_empty());
        has && m.to == silent
    };
    let count = cluster.in_transit.iter().filter(full).count();
    assert!(
        count <= settings().max_in_flight_appends + 1,
        "{count} appends on the way"
    );
    cluster.host(silent).paused = false;
    cluster.heal_and_check();
}

/// Guards against votes beside a live leader, except for a leadership transfer.
#[test]
fn test_faults_no_vote_beside_a_live_leader() {
    let last = Position {
        term: Term(50),
        index: Index(50),
    };
    for (transfer, grants) in [(false, false), (true, true)] {
        let (mut cluster, leader) = Cluster::elected(3);
        let voter = cluster.followers(leader)[0];
        let mut ids = cluster.ids().into_iter();
        let from = ids
            .find(|id| ![leader, voter].contains(id))
            .expect("a third");
        let term = cluster.node(voter.0).term();
        for body in [Body::PreVote { last }, Body::Vote { last, transfer }] {
            let message = Message {
                from,
                to: voter,
                term: term.next(),
                body,
            };
            cluster.step(voter, Event::Message(message));
        }
        cluster.sync(voter);
        let granted = |m: &Message| {
            matches!(
                m.body,
                Body::PreVoteReply { granted: true } | Body::VoteReply { granted: true }
            )
        };
        assert_eq!(cluster.in_transit.iter().any(granted), grants);
        let expected = if grants { term.next() } else { term };
        assert_eq!(cluster.node(voter.0).term(), expected);
    }
}

/// Guards against committing an older term's entry by counting its replicas (Raft, section 5.4.2).
#[test]
fn test_faults_older_term_commits_only_with_the_own() {
    let cluster = Cluster::new(3, Acceptance::Majority, 1);
    let mut stored = cluster.hosts[&ReplicaId(1)].disk.stored.clone();
    stored.hard_state.term = Term(3);
    stored.entries = vec![Entry {
        term: Term(2),
        index: Index(1),
        payload: Payload::Noop,
    }];
    let mut node = Node::new(settings(), stored, 1, cluster.now);
    let reply = |body| {
        Event::Message(Message {
            from: ReplicaId(2),
            to: ReplicaId(1),
            term: Term(4),
            body,
        })
    };
    let synced = |number| Event::Persisted {
        number: WriteNumber(number),
    };
    let events = [
        (Event::Tick, Index(0)),
        (reply(Body::PreVoteReply { granted: true }), Index(0)),
        (synced(1), Index(0)),
        (reply(Body::VoteReply { granted: true }), Index(0)),
        (synced(2), Index(0)),
        (reply(Body::Accepted { matched: Index(1) }), Index(0)),
        (reply(Body::Accepted { matched: Index(2) }), Index(2)),
    ];
    for (event, commit) in events {
        node.step(cluster.now + LONG, event.clone(), &mut Vec::new());
        assert_eq!(node.status().commit, commit, "{event:?}");
    }
    assert_eq!(node.role(), Role::Leader);
}
