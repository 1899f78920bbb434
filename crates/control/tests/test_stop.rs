//! Unanswered requests or a leaderless period when the leader stops gracefully.

mod common;

use common::claim;
use common::clients;
use common::leader;
use common::start;
use wire::ledger::claim_reply::Kind;

/// Claims sent while the leader stops.
const CLAIMS: u8 = 50;

#[tokio::test]
async fn test_stop_transfers_leadership_and_answers_open_requests() {
    let (_, mut replicas) = start("stop-leader", 3).await;
    let mut all = clients(&replicas);
    let leading = leader(&all).await;
    let stopping = all.remove(leading);
    let replica = replicas.remove(leading);
    let old = replica.id();
    stopping.wait_for_version(0).await;

    let pending_follow = stopping.follow(0, 30_000);
    let claims = async {
        let mut granted = 0;
        for number in 1..=CLAIMS {
            let one = claim(&format!("key-{number}"), number, 60_000);
            let reply = all[usize::from(number) % 2].claim_with_retry(&one).await;
            assert!(matches!(reply, Kind::Granted(_)), "{reply:?}");
            granted += 1;
        }
        granted
    };
    let stop = async {
        tokio::task::yield_now().await;
        replica.stop().await;
        // The others know the new leader without an election timeout.
        for client in &all {
            let status = client.status().await.expect("answers");
            assert_ne!(
                status.leader, old,
                "the stopped replica is still the leader"
            );
        }
    };
    let (pending_follow, granted, ()) = tokio::join!(pending_follow, claims, stop);
    pending_follow.expect("the pending follow is answered");
    assert_eq!(granted, CLAIMS);
    for (number, client) in (1..=CLAIMS).zip(all.iter().cycle()) {
        let other = claim(&format!("key-{number}"), 200, 60_000);
        let reply = client.claim_with_retry(&other).await;
        assert!(matches!(reply, Kind::InFlight(_)), "{reply:?}");
    }
}
