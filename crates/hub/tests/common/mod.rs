//! Hubs as processes would run them, and one that watches.
#![allow(dead_code, reason = "each test binary uses its own part")]

use std::time::Duration;

use hub::CommandError;
use hub::Hub;
use hub::TableUpdate;
use slog::Logger;
use table::Table;
use testutils::Layout;
use wire::hub::TableOutcome;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

pub const PATIENCE: Duration = Duration::from_mins(1);
pub const PAUSE: Duration = Duration::from_millis(20);

/// A hub of its own system; the layout keeps its host and folder.
pub async fn start() -> (Hub, Layout) {
    let layout = Layout::new(1, 0).expect("a folder");
    let log = telemetry::log::silent();
    let hub = Hub::start(layout.hubs[0].clone(), log).await;
    (hub.expect("starts"), layout)
}

/// All hubs of the layout.
pub async fn start_all(layout: &Layout, log: &Logger) -> Vec<Hub> {
    let mut hubs = Vec::new();
    for settings in &layout.hubs {
        let hub = Hub::start(settings.clone(), log.clone()).await;
        hubs.push(hub.expect("starts"));
    }
    hubs
}

pub fn put(version: u64) -> TableUpdate {
    TableUpdate {
        table: Table {
            version,
            ..Table::default()
        },
        source: b"as sent".to_vec(),
    }
}

pub async fn put_surely(hub: &Hub, put: TableUpdate) -> TableOutcome {
    let tries = async {
        loop {
            match hub.commands().put(put.clone()).await {
                Ok(reply) => return reply.outcome(),
                Err(CommandError::NoMajority) => tokio::time::sleep(PAUSE).await,
                Err(err) => panic!("{err}"),
            }
        }
    };
    tokio::time::timeout(PATIENCE, tries)
        .await
        .expect("a leader in the end")
}

/// Puts tables 2 to 11, over the bytes after which a snapshot takes the place of the log,
/// several times.
pub async fn outgrow_log(hub: &Hub) {
    for version in 2..12 {
        let large = TableUpdate {
            source: vec![b'x'; 200 * 1024],
            ..put(version)
        };
        put_surely(hub, large).await;
    }
}

pub fn link(layout: &Layout) -> HubLink {
    let settings = &layout.hubs[0];
    peer::hub(settings.hub_at(settings.address))
}

pub async fn watch(link: &HubLink, ask: Watch) -> WatchReply {
    let client = link.client().await.expect("connects");
    client.watch(within(PATIENCE), ask).await.expect("answers")
}
