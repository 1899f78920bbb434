//! A control host that is cut off silently: no side gets an error.

mod common;

use std::time::Duration;

use common::accepted;
use common::change;
use common::claim;
use common::clients;
use common::leader;
use common::start_with;
use wire::catalogue::change_reply::Kind;
use wire::ledger::claim_reply;

/// Several election timeouts.
const LONG: Duration = Duration::from_secs(3);

#[tokio::test]
async fn test_cut_leader_accepts_nothing_and_does_not_disturb() {
    cut("cut-leader", true).await;
}

#[tokio::test]
async fn test_cut_follower_accepts_nothing_and_does_not_disturb() {
    cut("cut-follower", false).await;
}

async fn cut(name: &str, cut_leader: bool) {
    let (_, replicas) = start_with(name, 3, |s| {
        s.timing.ask = Duration::from_secs(1);
    })
    .await;
    let clients = clients(&replicas);
    let first = clients[0].propose_surely(&change("c-1", 0, "status")).await;
    assert_eq!(accepted(&first), 1);
    let led = leader(&clients).await;
    let lost = if cut_leader { led } else { (led + 1) % 3 };
    let kept = (lost + 1) % 3;
    for client in &clients {
        client.reaches(1).await;
    }

    replicas[lost].partition().set(true);
    let (on_cut, on_majority) = (change("cut", 1, "drawings"), change("c-2", 1, "grants"));
    // Right after the cut nobody knows of it, and later everybody does.
    let early = clients[lost].propose(&on_cut).await.expect("answers");
    assert!(matches!(early, Kind::Uncertain(_)), "{early:?}");
    let won = clients[kept].propose_surely(&on_majority).await;
    assert_eq!(accepted(&won), 2);
    let end = tokio::time::Instant::now() + LONG;
    while tokio::time::Instant::now() < end {
        let reply = clients[lost].follow(0, 0).await.expect("answers");
        assert!(!reply.confirmed, "a stale read was confirmed");
        assert_eq!(reply.version, 1);
        let late = clients[lost].propose(&on_cut).await.expect("answers");
        assert!(matches!(late, Kind::Uncertain(_)), "{late:?}");
        let claimed = clients[lost].claim(&claim("k", 1, 60_000)).await;
        let claimed = claimed.expect("answers");
        assert!(matches!(claimed, claim_reply::Kind::Unreachable(_)));
    }

    let before = clients[kept].status().await.expect("answers");
    replicas[lost].partition().set(false);
    let reply = clients[lost].reaches(2).await;
    assert_eq!(reply.version, 2);
    let after = clients[kept].status().await.expect("answers");
    assert_eq!(after.term, before.term, "the returning replica disturbed");
    assert_eq!(after.leader, before.leader);
    let truth = clients[lost].propose_surely(&on_cut).await;
    let Kind::Conflict(conflict) = truth else {
        panic!("{truth:?}");
    };
    assert_eq!(conflict.winner, "c-2");
    for mut replica in replicas {
        replica.kill().await;
    }
}
