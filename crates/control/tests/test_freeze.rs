//! A replica that the system stops, and that goes on much later.

mod common;

use common::Client;
use common::PAUSE;
use common::accepted;
use common::change;
use common::folder;
use common::leader;
use common::process::Process;
use common::process::plan;

/// Follows that are asked of the thawed replica.
const LOOKS: usize = 50;
/// Changes that are accepted meanwhile.
const CHANGES: u64 = 100;

#[tokio::test]
async fn test_freeze_thawed_leader_confirms_nothing_old() {
    freeze("freeze-leader", 0).await;
}

#[tokio::test]
async fn test_freeze_thawed_follower_confirms_nothing_old() {
    freeze("freeze-follower", 1).await;
}

/// Freezes the replica that is `distance` after the leader.
async fn freeze(name: &str, distance: usize) {
    let plans = plan(&folder(name), 3);
    let processes = Process::start_all(&plans);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    clients[0].propose_surely(&change("c-0", 0, "status")).await;
    let frozen = (leader(&clients).await + distance) % 3;
    clients[frozen].reaches(1).await;

    processes[frozen].freeze();
    let other = &clients[(frozen + 1) % 3];
    for base in 1..CHANGES {
        let next = change(&format!("c-{base}"), base, "grants");
        assert_eq!(accepted(&other.propose_surely(&next).await), base + 1);
    }
    processes[frozen].thaw();
    for _ in 0..LOOKS {
        let reply = clients[frozen].follow(0, 0).await.expect("answers");
        let old = reply.confirmed && reply.version != CHANGES;
        assert!(!old, "confirmed {}", reply.version);
        tokio::time::sleep(PAUSE / 10).await;
    }
    clients[frozen].reaches(CHANGES).await;
}
