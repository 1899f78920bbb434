//! Two of three replicas that start again at the same moment.

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

/// What a replica of a founded group has on disk after its first term.
fn stored(id: u64) -> Stored {
    let config = Config::of_voters((1..=3).map(member), Acceptance::Majority);
    let mut stored = Stored::founding(ReplicaId(id), config);
    stored.hard_state = HardState {
        term: Term(1),
        vote: None,
    };
    stored
}

/// Lets one replica act; what it sends goes to the other's queue.
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

/// Whatever their seeds, they elect one in the first campaign when both ask at once.
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
        // Both have asked before either hears of the other.
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

/// What is applied at the first step, by the index that the disk names as committed.
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

/// A replica that is alone after a restart applies what was committed, and no more.
#[test]
fn test_restart_applies_what_the_disk_says_is_committed() {
    let cases: [(u64, &[u64]); 4] = [(0, &[]), (2, &[1, 2]), (3, &[1, 2, 3]), (9, &[1, 2, 3])];
    for (commit, expected) in cases {
        assert_eq!(applied(commit), expected, "commit {commit}");
    }
}

/// Where all have restarted the last of a majority asks for votes at once.
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
