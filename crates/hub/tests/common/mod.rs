//! Helpers that start hubs, propose tables and watch.
#![allow(dead_code, reason = "each test binary uses only some helpers")]

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

pub const TIMEOUT: Duration = Duration::from_mins(1);
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a single hub. The layout owns its host and folder.
pub async fn start() -> (Hub, Layout) {
    let layout = Layout::new(1, 0).expect("a folder");
    let log = telemetry::log::silent();
    let hub = Hub::start(layout.hubs[0].clone(), log).await;
    (hub.expect("starts"), layout)
}

/// Starts all hubs of the layout.
pub async fn start_all(layout: &Layout, log: &Logger) -> Vec<Hub> {
    let mut hubs = Vec::new();
    for settings in &layout.hubs {
        let hub = Hub::start(settings.clone(), log.clone()).await;
        hubs.push(hub.expect("starts"));
    }
    hubs
}

pub fn table_update(version: u64) -> TableUpdate {
    TableUpdate {
        table: Table {
            version,
            ..Table::default()
        },
        source: b"as sent".to_vec(),
    }
}

pub async fn put_until_accepted(hub: &Hub, update: TableUpdate) -> TableOutcome {
    let retrying = async {
        loop {
            match hub.commands().put(update.clone()).await {
                Ok(reply) => return reply.outcome(),
                Err(CommandError::NoMajority) => tokio::time::sleep(RETRY_INTERVAL).await,
                Err(err) => panic!("{err}"),
            }
        }
    };
    tokio::time::timeout(TIMEOUT, retrying)
        .await
        .expect("a leader in the end")
}

/// Puts tables 2 to 11, which exceed the snapshot threshold several times.
pub async fn outgrow_log(hub: &Hub) {
    for version in 2..12 {
        let large = TableUpdate {
            source: vec![b'x'; 200 * 1024],
            ..table_update(version)
        };
        put_until_accepted(hub, large).await;
    }
}

pub fn link(layout: &Layout) -> HubLink {
    let settings = &layout.hubs[0];
    peer::hub(settings.hub_at(settings.address))
}

pub async fn watch(link: &HubLink, request: Watch) -> WatchReply {
    let client = link.client().await.expect("connects");
    client
        .watch(within(TIMEOUT), request)
        .await
        .expect("answers")
}
