//! Replicas that fail to join without an operator, and route tables, announcements or
//! evacuations lost in a restart.

mod common;

use std::net::SocketAddr;

use base::prelude::*;
use common::POLL_INTERVAL;
use common::TIMEOUT;
use common::folder;
use common::restart;
use common::start;
use common::start_with;
use control::Control;
use control::LocalClient;
use control::Settings;
use evacuation::Outcome;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::hub::Table;
use wire::hub::TableOutcome;

fn table(version: u64, content: &str) -> Table {
    Table {
        version,
        content: content.to_owned().into(),
        source: "as sent".into(),
    }
}

async fn put_table(client: &LocalClient, table: Table) -> TableOutcome {
    let attempts = async {
        loop {
            if let Some(reply) = client.put(table.clone()).await {
                return reply.outcome();
            }
        }
    };
    tokio::time::timeout(TIMEOUT, attempts)
        .await
        .expect("a leader answers in the end")
}

async fn kill(replicas: &mut [Control]) {
    for replica in replicas {
        replica.kill().await;
    }
}

/// The version of the route table, confirmed by a majority.
async fn read(client: &LocalClient) -> u64 {
    let table = client.read(TIMEOUT).await.expect("a majority");
    table.expect("a table").version
}

/// Waits until a replica knows a group with exactly these addresses as voters.
async fn wait_until_voter(replica: &Control, group: &[SocketAddr]) {
    let mut expected: Vec<String> = group.iter().map(ToString::to_string).collect();
    expected.sort_unstable();
    let attempts = async {
        loop {
            let replicas = replica.local_client().replicas().await;
            let mut voters: Vec<String> = replicas
                .into_iter()
                .filter(|r| r.voter)
                .map(|r| r.address)
                .collect();
            voters.sort_unstable();
            if voters == expected {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, attempts)
        .await
        .expect("the group adds the replica");
}

fn addresses(settings: &[Settings]) -> Vec<SocketAddr> {
    settings.iter().map(|s| s.replica.address).collect()
}

/// The settings of a replica without a founding group, which asks `seeds` to join.
fn joining_settings(settings: &Settings, seeds: Vec<SocketAddr>) -> Settings {
    let mut settings = settings.clone();
    settings.replica.initial = Vec::new();
    settings.replica.seeds = seeds;
    settings
}

#[tokio::test]
async fn test_join_highest_version_wins_and_first_content_under_it() {
    let (settings, mut replicas) = start("join-versions", 3).await;
    let client = replicas[0].local_client();
    let other = replicas[1].local_client();
    assert_eq!(put_table(client, table(4, "a")).await, TableOutcome::Taken);
    assert_eq!(put_table(other, table(4, "a")).await, TableOutcome::Held);
    assert_eq!(put_table(other, table(4, "b")).await, TableOutcome::Differs);
    assert_eq!(put_table(other, table(3, "c")).await, TableOutcome::Older);
    assert_eq!(read(other).await, 4);
    let applied = other.applied_table().expect("a table");
    assert_eq!(&applied.content[..], b"a");
    kill(&mut replicas).await;
    let mut restarted = Vec::new();
    for one in &settings {
        restarted.push(restart(one).await);
    }
    assert_eq!(read(restarted[2].local_client()).await, 4);
    let applied = restarted[2].local_client().applied_table();
    assert_eq!(&applied.expect("a table").source[..], b"as sent");
}

#[tokio::test]
async fn test_join_announcements_outlive_a_restart_of_all() {
    let (settings, mut replicas) = start("join-registry", 3).await;
    let instance = |id: &str, phase: Phase, sequence| Instance {
        id: id.into(),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: phase.into(),
        sequence,
        ..Instance::default()
    };
    let client = replicas[0].local_client();
    for row in [
        instance("i-1", Phase::Ready, 1),
        instance("i-2", Phase::Ready, 1),
        instance("i-2", Phase::Draining, 2),
        // Out of order, and so ignored.
        instance("i-2", Phase::Ready, 1),
    ] {
        while !client.register(vec![row.clone()]).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    kill(&mut replicas).await;
    let mut restarted = Vec::new();
    for one in &settings {
        restarted.push(restart(one).await);
    }
    let table = restarted[1].local_client().read(TIMEOUT).await;
    assert_eq!(table.expect("a majority"), None);
    let registry = restarted[1].local_client().registry();
    let phase = |id| registry.get(id).map(Instance::phase);
    assert_eq!(phase("i-1"), Some(Phase::Ready));
    assert_eq!(phase("i-2"), Some(Phase::Draining));
}

#[tokio::test]
async fn test_join_evacuations_outlive_a_restart_of_all() {
    let (settings, mut replicas) = start("join-evacuations", 3).await;
    let [a, b] = ["a", "b"].map(|name| DomainName::new(name).expect("a name"));
    let order = async |client: &LocalClient, domain, evacuated| {
        let attempts = async {
            loop {
                let outcome = client.evacuate(domain, evacuated, TIMEOUT).await;
                if let Some(outcome) = outcome {
                    return outcome;
                }
            }
        };
        let outcome = tokio::time::timeout(TIMEOUT, attempts).await;
        outcome.expect("a leader answers in the end")
    };
    let (one, two) = (replicas[0].local_client(), replicas[1].local_client());
    assert_eq!(order(one, &a, true).await, Outcome::Taken);
    // Each order is based on confirmed evacuations, so that none is rejected as outdated.
    assert_eq!(order(two, &a, true).await, Outcome::Held);
    assert_eq!(order(two, &b, true).await, Outcome::Taken);
    assert_eq!(order(one, &a, false).await, Outcome::Taken);
    kill(&mut replicas).await;
    let mut restarted = Vec::new();
    for one in &settings {
        restarted.push(restart(one).await);
    }
    let evacuations = restarted[2].local_client().evacuations(TIMEOUT).await;
    let evacuations = evacuations.expect("a majority");
    assert!(!evacuations.is_evacuated(&a) && evacuations.is_evacuated(&b));
}

#[tokio::test]
async fn test_join_emptied_replica_rejoins_with_a_new_id() {
    let (settings, mut replicas) = start("join-emptied", 3).await;
    assert_eq!(
        put_table(replicas[0].local_client(), table(7, "a")).await,
        TableOutcome::Taken
    );
    let mut lost = replicas.remove(2);
    let id = lost.id();
    lost.kill().await;
    std::fs::remove_dir_all(&settings[2].data).expect("removes");
    let all = addresses(&settings);
    let rejoined = restart(&joining_settings(&settings[2], all.clone())).await;
    assert_ne!(rejoined.id(), id);
    wait_until_voter(&rejoined, &all).await;
    // With another replica killed, the rejoined one is needed for a majority.
    replicas.remove(0).kill().await;
    assert_eq!(read(rejoined.local_client()).await, 7);
    assert_eq!(
        put_table(rejoined.local_client(), table(8, "b")).await,
        TableOutcome::Taken
    );
}

#[tokio::test]
async fn test_join_replacement_at_another_address_takes_the_place_of_the_lost_one() {
    // The leader removes a silent voter on its own only when seeds are configured.
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let (settings, mut replicas) =
        start_with("join-replaced", 3, |s| s.replica.seeds = vec![nobody]).await;
    assert_eq!(
        put_table(replicas[0].local_client(), table(7, "a")).await,
        TableOutcome::Taken
    );
    replicas.remove(2).kill().await;
    let mut fresh = joining_settings(&settings[2], addresses(&settings[..2]));
    fresh.data = folder("join-replaced-fresh");
    let bound = control::bind(&with_free_ports(&fresh))
        .await
        .expect("binds");
    fresh.rpc = bound.rpc();
    fresh.replica.listen = bound.replica();
    fresh.replica.address = bound.replica();
    let disk = store::Folder::open(&fresh.data).expect("opens");
    let log = telemetry::log::silent();
    let new = bound
        .start(fresh.clone(), Box::new(disk), log)
        .await
        .expect("starts");
    let group = [
        settings[0].replica.address,
        settings[1].replica.address,
        fresh.replica.address,
    ];
    wait_until_voter(&new, &group).await;
    assert_eq!(read(new.local_client()).await, 7);
}

/// The same settings with free ports.
fn with_free_ports(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.rpc = any;
    settings.replica.listen = any;
    settings
}
