//! Stale reads, lost changes or needless elections when a replica is partitioned without
//! connection errors.

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

/// How long the partition is observed, in several election timeouts.
const PARTITION_DURATION: Duration = Duration::from_secs(3);

#[tokio::test]
async fn test_cut_leader_accepts_nothing_and_causes_no_election() {
    run_partition("cut-leader", true).await;
}

#[tokio::test]
async fn test_cut_follower_accepts_nothing_and_causes_no_election() {
    run_partition("cut-follower", false).await;
}

async fn run_partition(name: &str, cut_leader: bool) {
    let (_, replicas) = start_with(name, 3, |s| {
        s.timing.ask = Duration::from_secs(1);
    })
    .await;
    let clients = clients(&replicas);
    let first = clients[0]
        .propose_with_retry(&change("c-1", 0, "status"))
        .await;
    assert_eq!(accepted(&first), 1);
    let leading = leader(&clients).await;
    let cut_off = if cut_leader {
        leading
    } else {
        (leading + 1) % 3
    };
    let connected = (cut_off + 1) % 3;
    for client in &clients {
        client.wait_for_version(1).await;
    }

    replicas[cut_off].partition().set(true);
    let (on_cut, on_majority) = (change("cut", 1, "drawings"), change("c-2", 1, "grants"));
    // Checks right after the partition starts, and again once the replicas have noticed it.
    let early = clients[cut_off].propose(&on_cut).await.expect("answers");
    assert!(matches!(early, Kind::Uncertain(_)), "{early:?}");
    let won = clients[connected].propose_with_retry(&on_majority).await;
    assert_eq!(accepted(&won), 2);
    let deadline = tokio::time::Instant::now() + PARTITION_DURATION;
    while tokio::time::Instant::now() < deadline {
        let reply = clients[cut_off].follow(0, 0).await.expect("answers");
        assert!(!reply.confirmed, "a stale read was confirmed");
        assert_eq!(reply.version, 1);
        let late = clients[cut_off].propose(&on_cut).await.expect("answers");
        assert!(matches!(late, Kind::Uncertain(_)), "{late:?}");
        let claimed = clients[cut_off].claim(&claim("k", 1, 60_000)).await;
        let claimed = claimed.expect("answers");
        assert!(matches!(claimed, claim_reply::Kind::Unreachable(_)));
    }

    let before = clients[connected].status().await.expect("answers");
    replicas[cut_off].partition().set(false);
    let reply = clients[cut_off].wait_for_version(2).await;
    assert_eq!(reply.version, 2);
    let after = clients[connected].status().await.expect("answers");
    assert_eq!(after.term, before.term, "the returning replica disturbed");
    assert_eq!(after.leader, before.leader);
    let outcome = clients[cut_off].propose_with_retry(&on_cut).await;
    let Kind::Conflict(conflict) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(conflict.winner, "c-2");
    for mut replica in replicas {
        replica.kill().await;
    }
}
