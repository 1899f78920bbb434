//! Guards against a restarted or resumed gateway that serves by an outdated catalogue.

use std::time::Duration;

use base::prelude::*;
use testutils::Caller;
use testutils::Request;
use testutils::System;
use testutils::operator;
use testutils::operator::explain;
use testutils::services;
use testutils::system::wait;
use testutils::system::wait_some;
use tokio::time::sleep;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

/// Processes that are killed before a change and restarted after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Gateway,
    GatewayAndDirectory,
    EntryAndLeader,
}

fn queue_edit(queue: u32) -> Vec<Edit> {
    let mut entry = services::ferrovie().remove(0);
    entry.limits.queue = queue;
    let kind = Some(Kind::Put(entry.to_wire()));
    vec![Edit { kind }]
}

async fn kill(system: &mut System, killed: Killed) {
    system.gateways[0].take().unwrap().kill().await.unwrap();
    if killed != Killed::Gateway {
        system.directories[0].take().unwrap().kill().await.unwrap();
    }
    if killed == Killed::EntryAndLeader {
        let leader = leader(system).await;
        system.control[leader].take().unwrap().kill().await.unwrap();
    }
}

/// The index of the leader; waits for one, as a leader whose process stalls gives way.
async fn leader(system: &System) -> usize {
    let find = async || {
        for index in 0..system.control.len() {
            let status = system.operator.status(index).await;
            if status.is_some_and(|s| s.id == s.leader) {
                return Some(index);
            }
        }
        None
    };
    wait_some("leader", find).await.unwrap()
}

async fn restart(system: &mut System) {
    for index in 0..system.control.len() {
        if system.control[index].is_none() {
            system.control[index] = Some(system.start_control(index).await.unwrap());
        }
    }
    if system.directories[0].is_none() {
        system.directories[0] = Some(system.start_directory(0).await.unwrap());
    }
    system.gateways[0] = Some(system.start_gateway(0).await.unwrap());
}

/// Kills gateway 0 before each of several changes and restarts it after; unless fenced,
/// the gateway must have the new version in force.
async fn run(killed: Killed) {
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let address = system.plan.gateways[0].rpc;
    for queue in 1..=3 {
        kill(&mut system, killed).await;
        let version = system.apply(queue_edit(queue)).await.unwrap();
        system.wait_in_force(1, version).await.unwrap();
        restart(&mut system).await;
        // From its first answer on, the gateway is fenced or at the new version.
        wait("unfenced gateway", async || {
            let Some(reply) = explain(address, services::STATUS).await else {
                return false;
            };
            assert!(
                reply.fenced || reply.version >= version,
                "{killed:?}: {} below {version}",
                reply.version
            );
            !reply.fenced
        })
        .await
        .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_config_gateway_killed_during_change() {
    run(Killed::Gateway).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_config_entry_host_killed_during_change() {
    run(Killed::GatewayAndDirectory).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_config_entry_host_and_leader_killed_during_change() {
    run(Killed::EntryAndLeader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_config_frozen_gateway_serves_nothing_removed() {
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let upstream = system.upstream(services::GRANTS, 0).await.unwrap();
    let frozen = system.gateways[0].take().unwrap();
    frozen.freeze().unwrap();
    // Directories stop returning the gateway once its host's lease has expired.
    let directory = system.plan.directories[1].rpc;
    let name = system.plan.gateways[0].host.to_string();
    wait("directory without the frozen gateway", async || {
        let hosts = operator::hosts(directory).await;
        hosts.is_some_and(|hosts| !hosts.iter().any(|h| h.host == name))
    })
    .await
    .unwrap();
    let removal = Edit {
        kind: Some(Kind::Remove(services::GRANTS.into())),
    };
    let version = system.apply(vec![removal]).await.unwrap();
    system.wait_in_force(1, version).await.unwrap();

    // The lease also expires while the gateway is frozen.
    sleep(system.plan.gateways[0].lease.length + Duration::from_secs(1)).await;
    // The call waits in the frozen process's socket and is the first that it handles.
    let gateway = system.gateway(0);
    let request =
        Request::post(services::GRANTS, "/grants", "block 7").keyed(&testutils::new_key());
    let call = tokio::spawn(async move { Caller::new().call(gateway, &request).await });
    frozen.resume().unwrap();
    let reply = call.await.unwrap();
    assert_eq!(reply.outcome, Some(Outcome::NotRun), "{reply:?}");
    assert!(
        ["fenced", "unknown-service"].contains(&reply.reason.as_str()),
        "{reply:?}"
    );
    assert!(upstream.record().await.runs.is_empty());
}
