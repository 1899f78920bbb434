//! A leader that is stopped by the system and goes on much later.

mod common;

use common::Client;
use common::PAUSE;
use common::accepted;
use common::change;
use common::folder;
use common::leader;
use common::process::Process;
use common::process::plan;

/// Follows that are asked of the thawed leader.
const LOOKS: usize = 50;

#[tokio::test]
async fn test_freeze_thawed_leader_confirms_nothing_old() {
    let plans = plan(&folder("freeze"), 3);
    let processes = Process::start_all(&plans);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    clients[0].propose_surely(&change("c-1", 0, "status")).await;
    let led = leader(&clients).await;
    clients[led].reaches(1).await;

    processes[led].freeze();
    let other = &clients[(led + 1) % 3];
    let second = other.propose_surely(&change("c-2", 1, "grants")).await;
    assert_eq!(accepted(&second), 2);
    processes[led].thaw();
    for _ in 0..LOOKS {
        let reply = clients[led].follow(0, 0).await.expect("answers");
        assert!(!reply.confirmed || reply.version == 2, "{reply:?}");
        tokio::time::sleep(PAUSE / 10).await;
    }
    clients[led].reaches(2).await;
}
