//! A graceful stop of the leader.

mod common;

use common::claim;
use common::clients;
use common::leader;
use common::start;
use wire::ledger::claim_reply::Kind;

/// Claims that are on their way while the leader stops.
const CLAIMS: u8 = 50;

#[tokio::test]
async fn test_stop_hands_leadership_over_and_answers_what_is_open() {
    let (_, mut replicas) = start("stop-leader", 3).await;
    let mut all = clients(&replicas);
    let led = leader(&all).await;
    let stopping = all.remove(led);
    let replica = replicas.remove(led);
    let old = replica.id();
    stopping.reaches(0).await;

    let held = stopping.follow(0, 30_000);
    let claims = async {
        let mut granted = 0;
        for number in 1..=CLAIMS {
            let one = claim(&format!("key-{number}"), number, 60_000);
            let reply = all[usize::from(number) % 2].claim_surely(&one).await;
            assert!(matches!(reply, Kind::Granted(_)), "{reply:?}");
            granted += 1;
        }
        granted
    };
    let stop = async {
        tokio::task::yield_now().await;
        replica.stop().await;
        // Nobody had to find out that it was gone.
        for client in &all {
            let status = client.status().await.expect("answers");
            assert_ne!(status.leader, old, "it still leads");
        }
    };
    let (held, granted, ()) = tokio::join!(held, claims, stop);
    held.expect("a held follow is answered");
    assert_eq!(granted, CLAIMS);
    for (number, client) in (1..=CLAIMS).zip(all.iter().cycle()) {
        let other = claim(&format!("key-{number}"), 200, 60_000);
        let reply = client.claim_surely(&other).await;
        assert!(matches!(reply, Kind::InFlight(_)), "{reply:?}");
    }
}
