//! Tests of hubs and entry processes as processes: route tables, splits, draining
//! upstreams, reused addresses, reloads, and the loss of every hub.

use std::fs;

use base::prelude::*;
use standin::Fault;
use standin::FaultKind;
use testutils::Fleet;
use testutils::Operator;
use testutils::Reply;
use testutils::Request;
use testutils::Upstream;
use testutils::process::field;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::STATUS;

fn read(number: usize) -> Request {
    Request::get(STATUS, &format!("/read/{number}")).at(HOST)
}

fn once(number: usize) -> Request {
    Request::post(GRANTS, &format!("/once/{number}"), "block 7").at(HOST)
}

/// Starts three hubs and two entry processes with the route table in force.
async fn start() -> Fleet {
    let fleet = Fleet::start(3, 2).await.unwrap();
    fleet.layout.put(&tables::plain(1)).await.unwrap();
    for index in 0..2 {
        fleet.wait_table(index, 1).await.unwrap();
    }
    fleet
}

/// Waits until calls succeed, and returns the reply to one more call.
async fn call_when_served(fleet: &Fleet, index: usize, request: &Request) -> Reply {
    wait("served call", async || {
        fleet.call(index, request).await.is_ok()
    })
    .await
    .unwrap();
    fleet.call(index, request).await
}

async fn runs(upstream: &Upstream) -> usize {
    upstream.record().await.runs.len()
}

/// Guards against a first table that is acknowledged and never in force because its version is 0.
#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_first_table_of_version_zero_outlives_restarts() {
    let mut fleet = Fleet::start(3, 2).await.unwrap();
    fleet.layout.put(&tables::plain(0)).await.unwrap();
    let _upstream = fleet.upstream(STATUS, 0).await.unwrap();
    for index in 0..2 {
        let reply = call_when_served(&fleet, index, &read(index)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    fleet.hubs.clear();
    fleet.entries.clear();
    for index in 0..3 {
        let hub = fleet.start_hub(index).await.unwrap();
        fleet.hubs.push(Some(hub));
    }
    for index in 0..2 {
        let entry = fleet.start_entry(index).await.unwrap();
        fleet.entries.push(Some(entry));
        let reply = call_when_served(&fleet, index, &read(index)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    fleet.layout.put(&tables::without_reads(1)).await.unwrap();
    for index in 0..2 {
        fleet.wait_table(index, 1).await.unwrap();
        assert_eq!(fleet.call(index, &read(index)).await.status, 404);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_split_goes_by_weight() {
    let mut fleet = start().await;
    let a = fleet.upstream(STATUS, 0).await.unwrap();
    let b = fleet.upstream(GRANTS, 0).await.unwrap();
    fleet.layout.put(&tables::split(2, [3, 1])).await.unwrap();
    fleet.wait_table(0, 2).await.unwrap();
    for number in 0..40 {
        let reply = fleet.call(0, &read(number)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    assert_eq!((runs(&a).await, runs(&b).await), (30, 10));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_leaving_upstream_gets_nothing_more() {
    let mut fleet = start().await;
    let mut draining = fleet.upstream(STATUS, 0).await.unwrap();
    let _other = fleet.upstream(STATUS, 1).await.unwrap();
    draining.process.terminate().unwrap();
    for index in 0..2 {
        let process = fleet.entries[index].as_ref().unwrap();
        let is_draining = |line: &str| {
            field(line, "phase") == Some("PHASE_DRAINING")
                && field(line, "instance").is_some_and(|id| id.starts_with("status-0:"))
        };
        process.wait_line(is_draining).await.unwrap();
    }
    let before = runs(&draining).await;
    for number in 0..20 {
        let reply = fleet.call(number % 2, &read(number)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    assert_eq!(runs(&draining).await, before);
    assert!(draining.process.wait().await.unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_address_of_a_killed_upstream_is_taken_over() {
    let mut fleet = start().await;
    let settings = fleet.layout.upstream(STATUS, 0);
    let killed = fleet.start_upstream(&settings).await.unwrap();
    assert!(call_when_served(&fleet, 0, &read(0)).await.is_ok());
    killed.process.kill().await.unwrap();
    // An instance of another service takes over the address at once.
    let mut other = settings.clone();
    other.service = ServiceName::new(GRANTS).unwrap();
    other.instance = InstanceId::new("grants-9").unwrap();
    let other = fleet.start_upstream(&other).await.unwrap();
    for number in 0..10 {
        let reply = fleet.call(0, &read(number)).await;
        assert!(!reply.is_ok(), "{reply:?}");
    }
    assert_eq!(runs(&other).await, 0);
    assert!(call_when_served(&fleet, 0, &once(1)).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_once_runs_at_most_once_whatever_fails() {
    let mut fleet = start().await;
    let mut upstreams = vec![];
    for number in 0..2 {
        upstreams.push(fleet.upstream(GRANTS, number).await.unwrap());
    }
    let kinds = [
        FaultKind::Shed,
        FaultKind::Fail,
        FaultKind::Short,
        FaultKind::Crossed,
        FaultKind::Ill,
    ];
    let mut number = 0;
    for kind in kinds {
        upstreams[0].set_fault(Fault::new(kind)).await.unwrap();
        for _ in 0..6 {
            number += 1;
            let reply = fleet.call(number % 2, &once(number)).await;
            let path = format!("/once/{number}");
            let mut ran = 0;
            for upstream in &upstreams {
                let record = upstream.record().await;
                ran += record.runs.iter().filter(|run| run.path == path).count();
            }
            assert!(ran <= 1, "{kind}: {ran} runs of {path}");
            let refused = [408, 421, 429, 503].contains(&reply.status);
            assert!(!refused || ran == 0, "{kind}: {reply:?} and {ran} runs");
            assert!(!reply.is_ok() || ran == 1, "{kind}: {reply:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_serves_on_without_hubs_and_takes_the_newest_table_after() {
    let mut fleet = start().await;
    let _upstream = fleet.upstream(STATUS, 0).await.unwrap();
    assert!(call_when_served(&fleet, 0, &read(0)).await.is_ok());
    for index in 0..3 {
        fleet.hubs[index].take().unwrap().kill().await.unwrap();
    }
    for number in 0..10 {
        let reply = fleet.call(number % 2, &read(number)).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    // With a majority of hubs restarted, a new table is accepted and distributed.
    for index in 0..2 {
        fleet.hubs[index] = Some(fleet.start_hub(index).await.unwrap());
    }
    fleet.layout.put(&tables::without_reads(2)).await.unwrap();
    fleet.wait_table(0, 2).await.unwrap();
    let reply = fleet.call(0, &read(1)).await;
    assert_eq!(reply.status, 404, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_emptied_hub_joins_again_by_itself() {
    let mut fleet = start().await;
    let _upstream = fleet.upstream(STATUS, 0).await.unwrap();
    fleet.hubs[0].take().unwrap().kill().await.unwrap();
    fs::remove_dir_all(&fleet.layout.hubs[0].data).unwrap();
    fleet.layout.hubs[0].found = false;
    let emptied_hub = fleet.start_hub(0).await.unwrap();
    fleet.hubs[0] = Some(emptied_hub);
    let replicas = fleet.layout.hubs.iter().map(|plan| plan.control().rpc);
    let operator = Operator::new(&replicas.collect::<Vec<_>>());
    wait("emptied hub among the voters", async || {
        let status = operator.status(0).await;
        status.is_some_and(|s| s.replicas.iter().any(|r| r.id == s.id && r.voter))
    })
    .await
    .unwrap();
    // The rejoined hub counts as a voter: with another hub lost, there is still a majority.
    fleet.hubs[1].take().unwrap().kill().await.unwrap();
    fleet.layout.put(&tables::plain(2)).await.unwrap();
    fleet.wait_table(0, 2).await.unwrap();
    assert!(call_when_served(&fleet, 0, &read(0)).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_fleet_entry_reads_its_settings_again_on_hangup() {
    let mut fleet = start().await;
    let process = fleet.entries[0].take().unwrap();
    process.hang_up().unwrap();
    let is_reloaded = |line: &str| field(line, "msg") == Some("settings reloaded");
    let line = process.wait_line(is_reloaded).await.unwrap();
    assert_eq!(field(&line, "restart_needed"), Some("false"), "{line}");
    // An invalid settings file is rejected and changes nothing.
    process.write_settings("[entry]\nspread = many\n").unwrap();
    let is_rejected = |line: &str| field(line, "msg") == Some("settings not reloaded");
    process.wait_line(is_rejected).await.unwrap();
    fleet.entries[0] = Some(process);
    let _upstream = fleet.upstream(STATUS, 0).await.unwrap();
    assert!(call_when_served(&fleet, 0, &read(0)).await.is_ok());
}
