//! Loss of acknowledged changes or claims when all replicas are killed and restarted.

mod common;

use common::Client;
use common::accepted;
use common::change;
use common::claim;
use common::done;
use common::folder;
use common::process::Process;
use common::process::plan;
use common::process::use_small_snapshots;
use wire::ledger::claim_reply::Kind;

const CHANGES: u64 = 500;

/// A long name, so that the changes exceed the snapshot threshold.
fn service(base: u64) -> String {
    format!("service-{:0100}", base % 50)
}

#[tokio::test]
async fn test_restart_of_all_after_many_changes_keeps_catalogue_and_ledger() {
    let plans = plan(&folder("restart-all"), 3);
    plans.iter().for_each(use_small_snapshots);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let processes = Process::start_all(&plans);
    // The claims come first, so that only the snapshot contains them at the end.
    let settled = claim("done", 1, 60_000);
    assert!(matches!(
        clients[0].claim_with_retry(&settled).await,
        Kind::Granted(_)
    ));
    clients[1]
        .settle_with_retry(&done(&settled, b"granted: block 7"))
        .await;
    let open = claim("open", 2, 600_000);
    assert!(matches!(
        clients[2].claim_with_retry(&open).await,
        Kind::Granted(_)
    ));
    for base in 0..CHANGES {
        let next = change(&format!("c-{base}"), base, &service(base));
        let kind = clients[0].propose_with_retry(&next).await;
        assert_eq!(accepted(&kind), base + 1);
    }
    let before = clients[0].wait_for_version(CHANGES).await.catalogue;
    let status = clients[0].status().await.expect("answers");
    assert!(status.first_index > 1, "no snapshot was taken");

    processes.into_iter().for_each(Process::kill);
    let _processes = Process::start_all(&plans);
    for (number, client) in (10..).zip(&clients) {
        let after = client.wait_for_version(CHANGES).await.catalogue;
        assert_eq!(after, before);
        let again = claim("done", number, 60_000);
        let Kind::Done(found) = client.claim_with_retry(&again).await else {
            panic!("the answer was lost");
        };
        assert_eq!(&*found.answer.expect("kept").body, b"granted: block 7");
        let again = claim("open", number, 60_000);
        let reply = client.claim_with_retry(&again).await;
        assert!(matches!(reply, Kind::InFlight(_)), "{reply:?}");
        // A resend of the open claim is still granted.
        let reply = client.claim_with_retry(&open).await;
        assert!(matches!(reply, Kind::Granted(_)), "{reply:?}");
        let first = change("c-0", 0, &service(0));
        assert_eq!(accepted(&client.propose_with_retry(&first).await), 1);
    }
}
