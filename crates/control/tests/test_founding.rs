//! A group that is founded twice, too early, or with members not in its settings.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::Client;
use common::POLL_INTERVAL;
use common::change;
use common::clients;
use common::folder;
use common::restart;
use common::start;
use control::Settings;
use control::bind;
use control::group;
use control::link;
use control::partition::Partition;
use wire::control::Replica;
use wire::replica::Found;
use wire::replica::Group;

/// Time for many rounds of the founding protocol.
const ROUNDS_DURATION: Duration = Duration::from_millis(800);

#[tokio::test]
async fn test_founding_emptied_founder_founds_no_second_group() {
    let (settings, mut replicas) = start("founding-emptied", 3).await;
    let clients = clients(&replicas);
    clients[0]
        .propose_with_retry(&change("c-1", 0, "status"))
        .await;
    let address = |s: &Settings| s.replica.address.to_string();
    let lowest = (0..3)
        .min_by_key(|i| address(&settings[*i]))
        .expect("three");
    let mut founder = replicas.remove(lowest);
    let founder_id = founder.id();
    founder.kill().await;
    std::fs::remove_dir_all(&settings[lowest].data).expect("removes");
    let emptied = restart(&settings[lowest]).await;
    assert_ne!(emptied.id(), founder_id);
    tokio::time::sleep(ROUNDS_DURATION).await;
    let status = Client::new(emptied.rpc()).status().await;
    let status = status.expect("answers");
    assert_eq!(status.id, emptied.id());
    assert!(status.replicas.is_empty());
    assert_eq!(status.term, 0);
}

#[tokio::test]
async fn test_founding_waits_for_every_initial_replica() {
    let mut settings = group::local(&folder("founding-waits"), 3).expect("settings");
    let mut bound = Vec::new();
    for one in &settings {
        bound.push(bind(one).await.expect("binds"));
    }
    let initial: Vec<SocketAddr> = bound.iter().map(control::Bound::replica).collect();
    for (one, bound) in settings.iter_mut().zip(&bound) {
        one.rpc = bound.rpc();
        one.replica.listen = bound.replica();
        one.replica.address = bound.replica();
        one.replica.initial.clone_from(&initial);
    }
    drop(bound);
    let first = restart(&settings[0]).await;
    let second = restart(&settings[1]).await;
    tokio::time::sleep(ROUNDS_DURATION).await;
    for one in &settings[..2] {
        let status = Client::new(one.rpc).status().await.expect("answers");
        assert!(status.replicas.is_empty(), "founded without the third");
    }
    let third = restart(&settings[2]).await;
    for replica in [&first, &second, &third] {
        let client = Client::new(replica.rpc());
        client.wait_for_version(0).await;
        let status = client.status().await.expect("answers");
        assert_eq!(status.replicas.len(), 3);
    }
}

#[tokio::test]
async fn test_founding_refuses_a_group_that_is_not_its_own() {
    let (settings, replicas) = start("founding-refuses", 3).await;
    let clients = clients(&replicas);
    clients[0].wait_for_version(0).await;
    let replica = |id: u64, address: &SocketAddr| Replica {
        id,
        address: address.to_string(),
        domain: "a".into(),
        region: "local".into(),
        voter: true,
    };
    let own = &settings[0].replica.address;
    let all: Vec<Replica> = settings
        .iter()
        .zip(&replicas)
        .map(|(s, r)| replica(r.id(), &s.replica.address))
        .collect();
    let cases = [
        ("another's id", replicas[1].id(), all.clone()),
        (
            "other addresses",
            replicas[0].id(),
            vec![replica(replicas[0].id(), own)],
        ),
        ("a group already", replicas[0].id(), all),
    ];
    for (name, to, members) in cases {
        let ask = Found {
            to,
            group: Some(Group {
                replicas: members,
                acceptance: 1,
                evicted: vec![],
            }),
        };
        let link = link::replica(*own);
        let taken = link::found(&link, &Partition::default(), ask, common::TIMEOUT).await;
        assert!(!taken.expect("answers"), "{name}");
    }
    // The existing group is unchanged.
    loop {
        let status = clients[0].status().await.expect("answers");
        if status.leader != 0 {
            assert_eq!(status.replicas.len(), 3);
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
