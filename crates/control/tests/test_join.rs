//! Replicas that are taken in without an operator, and what the log keeps of
//! route tables and announcements.

mod common;

use std::net::SocketAddr;

use base::prelude::*;
use common::PATIENCE;
use common::PAUSE;
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

async fn put(desk: &LocalClient, table: Table) -> TableOutcome {
    let tries = async {
        loop {
            if let Some(reply) = desk.put(table.clone()).await {
                return reply.outcome();
            }
        }
    };
    tokio::time::timeout(PATIENCE, tries)
        .await
        .expect("a leader answers in the end")
}

async fn kill(replicas: &mut [Control]) {
    for replica in replicas {
        replica.kill().await;
    }
}

/// What a majority confirms, however long that takes.
async fn read(desk: &LocalClient) -> u64 {
    desk.read(PATIENCE).await.expect("a majority").version
}

/// Waits until a replica votes in a group of exactly these addresses.
async fn votes(replica: &Control, group: &[SocketAddr]) {
    let mut expected: Vec<String> = group.iter().map(ToString::to_string).collect();
    expected.sort_unstable();
    let tries = async {
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
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, tries)
        .await
        .expect("the group takes it in");
}

fn addresses(settings: &[Settings]) -> Vec<SocketAddr> {
    settings.iter().map(|s| s.replica.address).collect()
}

/// The settings of a replica that knows nothing but whom to ask.
fn joining(settings: &Settings, seeds: Vec<SocketAddr>) -> Settings {
    let mut settings = settings.clone();
    settings.replica.initial = Vec::new();
    settings.replica.seeds = seeds;
    settings
}

#[tokio::test]
async fn test_join_highest_version_wins_and_first_content_under_it() {
    let (settings, mut replicas) = start("join-versions", 3).await;
    let desk = replicas[0].local_client();
    let other = replicas[1].local_client();
    assert_eq!(put(desk, table(4, "a")).await, TableOutcome::Taken);
    assert_eq!(put(other, table(4, "a")).await, TableOutcome::Held);
    assert_eq!(put(other, table(4, "b")).await, TableOutcome::Differs);
    assert_eq!(put(other, table(3, "c")).await, TableOutcome::Older);
    assert_eq!(read(other).await, 4);
    assert_eq!(&other.applied_table().content[..], b"a");
    kill(&mut replicas).await;
    let mut again = Vec::new();
    for one in &settings {
        again.push(restart(one).await);
    }
    assert_eq!(read(again[2].local_client()).await, 4);
    assert_eq!(
        &again[2].local_client().applied_table().source[..],
        b"as sent"
    );
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
    let desk = replicas[0].local_client();
    for row in [
        instance("i-1", Phase::Ready, 1),
        instance("i-2", Phase::Ready, 1),
        instance("i-2", Phase::Draining, 2),
        // Late, and so without effect.
        instance("i-2", Phase::Ready, 1),
    ] {
        while !desk.register(row.clone()).await {
            tokio::time::sleep(PAUSE).await;
        }
    }
    kill(&mut replicas).await;
    let mut again = Vec::new();
    for one in &settings {
        again.push(restart(one).await);
    }
    let _ = read(again[1].local_client()).await;
    let registry = again[1].local_client().registry();
    let phase = |id| registry.get(id).map(Instance::phase);
    assert_eq!(phase("i-1"), Some(Phase::Ready));
    assert_eq!(phase("i-2"), Some(Phase::Draining));
}

#[tokio::test]
async fn test_join_evacuations_outlive_a_restart_of_all() {
    let (settings, mut replicas) = start("join-evacuations", 3).await;
    let [a, b] = ["a", "b"].map(|name| DomainName::new(name).expect("a name"));
    let order = async |desk: &LocalClient, domain, evacuated| {
        let tries = async {
            loop {
                let outcome = desk.evacuate(domain, evacuated, PATIENCE).await;
                if let Some(outcome) = outcome {
                    return outcome;
                }
            }
        };
        let outcome = tokio::time::timeout(PATIENCE, tries).await;
        outcome.expect("a leader answers in the end")
    };
    let (one, two) = (replicas[0].local_client(), replicas[1].local_client());
    assert_eq!(order(one, &a, true).await, Outcome::Taken);
    // Each order is made from what a majority confirms, so that none counts as overtaken.
    assert_eq!(order(two, &a, true).await, Outcome::Held);
    assert_eq!(order(two, &b, true).await, Outcome::Taken);
    assert_eq!(order(one, &a, false).await, Outcome::Taken);
    kill(&mut replicas).await;
    let mut again = Vec::new();
    for one in &settings {
        again.push(restart(one).await);
    }
    let held = again[2].local_client().evacuations(PATIENCE).await;
    let held = held.expect("a majority");
    assert!(!held.is_evacuated(&a) && held.is_evacuated(&b));
}

#[tokio::test]
async fn test_join_emptied_replica_comes_back_as_another_one() {
    let (settings, mut replicas) = start("join-emptied", 3).await;
    assert_eq!(
        put(replicas[0].local_client(), table(7, "a")).await,
        TableOutcome::Taken
    );
    let mut lost = replicas.remove(2);
    let id = lost.id();
    lost.kill().await;
    std::fs::remove_dir_all(&settings[2].data).expect("removes");
    let all = addresses(&settings);
    let back = restart(&joining(&settings[2], all.clone())).await;
    assert_ne!(back.id(), id);
    votes(&back, &all).await;
    // It counts: with one of the others gone, it and the last one are the majority.
    replicas.remove(0).kill().await;
    assert_eq!(read(back.local_client()).await, 7);
    assert_eq!(
        put(back.local_client(), table(8, "b")).await,
        TableOutcome::Taken
    );
}

#[tokio::test]
async fn test_join_replacement_at_another_address_takes_the_place_of_the_lost_one() {
    // The leader lets a silent voter go by itself only in a group that has seeds.
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let (settings, mut replicas) =
        start_with("join-replaced", 3, |s| s.replica.seeds = vec![nobody]).await;
    assert_eq!(
        put(replicas[0].local_client(), table(7, "a")).await,
        TableOutcome::Taken
    );
    replicas.remove(2).kill().await;
    let mut fresh = joining(&settings[2], addresses(&settings[..2]));
    fresh.data = folder("join-replaced-fresh");
    let bound = control::bind(&free(&fresh)).await.expect("binds");
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
    votes(&new, &group).await;
    assert_eq!(read(new.local_client()).await, 7);
}

/// The same settings on free ports.
fn free(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.rpc = any;
    settings.replica.listen = any;
    settings
}
