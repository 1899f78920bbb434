//! Claims granted twice, or lost, across replicas, leader changes and expiry.

mod common;

use std::time::Duration;

use common::POLL_INTERVAL;
use common::TIMEOUT;
use common::claim;
use common::clients;
use common::done;
use common::leader;
use common::start;
use wire::ledger::Refusal;
use wire::ledger::claim_reply::Kind;

#[tokio::test]
async fn test_ledger_one_of_many_claims_is_granted_across_a_leader_kill() {
    let (_, mut replicas) = start("ledger-kill", 3).await;
    let mut clients = clients(&replicas);
    let leading = leader(&clients).await;
    let first = claim("block-7", 1, 60_000);
    assert!(matches!(
        clients[0].claim_with_retry(&first).await,
        Kind::Granted(_)
    ));
    for (number, client) in (2..).zip(&clients) {
        let other = client
            .claim_with_retry(&claim("block-7", number, 60_000))
            .await;
        assert!(matches!(other, Kind::InFlight(_)), "{other:?}");
    }
    replicas.remove(leading).kill().await;
    clients.remove(leading);
    for (number, client) in (5..).zip(&clients) {
        let other = client
            .claim_with_retry(&claim("block-7", number, 60_000))
            .await;
        assert!(matches!(other, Kind::InFlight(_)), "{other:?}");
        // A resend of the first claim is answered as before.
        let again = client.claim_with_retry(&first).await;
        assert!(matches!(again, Kind::Granted(_)), "{again:?}");
    }
    clients[0]
        .settle_with_retry(&done(&first, b"granted"))
        .await;
    // A resent settlement is acknowledged, too.
    clients[1]
        .settle_with_retry(&done(&first, b"granted"))
        .await;
    for (number, client) in (8..).zip(&clients) {
        let Kind::Done(found) = client
            .claim_with_retry(&claim("block-7", number, 60_000))
            .await
        else {
            panic!("not done");
        };
        assert_eq!(&*found.answer.expect("kept").body, b"granted");
    }
}

#[tokio::test]
async fn test_ledger_expired_hold_is_unknown_on_all_replicas() {
    let (_, replicas) = start("ledger-hold", 3).await;
    let clients = clients(&replicas);
    leader(&clients).await;
    clients[0].wait_for_version(0).await;
    let before = clients[0].status().await.expect("answers").commit;
    let first = claim("block-8", 1, 200);
    assert!(matches!(
        clients[0].claim_with_retry(&first).await,
        Kind::Granted(_)
    ));
    // Without requests only the leader advances the log time.
    let expiry = async {
        for client in &clients {
            while client.status().await.expect("answers").applied < before + 2 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    };
    let expired = tokio::time::timeout(TIMEOUT, expiry).await;
    expired.expect("log time advances");
    // A resend of the expired claim gets the same answer.
    let found = clients[1].claim_with_retry(&first).await;
    assert!(matches!(found, Kind::Unknown(_)), "{found:?}");
    for client in &clients {
        let other = client.claim_with_retry(&claim("block-8", 2, 60_000)).await;
        assert!(matches!(other, Kind::Unknown(_)), "{other:?}");
    }
}

#[tokio::test]
async fn test_ledger_without_a_quorum_grants_nothing() {
    let (_, mut replicas) = common::start_with("ledger-quorum", 3, |s| {
        s.timing.ask = Duration::from_secs(1);
    })
    .await;
    let clients = clients(&replicas);
    leader(&clients).await;
    replicas.remove(2).kill().await;
    replicas.remove(1).kill().await;
    let reply = clients[0].claim(&claim("block-9", 1, 60_000)).await;
    assert!(matches!(reply, Ok(Kind::Unreachable(_))), "{reply:?}");
}

#[tokio::test]
async fn test_ledger_malformed_claims_are_refused() {
    let (_, replicas) = start("ledger-form", 1).await;
    let client = &clients(&replicas)[0];
    let long = "k".repeat(1_000);
    for key in ["", "two words", &long] {
        let reply = client.claim_with_retry(&claim(key, 1, 60_000)).await;
        let Kind::Refused(refused) = reply else {
            panic!("{key}: {reply:?}");
        };
        assert_eq!(refused.refusal(), Refusal::Form);
    }
    assert_eq!(client.status().await.expect("answers").ledger_keys, 0);
}
