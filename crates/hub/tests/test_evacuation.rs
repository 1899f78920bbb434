//! Orders on failure domains at hubs, and what watchers are told of them.

mod common;

use base::prelude::*;
use common::PATIENCE;
use common::PAUSE;
use common::link;
use common::outgrow_log;
use common::put;
use common::put_surely;
use common::start;
use common::start_all;
use common::watch;
use hub::Hub;
use testutils::Layout;
use wire::hub::EvacuationOutcome;
use wire::hub::News;
use wire::hub::Watch;
use wire::link::within;

/// Whoever holds older evacuations is told at once, and who holds these is not.
#[tokio::test]
async fn test_hub_watcher_learns_of_evacuations() {
    let (hub, layout) = start().await;
    put_surely(&hub, put(7)).await;
    let domain = DomainName::new("a").expect("a name");
    let first = watch(&link(&layout), Watch::default()).await;
    assert_eq!(first.evacuations, None);
    let ask = |revision| Watch {
        epoch: first.epoch,
        cursor: first.cursor,
        news: News::None.into(),
        table: 7,
        evacuations: revision,
        wait_ms: 60_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let (link, ask) = (link(&layout), ask(0));
        async move { watch(&link, ask).await }
    });
    hub.commands()
        .evacuate(&domain, true)
        .await
        .expect("in the log");
    hub.commands().evacuate(&domain, true).await.expect("held");
    let told = waiting.await.expect("ends").evacuations.expect("told");
    assert_eq!((told.revision, told.rows[0].evacuated), (1, true));
    let client = link(&layout).client().await.expect("connects");
    let back = client.evacuate(
        within(PATIENCE),
        wire::hub::Evacuation {
            domain: "a".into(),
            ..Default::default()
        },
    );
    assert_eq!(
        back.await.expect("answers").outcome(),
        EvacuationOutcome::Taken
    );
    let told = watch(&link(&layout), ask(1)).await.evacuations;
    assert!(!told.expect("told").rows[0].evacuated);
    let held = client.evacuations(within(PATIENCE)).await.expect("answers");
    assert!(held.confirmed);
    assert_eq!(held.evacuations.expect("some").revision, 2);
}

/// An order that was acknowledged holds after every hub was lost, and also at one that was
/// away and takes a snapshot in place of the entries that it missed.
#[tokio::test]
async fn test_hub_evacuations_come_with_a_snapshot() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let mut hubs = start_all(&layout, &log).await;
    put_surely(&hubs[0], put(1)).await;
    hubs.pop().expect("the third").stop().await;
    let domain = DomainName::new("a").expect("a name");
    let ordered = async {
        while hubs[0].commands().evacuate(&domain, true).await.is_err() {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let ordered = tokio::time::timeout(PATIENCE, ordered).await;
    ordered.expect("in the log in the end");
    outgrow_log(&hubs[0]).await;
    let back = Hub::start(layout.hubs[2].clone(), log).await;
    let back = back.expect("starts");
    let held = async {
        loop {
            match back.commands().evacuations().await {
                Ok(held) => return held,
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    };
    let held = tokio::time::timeout(PATIENCE, held).await;
    assert!(held.expect("a majority in the end").is_evacuated(&domain));
}
