//! Replicas that restart from stored state.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Action;
use consensus::Config;
use consensus::Entry;
use consensus::Event;
use consensus::HardState;
use consensus::Index;
use consensus::Member;
use consensus::Node;
use consensus::Payload;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Settings;
use consensus::Stored;
use consensus::Term;

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        domain: DomainName::new("a").expect("a name"),
        region: RegionName::new("r").expect("a name"),
    }
}

/// The stored state of a member of an existing group after its first term.
fn stored(id: u64) -> Stored {
    let config = Config::of_voters((1..=3).map(member), Acceptance::Majority);
    let mut stored = Stored::founding(ReplicaId(id), config);
    stored.hard_state = HardState {
        term: Term(1),
        vote: None,
    };
    stored
}

/// Steps one replica and queues its messages for the other one.
fn act(node: &mut Node, now: Moment, event: Event, other: &mut VecDeque<Event>, to: ReplicaId) {
    let mut actions = Vec::new();
    node.step(now, event, &mut actions);
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            match action {
                Action::Persist(write) => {
                    let number = write.number;
                    node.step(now, Event::Persisted { number }, &mut next);
                }
                Action::Send(message) if message.to == to => {
                    other.push_back(Event::Message(message));
                }
                _ => {}
            }
        }
        actions = next;
    }
}

/// Guards against a split vote when two of three replicas start a pre-vote at the same time.
#[test]
fn test_restart_two_that_ask_at_once_elect_one_at_once() {
    let ids = [ReplicaId(1), ReplicaId(2)];
    for seed in 0..50 {
        let now = Moment::from_millis(1);
        let settings = Settings::default();
        let mut nodes = [
            Node::new(settings.clone(), stored(1), seed, now),
            Node::new(settings.clone(), stored(2), seed + 1_000, now),
        ];
        let mut queues = [VecDeque::new(), VecDeque::new()];
        // Both send pre-vote requests before either receives one.
        let late = now + settings.election_timeout;
        for at in 0..2 {
            let [one, two] = &mut queues;
            let other = if at == 0 { two } else { one };
            act(&mut nodes[at], late, Event::Tick, other, ids[1 - at]);
        }
        while queues.iter().any(|queue| !queue.is_empty()) {
            for at in 0..2 {
                let [one, two] = &mut queues;
                let (own, other) = if at == 0 { (one, two) } else { (two, one) };
                if let Some(event) = own.pop_front() {
                    act(&mut nodes[at], late, event, other, ids[1 - at]);
                }
            }
        }
        let leaders = nodes.iter().filter(|n| n.role() == Role::Leader).count();
        assert_eq!(leaders, 1, "seed {seed}");
        assert!(nodes.iter().all(|n| n.term() == Term(2)), "seed {seed}");
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Data(format!("entry {index}").into()),
    }
}

/// The entries applied at the first step, given the stored commit index.
fn applied(commit: u64) -> Vec<u64> {
    let mut stored = stored(1);
    stored.entries = (1..=3).map(entry).collect();
    stored.commit = Index(commit);
    let now = Moment::from_millis(1);
    let mut node = Node::new(Settings::default(), stored, 1, now);
    let mut actions = Vec::new();
    node.step(now, Event::Tick, &mut actions);
    let commits = actions.iter().filter_map(|action| match action {
        Action::Commit(entries) => Some(entries.iter().map(|e| e.index.0)),
        _ => None,
    });
    commits.flatten().collect()
}

/// Guards against applying entries after a restart that were not known to be committed.
#[test]
fn test_restart_applies_what_the_disk_says_is_committed() {
    let cases: [(u64, &[u64]); 4] = [(0, &[]), (2, &[1, 2]), (3, &[1, 2, 3]), (9, &[1, 2, 3])];
    for (commit, expected) in cases {
        assert_eq!(applied(commit), expected, "commit {commit}");
    }
}

/// Guards against a full election timeout without a leader after all replicas have restarted.
#[test]
fn test_restart_first_campaign_is_soon() {
    let settings = Settings::default();
    for seed in 0..50 {
        let now = Moment::from_millis(1);
        let node = Node::new(settings.clone(), stored(1), seed, now);
        assert!(
            node.deadline() <= now + settings.election_timeout / 20,
            "seed {seed}"
        );
    }
}
