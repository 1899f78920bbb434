//! A replica's disk is lost and replaced, and a second one right after the repair.

mod common;

use common::Client;
use common::PAUSE;
use common::accepted;
use common::change;
use common::folder;
use common::process::Plan;
use common::process::Process;
use common::process::plan;
use common::process::take_snapshots;
use wire::catalogue::Change;
use wire::catalogue::change_reply::Kind;
use wire::control::Replica;
use wire::control::Role;
use wire::control::membership;

/// How much lies behind the replicas when the first disk is lost.
struct Case {
    name: &'static str,
    changes: u64,
    /// The log before is gone, so that the new replica needs a snapshot.
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
fn lose(process: Process, plan: &Plan) {
    process.kill();
    std::fs::remove_dir_all(&plan.data).expect("removes");
}

/// Adds whoever answers at the plan's address and removes `old`.
async fn repair(client: &Client, plan: &Plan, old: u64) {
    let added = Replica {
        address: plan.replica.to_string(),
        ..Replica::default()
    };
    client
        .change_group_surely(membership::Kind::Add(added))
        .await;
    client
        .change_group_surely(membership::Kind::Remove(old))
        .await;
}

async fn id(client: &Client) -> u64 {
    loop {
        match client.status().await {
            Ok(status) if status.id != 0 => return status.id,
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn numbered(base: u64) -> Change {
    let service = format!("service-{:0100}", base % 50);
    change(&format!("c-{base}"), base, &service)
}

async fn fill(client: &Client, from: u64, to: u64) {
    for base in from..to {
        let kind = client.propose_surely(&numbered(base)).await;
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
        plans.iter().for_each(take_snapshots);
    }
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let [a, b, c] = <[Process; 3]>::try_from(Process::start_all(&plans))
        .ok()
        .expect("three");
    fill(&clients[0], 0, case.changes).await;
    let first = clients[0].status().await.expect("answers").first_index;
    assert_eq!(first > 1, case.snapshots, "{}", case.name);

    let old = id(&clients[2]).await;
    lose(c, &plans[2]);
    let c = Process::start(&plans[2]);
    let new = id(&clients[2]).await;
    assert_ne!(new, old, "an emptied folder is another replica");
    repair(&clients[0], &plans[2], old).await;

    // The repair is finished: the next loss may come at once.
    let old = id(&clients[1]).await;
    lose(b, &plans[1]);
    let reply = clients[2].reaches(case.changes).await;
    assert_eq!(reply.version, case.changes);
    assert_eq!(clients[2].history().await.len() as u64, case.changes);
    fill(&clients[2], case.changes, case.changes + 5).await;

    let b = Process::start(&plans[1]);
    repair(&clients[2], &plans[1], old).await;
    clients[1].reaches(case.changes + 5).await;
    let status = clients[0].status().await.expect("answers");
    assert_eq!(status.replicas.len(), 3);
    assert!(status.replicas.iter().all(|r| r.voter));
    drop((a, b, c));
}

#[tokio::test]
async fn test_replace_emptied_replica_is_no_vote() {
    let plans = plan(&folder("replace-vote"), 3);
    let clients: Vec<Client> = plans.iter().map(|p| Client::new(p.rpc)).collect();
    let [a, b, c] = <[Process; 3]>::try_from(Process::start_all(&plans))
        .ok()
        .expect("three");
    fill(&clients[0], 0, 1).await;
    for client in &clients {
        client.reaches(1).await;
    }
    // Two of three are lost, and one comes back empty at its old address: were
    // it to vote as its old self, the one that is left would have a majority.
    b.kill();
    lose(c, &plans[2]);
    let c = Process::start(&plans[2]);
    let emptied = id(&clients[2]).await;
    let reply = clients[0].propose(&numbered(1)).await;
    assert!(matches!(reply, Ok(Kind::Uncertain(_))), "{reply:?}");
    let status = clients[2].status().await.expect("answers");
    assert_eq!(status.id, emptied);
    assert_eq!(status.role(), Role::Learner);
    assert!(status.replicas.is_empty(), "it founded a group of its own");
    assert_eq!(status.commit, 0);

    // With the second one back the group goes on, and has lost nothing.
    let b = Process::start(&plans[1]);
    fill(&clients[1], 1, 3).await;
    drop((a, b, c));
}
