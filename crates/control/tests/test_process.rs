//! Startup, replication and a graceful stop of replicas as separate processes.

mod common;

use common::Client;
use common::accepted;
use common::change;
use common::folder;
use common::process::Plan;
use common::process::Process;
use common::process::plan;

fn clients(plans: &[Plan]) -> Vec<Client> {
    plans.iter().map(|p| Client::new(p.rpc)).collect()
}

#[tokio::test]
async fn test_process_three_replicas_accept_a_change() {
    let plans = plan(&folder("process-three"), 3);
    let processes = Process::start_all(&plans);
    let clients = clients(&plans);
    let kind = clients[2]
        .propose_with_retry(&change("c-1", 0, "status"))
        .await;
    assert_eq!(accepted(&kind), 1);
    for client in &clients {
        let reply = client.wait_for_version(1).await;
        assert_eq!(reply.catalogue.expect("newer").entries[0].service, "status");
    }
    for process in processes {
        assert_eq!(process.terminate().code(), Some(0));
    }
}
