//! Two accepted changes, or contradicting answers, when two operators send changes of the
//! same base version at once, the leader is killed and the answers are lost.

mod common;

use std::time::Duration;

use common::Client;
use common::change;
use common::folder;
use common::leader;
use common::process::Process;
use common::process::plan;
use wire::catalogue::Change;
use wire::catalogue::change_reply::Kind;

/// When the leader is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KillTime {
    /// Before the changes are sent.
    Before,
    /// While both are in flight.
    During,
    /// After both were answered.
    After,
}

const CASES: [(&str, KillTime); 3] = [
    ("race-before", KillTime::Before),
    ("race-during", KillTime::During),
    ("race-after", KillTime::After),
];

/// Sends the change and discards the answer.
async fn send_and_ignore(client: &Client, change: &Change, timeout: Duration) {
    let _ = tokio::time::timeout(timeout, client.propose(change)).await;
}

#[tokio::test]
async fn test_race_one_change_wins_and_both_operators_learn_it() {
    for (name, kill_time) in CASES {
        race(name, kill_time).await;
    }
}

async fn race(name: &str, kill_time: KillTime) {
    let plans = plan(&folder(name), 3);
    let mut processes: Vec<Option<Process>> =
        Process::start_all(&plans).into_iter().map(Some).collect();
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let led = leader(&clients).await;
    let others: Vec<usize> = (0..3).filter(|i| *i != led).collect();
    let [first, second] = [&clients[others[0]], &clients[others[1]]];
    let (a, b) = (change("a", 0, "grants"), change("b", 0, "status"));

    if kill_time == KillTime::Before {
        processes[led].take().expect("runs").kill();
    }
    let timeout = match kill_time {
        KillTime::Before | KillTime::After => Duration::from_secs(10),
        KillTime::During => Duration::from_micros(700),
    };
    tokio::join!(
        send_and_ignore(first, &a, timeout),
        send_and_ignore(second, &b, timeout),
    );
    if let Some(process) = processes[led].take() {
        process.kill();
    }

    // Both changes are sent again, each to the replica that received the other one.
    let (of_a, of_b) = tokio::join!(second.propose_with_retry(&a), first.propose_with_retry(&b));
    let winner = match (&of_a, &of_b) {
        (Kind::Accepted(won), Kind::Conflict(lost)) if won.version == 1 && lost.winner == "a" => {
            "a"
        }
        (Kind::Conflict(lost), Kind::Accepted(won)) if won.version == 1 && lost.winner == "b" => {
            "b"
        }
        other => panic!("{name}: {other:?}"),
    };

    // After the restart of the killed replica, all replicas repeat these answers.
    processes[led] = Some(Process::start(&plans[led]));
    for client in &clients {
        assert_eq!(client.propose_with_retry(&a).await, of_a, "{name}");
        assert_eq!(client.propose_with_retry(&b).await, of_b, "{name}");
        client.wait_for_version(1).await;
        let ids: Vec<String> = client.history().await.into_iter().map(|i| i.id).collect();
        assert_eq!(ids, [winner], "{name}");
    }
    let mut other = a.clone();
    other.edits[0] = b.edits[0].clone();
    let reused = clients[0].propose_with_retry(&other).await;
    assert!(!matches!(reused, Kind::Accepted(_)), "{name}: {reused:?}");
}
