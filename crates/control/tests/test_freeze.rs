//! Stale reads confirmed by a replica that was suspended and later resumed.

mod common;

use common::Client;
use common::POLL_INTERVAL;
use common::accepted;
use common::change;
use common::folder;
use common::leader;
use common::process::Process;
use common::process::plan;

/// Follow requests sent to the resumed replica.
const READS: usize = 50;
/// Changes accepted while the replica is suspended.
const CHANGES: u64 = 100;

#[tokio::test]
async fn test_freeze_resumed_leader_confirms_no_stale_read() {
    suspend("freeze-leader", 0).await;
}

#[tokio::test]
async fn test_freeze_resumed_follower_confirms_no_stale_read() {
    suspend("freeze-follower", 1).await;
}

/// Suspends the replica that is `distance` places after the leader.
async fn suspend(name: &str, distance: usize) {
    let plans = plan(&folder(name), 3);
    let processes = Process::start_all(&plans);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    clients[0]
        .propose_with_retry(&change("c-0", 0, "status"))
        .await;
    let suspended = (leader(&clients).await + distance) % 3;
    clients[suspended].wait_for_version(1).await;

    processes[suspended].suspend();
    let other = &clients[(suspended + 1) % 3];
    for base in 1..CHANGES {
        let next = change(&format!("c-{base}"), base, "grants");
        assert_eq!(accepted(&other.propose_with_retry(&next).await), base + 1);
    }
    processes[suspended].resume();
    for _ in 0..READS {
        let reply = clients[suspended].follow(0, 0).await.expect("answers");
        let stale = reply.confirmed && reply.version != CHANGES;
        assert!(!stale, "confirmed {}", reply.version);
        tokio::time::sleep(POLL_INTERVAL / 10).await;
    }
    clients[suspended].wait_for_version(CHANGES).await;
}
