//! API keys in a fleet of hub and entry processes.

use std::time::Duration;

use base::prelude::*;
use entry::settings::Keys;
use table::KeyDigest;
use table::Route;
use table::Table;
use table::Workspace;
use testutils::Fleet;
use testutils::Layout;
use testutils::Request;
use testutils::Upstream;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::HOST;
use testutils::tables::READ;
use testutils::tables::STATUS;
use tokio::time::sleep;

const KEY: &str = "key-1";
/// Prefix of a route without a key.
const PUBLIC: &str = "/public/";
/// How long the entry processes serve without a majority.
const CONFIRM: Duration = Duration::from_secs(1);

/// The plain table with a workspace that has these keys, and a public route.
fn table(version: u64, keys: &[&str]) -> Table {
    let mut table = tables::plain(version);
    let public = Route {
        name: PUBLIC.into(),
        prefix: PUBLIC.into(),
        public: true,
        ..table.hosts[0].routes[0].clone()
    };
    table.hosts[0].routes.push(public);
    table.workspaces.push(Workspace {
        name: WorkspaceName::new("payments").unwrap(),
        keys: keys.iter().map(KeyDigest::of).collect(),
        priority: 0,
        quota: None,
    });
    table
}

fn request(prefix: &str) -> Request {
    let path = format!("{prefix}1");
    Request::get(STATUS, &path).at(HOST).with_api_key(KEY)
}

/// Starts three hubs and two entry processes that fail closed, and waits until these serve.
async fn start() -> (Fleet, Upstream) {
    let mut layout = Layout::new(3, 2).unwrap();
    for entry in &mut layout.entries {
        entry.keys = Keys {
            fail_closed: true,
            confirm: CONFIRM,
        };
    }
    let mut fleet = Fleet::start_layout(layout).await.unwrap();
    fleet.layout.put(&table(1, &[KEY])).await.unwrap();
    let upstream = fleet.upstream(STATUS, 0).await.unwrap();
    for index in 0..2 {
        wait_for(&fleet, index, READ, 200).await;
    }
    (fleet, upstream)
}

async fn wait_for(fleet: &Fleet, index: usize, prefix: &str, status: u16) {
    let goal = format!("status {status} of {prefix} at entry {index}");
    let is_reached = async || fleet.call(index, &request(prefix)).await.status == status;
    wait(&goal, is_reached).await.unwrap();
}

/// Guards against a key that works on at some process, and against processes that learn only the
/// last of several versions.
#[tokio::test(flavor = "multi_thread")]
async fn test_keys_removed_key_stops_everywhere() {
    let (fleet, _upstream) = start().await;
    fleet.layout.put(&table(2, &["key-2"])).await.unwrap();
    fleet
        .layout
        .put(&table(3, &["key-2", "key-3"]))
        .await
        .unwrap();
    for index in 0..2 {
        fleet.wait_table(index, 3).await.unwrap();
        assert_eq!(fleet.call(index, &request(READ)).await.status, 401);
        assert_eq!(fleet.call(index, &request(PUBLIC)).await.status, 200);
    }
}

/// Guards against processes that serve keys without an end while no majority can tell them of
/// removals, and against refusals that outlast the cause.
#[tokio::test(flavor = "multi_thread")]
async fn test_keys_processes_without_majority_fail_closed() {
    let (mut fleet, _upstream) = start().await;
    for hub in 0..2 {
        fleet.hubs[hub].take().unwrap().kill().await.unwrap();
    }
    for index in 0..2 {
        wait_for(&fleet, index, READ, 503).await;
        let reply = fleet.call(index, &request(READ)).await;
        assert_eq!((reply.status, reply.body.as_str()), (503, "unconfirmed"));
        assert_eq!(fleet.call(index, &request(PUBLIC)).await.status, 200);
    }
    fleet.hubs[0] = Some(fleet.start_hub(0).await.unwrap());
    for index in 0..2 {
        wait_for(&fleet, index, READ, 200).await;
    }
}

/// Guards against a process that takes what it reads after a freeze for news.
#[tokio::test(flavor = "multi_thread")]
async fn test_keys_frozen_process_serves_no_removed_key() {
    let (fleet, _upstream) = start().await;
    let frozen = fleet.entries[0].as_ref().unwrap();
    for version in 2..5 {
        let key = format!("key-{version}");
        fleet.layout.put(&table(2 * version, &[KEY])).await.unwrap();
        wait_for(&fleet, 0, READ, 200).await;
        frozen.freeze().unwrap();
        fleet
            .layout
            .put(&table(2 * version + 1, &[&key]))
            .await
            .unwrap();
        // Longer than a confirmation lasts.
        sleep(CONFIRM * 2).await;
        frozen.resume().unwrap();
        for _ in 0..20 {
            let status = fleet.call(0, &request(READ)).await.status;
            assert!([401, 503].contains(&status), "{status}");
        }
    }
}
