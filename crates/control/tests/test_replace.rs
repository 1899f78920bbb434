//! Loss of acknowledged changes when one disk after another is lost and replaced, and votes
//! of a replica with an emptied data folder.

mod common;

use common::Client;
use common::POLL_INTERVAL;
use common::accepted;
use common::change;
use common::folder;
use common::process::Plan;
use common::process::Process;
use common::process::plan;
use common::process::use_small_snapshots;
use wire::catalogue::Change;
use wire::catalogue::change_reply::Kind;
use wire::control::Replica;
use wire::control::Role;
use wire::control::membership;

/// The length of the log when the first disk is lost.
struct Case {
    name: &'static str,
    changes: u64,
    /// The log is compacted, so that the new replica needs a snapshot.
    snapshots: bool,
}

const CASES: [Case; 2] = [
    Case {
        name: "replace-log",
        changes: 20,
        snapshots: false,
    },
    Case {
        name: "replace-snapshot",
        changes: 500,
        snapshots: true,
    },
];

/// Kills a replica and empties its data folder.
fn kill_and_empty(process: Process, plan: &Plan) {
    process.kill();
    std::fs::remove_dir_all(&plan.data).expect("removes");
}

/// Adds the replica at the plan's address and removes `old`.
async fn replace_member(client: &Client, plan: &Plan, old: u64) {
    let added = Replica {
        address: plan.replica.to_string(),
        ..Replica::default()
    };
    client
        .change_group_with_retry(membership::Kind::Add(added))
        .await;
    client
        .change_group_with_retry(membership::Kind::Remove(old))
        .await;
}

async fn id(client: &Client) -> u64 {
    loop {
        match client.status().await {
            Ok(status) if status.id != 0 => return status.id,
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

fn numbered(base: u64) -> Change {
    let service = format!("service-{:0100}", base % 50);
    change(&format!("c-{base}"), base, &service)
}

async fn fill(client: &Client, from: u64, to: u64) {
    for base in from..to {
        let kind = client.propose_with_retry(&numbered(base)).await;
        assert_eq!(accepted(&kind), base + 1);
    }
}

#[tokio::test]
async fn test_replace_second_loss_after_the_repair_loses_nothing() {
    for case in CASES {
        second_loss(&case).await;
    }
}

async fn second_loss(case: &Case) {
    let plans = plan(&folder(case.name), 3);
    if case.snapshots {
        plans.iter().for_each(use_small_snapshots);
    }
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let [a, b, c] = <[Process; 3]>::try_from(Process::start_all(&plans))
        .ok()
        .expect("three");
    fill(&clients[0], 0, case.changes).await;
    let first = clients[0].status().await.expect("answers").first_index;
    assert_eq!(first > 1, case.snapshots, "{}", case.name);

    let old = id(&clients[2]).await;
    kill_and_empty(c, &plans[2]);
    let c = Process::start(&plans[2]);
    let new = id(&clients[2]).await;
    assert_ne!(new, old, "an emptied folder is another replica");
    replace_member(&clients[0], &plans[2], old).await;

    // Once the membership changes are done, a further loss must be tolerated.
    let old = id(&clients[1]).await;
    kill_and_empty(b, &plans[1]);
    let reply = clients[2].wait_for_version(case.changes).await;
    assert_eq!(reply.version, case.changes);
    assert_eq!(clients[2].history().await.len() as u64, case.changes);
    fill(&clients[2], case.changes, case.changes + 5).await;

    let b = Process::start(&plans[1]);
    replace_member(&clients[2], &plans[1], old).await;
    clients[1].wait_for_version(case.changes + 5).await;
    let status = clients[0].status().await.expect("answers");
    assert_eq!(status.replicas.len(), 3);
    assert!(status.replicas.iter().all(|r| r.voter));
    drop((a, b, c));
}

#[tokio::test]
async fn test_replace_emptied_replica_does_not_vote() {
    let plans = plan(&folder("replace-vote"), 3);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let [a, b, c] = <[Process; 3]>::try_from(Process::start_all(&plans))
        .ok()
        .expect("three");
    fill(&clients[0], 0, 1).await;
    for client in &clients {
        client.wait_for_version(1).await;
    }
    // Two of three replicas are lost, and one restarts with an empty data folder. If it
    // voted under its old id, it would form a majority with the remaining replica.
    b.kill();
    kill_and_empty(c, &plans[2]);
    let c = Process::start(&plans[2]);
    let emptied = id(&clients[2]).await;
    let reply = clients[0].propose(&numbered(1)).await;
    assert!(matches!(reply, Ok(Kind::Uncertain(_))), "{reply:?}");
    let status = clients[2].status().await.expect("answers");
    assert_eq!(status.id, emptied);
    assert_eq!(status.role(), Role::Learner);
    assert!(
        status.replicas.is_empty(),
        "the emptied replica founded a group"
    );
    assert_eq!(status.commit, 0);

    // Once the killed replica is back, the group continues without loss.
    let b = Process::start(&plans[1]);
    fill(&clients[1], 1, 3).await;
    drop((a, b, c));
}
