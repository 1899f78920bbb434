//! Two operators send changes with equal numbers at once and lose their answers.

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
enum Moment {
    /// Before the changes are sent.
    Before,
    /// While both are on their way.
    During,
    /// After both were answered, and the answers were lost.
    After,
}

const CASES: [(&str, Moment); 3] = [
    ("race-before", Moment::Before),
    ("race-during", Moment::During),
    ("race-after", Moment::After),
];

/// Sends the change and throws the answer away.
async fn send_and_lose(client: &Client, change: &Change, patience: Duration) {
    let _ = tokio::time::timeout(patience, client.propose(change)).await;
}

#[tokio::test]
async fn test_race_one_wins_once_and_each_learns_the_truth() {
    for (name, moment) in CASES {
        race(name, moment).await;
    }
}

async fn race(name: &str, moment: Moment) {
    let plans = plan(&folder(name), 3);
    let mut processes: Vec<Option<Process>> =
        Process::start_all(&plans).into_iter().map(Some).collect();
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let led = leader(&clients).await;
    let others: Vec<usize> = (0..3).filter(|i| *i != led).collect();
    let [first, second] = [&clients[others[0]], &clients[others[1]]];
    let (a, b) = (change("a", 0, "grants"), change("b", 0, "status"));

    if moment == Moment::Before {
        processes[led].take().expect("runs").kill();
    }
    let patience = match moment {
        Moment::Before | Moment::After => Duration::from_secs(10),
        Moment::During => Duration::from_micros(700),
    };
    tokio::join!(
        send_and_lose(first, &a, patience),
        send_and_lose(second, &b, patience),
    );
    if let Some(process) = processes[led].take() {
        process.kill();
    }

    // Each resends, by way of the other's replica.
    let (of_a, of_b) = tokio::join!(second.propose_surely(&a), first.propose_surely(&b));
    let winner = match (&of_a, &of_b) {
        (Kind::Accepted(won), Kind::Conflict(lost)) if won.version == 1 && lost.winner == "a" => {
            "a"
        }
        (Kind::Conflict(lost), Kind::Accepted(won)) if won.version == 1 && lost.winner == "b" => {
            "b"
        }
        other => panic!("{name}: {other:?}"),
    };

    // The killed one comes back, and every replica gives the same answers again.
    processes[led] = Some(Process::start(&plans[led]));
    for client in &clients {
        assert_eq!(client.propose_surely(&a).await, of_a, "{name}");
        assert_eq!(client.propose_surely(&b).await, of_b, "{name}");
        client.reaches(1).await;
        let ids: Vec<String> = client.history().await.into_iter().map(|i| i.id).collect();
        assert_eq!(ids, [winner], "{name}");
    }
    let mut other = a.clone();
    other.edits[0] = b.edits[0].clone();
    let reused = clients[0].propose_surely(&other).await;
    assert!(!matches!(reused, Kind::Accepted(_)), "{name}: {reused:?}");
}
