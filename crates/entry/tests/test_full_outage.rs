//! Entry processes after all hubs and entry processes were lost, with the disks of some hubs.

use std::fs;
use std::time::Duration;

use base::prelude::*;
use table::Route;
use table::Table;
use table::Target;
use testutils::Fleet;
use testutils::Request;
use testutils::process::field;
use testutils::system::wait;
use testutils::tables;

const HUBS: usize = 6;
/// The hubs whose disks are lost: as many as the others can be a majority without.
const WIPED: [usize; 2] = [0, 3];
/// The hub that comes back last.
const LATE: usize = 5;
/// A route of the newest table alone.
const NEW: &str = "/new/";

fn newest(version: u64) -> Table {
    let mut table = tables::plain(version);
    let routes = &mut table.hosts[0].routes;
    let route = Route {
        name: NEW.into(),
        prefix: NEW.into(),
        target: Target::Service(ServiceName::new(tables::STATUS).expect("a name")),
        ..routes[0].clone()
    };
    routes.push(route);
    table
}

/// The versions of the route tables that an entry process has put in force, in order.
fn versions(fleet: &Fleet, index: usize) -> Vec<u64> {
    let process = fleet.entries[index].as_ref().expect("a running process");
    let lines = process.lines();
    let tables = lines
        .iter()
        .filter(|line| field(line, "msg") == Some("route table"));
    tables
        .filter_map(|line| field(line, "version")?.parse().ok())
        .collect()
}

/// Guards against an entry process that obeys an older table than was acknowledged because the hub
/// that it hears first has read it from its disk: the hubs that answer are a majority of the hosts,
/// but one vote is missing for a leader, for however long.
#[tokio::test]
async fn test_full_outage_older_table_is_not_obeyed_before_a_leader_decides() {
    let mut fleet = Fleet::start(HUBS, 2).await.expect("starts");
    for version in 1..=3 {
        fleet
            .layout
            .put(&tables::plain(version))
            .await
            .expect("accepted");
    }
    fleet.layout.put(&newest(4)).await.expect("accepted");
    for index in 0..HUBS {
        fleet.hubs[index]
            .take()
            .expect("runs")
            .kill()
            .await
            .expect("killed");
    }
    for index in 0..2 {
        fleet.entries[index]
            .take()
            .expect("runs")
            .kill()
            .await
            .expect("killed");
    }
    for index in WIPED {
        fs::remove_dir_all(&fleet.layout.hubs[index].data).expect("a folder");
        fleet.layout.hubs[index].found = false;
    }
    for index in (0..HUBS).filter(|index| *index != LATE) {
        let hub = fleet.start_hub(index).await.expect("starts");
        fleet.hubs[index] = Some(hub);
    }
    for index in 0..2 {
        let entry = fleet.start_entry(index).await.expect("starts");
        fleet.entries[index] = Some(entry);
    }
    let request = Request::get(tables::STATUS, "/new/x").at(tables::HOST);
    let request = request.within(Duration::from_millis(400));
    for index in 0..2 {
        // Each entry process has heard all hubs that are back.
        let is_heard = |line: &str| field(line, "msg") == Some("hub");
        wait("answers of all hubs", async || {
            let lines = fleet.entries[index].as_ref().expect("runs").lines();
            lines.iter().filter(|line| is_heard(line)).count() >= HUBS - 1
        })
        .await
        .expect("heard");
        let reply = fleet.call(index, &request).await;
        assert_eq!(reply.status, 503, "no table may be obeyed yet: {reply:?}");
    }
    let late = fleet.start_hub(LATE).await.expect("starts");
    fleet.hubs[LATE] = Some(late);
    for index in 0..2 {
        fleet.wait_table(index, 4).await.expect("the newest table");
        assert_eq!(versions(&fleet, index), [4], "entry process {index}");
    }
}
