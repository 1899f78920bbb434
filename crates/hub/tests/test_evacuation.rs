//! Evacuations of failure domains: orders, watchers and snapshots.

mod common;

use base::prelude::*;
use common::RETRY_INTERVAL;
use common::TIMEOUT;
use common::link;
use common::outgrow_log;
use common::put_until_accepted;
use common::start;
use common::start_all;
use common::table_update;
use common::watch;
use hub::Hub;
use testutils::Layout;
use wire::hub::EvacuationOutcome;
use wire::hub::News;
use wire::hub::Watch;
use wire::link::within;

/// A watcher with older evacuations must be answered at once, and one with these must not.
#[tokio::test]
async fn test_hub_watcher_receives_evacuations() {
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    let domain = DomainName::new("a").expect("a name");
    let first = watch(&link(&layout), Watch::default()).await;
    assert_eq!(first.evacuations, None);
    let request = |revision| Watch {
        epoch: first.epoch,
        cursor: first.cursor,
        news: News::None.into(),
        table: Some(7),
        evacuations: revision,
        wait_ms: 60_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let (link, request) = (link(&layout), request(0));
        async move { watch(&link, request).await }
    });
    hub.commands()
        .evacuate(&domain, true)
        .await
        .expect("in the log");
    hub.commands().evacuate(&domain, true).await.expect("held");
    let received = waiting.await.expect("ends").evacuations.expect("sent");
    assert_eq!((received.revision, received.rows[0].evacuated), (1, true));
    let client = link(&layout).client().await.expect("connects");
    let ended = client.evacuate(
        within(TIMEOUT),
        wire::hub::Evacuation {
            domain: "a".into(),
            ..Default::default()
        },
    );
    assert_eq!(
        ended.await.expect("answers").outcome(),
        EvacuationOutcome::Taken
    );
    let received = watch(&link(&layout), request(1)).await.evacuations;
    assert!(!received.expect("sent").rows[0].evacuated);
    let reply = client.evacuations(within(TIMEOUT)).await.expect("answers");
    assert!(reply.confirmed);
    assert_eq!(reply.evacuations.expect("some").revision, 2);
}

/// An acknowledged order must also reach a hub that receives a snapshot instead of the log
/// entries that it missed.
#[tokio::test]
async fn test_hub_receives_evacuations_with_a_snapshot() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let mut hubs = start_all(&layout, &log).await;
    put_until_accepted(&hubs[0], table_update(1)).await;
    hubs.pop().expect("the third").stop().await;
    let domain = DomainName::new("a").expect("a name");
    let ordering = async {
        while hubs[0].commands().evacuate(&domain, true).await.is_err() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let ordered = tokio::time::timeout(TIMEOUT, ordering).await;
    ordered.expect("in the log in the end");
    outgrow_log(&hubs[0]).await;
    let restarted = Hub::start(layout.hubs[2].clone(), log).await;
    let restarted = restarted.expect("starts");
    let reading = async {
        loop {
            match restarted.commands().evacuations().await {
                Ok(domains) => return domains,
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    };
    let domains = tokio::time::timeout(TIMEOUT, reading).await;
    assert!(
        domains
            .expect("a majority in the end")
            .is_evacuated(&domain)
    );
}
