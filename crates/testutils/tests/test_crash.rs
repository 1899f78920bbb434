//! Requests that crash the upstreams that run them.

use futures::future::join_all;
use testutils::Caller;
use testutils::Fleet;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::process::field;
use testutils::services;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::HOST;
use testutils::tables::STATUS;

/// Instances of the service.
const INSTANCES: usize = 10;
/// Entry processes.
const ENTRIES: usize = 3;
/// Instances that a request may crash before it is known for it, and retries that may reach
/// instances after that.
const ALLOWED: usize = 3 + 3;
/// What the stand-ins crash on.
const CRASH: &str = "/read/crash";

/// Three hubs, entry processes with the table, and stand-ins that can be crashed.
async fn start() -> (Fleet, Vec<Upstream>) {
    let mut fleet = Fleet::start(3, ENTRIES).await.unwrap();
    fleet.layout.put(&tables::plain(1)).await.unwrap();
    for index in 0..ENTRIES {
        fleet.wait_table(index, 1).await.unwrap();
    }
    let mut upstreams = vec![];
    for number in 0..INSTANCES {
        let mut settings = fleet.layout.upstream(STATUS, number);
        settings.crash = Some(CRASH.into());
        upstreams.push(fleet.start_upstream(&settings).await.unwrap());
    }
    (fleet, upstreams)
}

fn crashed(upstreams: &mut [Upstream]) -> usize {
    let ended = upstreams.iter_mut().map(|u| u.process.has_ended());
    ended.filter(|ended| *ended).count()
}

/// Sends one request after the other, by way of all entry processes. The first two reach
/// instances; once every process knows, none of the others does.
async fn refused_everywhere(asks: Vec<Request>) {
    let (fleet, mut upstreams) = start().await;
    for (number, ask) in asks.iter().enumerate() {
        let reply = fleet.call(number % ENTRIES, ask).await;
        if number < 2 {
            assert_eq!(reply.status, 502, "{reply:?}");
        } else {
            assert_eq!((reply.status, &*reply.body), (503, "quarantined"));
        }
        if number == 1 {
            for process in fleet.entries.iter().flatten() {
                process.wait_line(is_refusal).await.unwrap();
            }
        }
    }
    let ended = crashed(&mut upstreams);
    assert!(ended <= ALLOWED, "{ended} of {INSTANCES} instances crashed");
    for number in 0..ENTRIES {
        let ask = Request::get(STATUS, &format!("/read/{number}")).at(HOST);
        let reply = fleet.call(number, &ask).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}

fn is_refusal(line: &str) -> bool {
    field(line, "msg") == Some("quarantine")
}

#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_that_crashes_instances_is_refused_by_every_entry_process() {
    let ask = Request::get(STATUS, CRASH).at(HOST);
    refused_everywhere(vec![ask; 12]).await;
}

/// Each time another caller sends it, with another query.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_of_changing_callers_is_refused_by_every_entry_process() {
    let callers = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let asks = callers.into_iter().map(|caller| Request {
        caller,
        ..Request::get(STATUS, &format!("{CRASH}?try={caller}")).at(HOST)
    });
    refused_everywhere(asks.collect()).await;
}

/// Under each of several requests two instances crash, and one more request is under
/// all of them again and again.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_beside_those_that_crash_instances_is_served() {
    let (fleet, mut upstreams) = start().await;
    for number in 0..INSTANCES / 2 - 1 {
        let bad = Request::get(STATUS, &format!("{CRASH}/{number}")).at(HOST);
        let good = Request::get(STATUS, "/read/same").at(HOST);
        let beside = (0..ENTRIES).map(|index| fleet.call(index, &good));
        let (bad, beside) = tokio::join!(fleet.call(number % ENTRIES, &bad), join_all(beside));
        assert_eq!(bad.status, 502, "{bad:?}");
        for reply in beside {
            assert_ne!(reply.body, "quarantined");
        }
    }
    assert!(crashed(&mut upstreams) <= INSTANCES - 2);
    for index in 0..ENTRIES {
        let ask = Request::get(STATUS, "/read/same").at(HOST);
        wait("answer", async || fleet.call(index, &ask).await.is_ok())
            .await
            .unwrap();
    }
}

/// Every hub is killed at once, and the entry process that is asked then started after that.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_refusal_outlives_every_hub_and_reaches_new_entry_processes() {
    let (mut fleet, mut upstreams) = start().await;
    let ask = Request::get(STATUS, CRASH).at(HOST);
    for number in 0..4 {
        fleet.call(number % ENTRIES, &ask).await;
    }
    wait("refused at the first", async || {
        fleet.call(0, &ask).await.status == 503
    })
    .await
    .unwrap();
    for hub in &mut fleet.hubs {
        hub.take().unwrap().kill().await.unwrap();
    }
    for index in 0..3 {
        fleet.hubs[index] = Some(fleet.start_hub(index).await.unwrap());
    }
    fleet.entries[2].take().unwrap().kill().await.unwrap();
    fleet.entries[2] = Some(fleet.start_entry(2).await.unwrap());
    fleet.entries[2]
        .as_ref()
        .unwrap()
        .wait_line(is_refusal)
        .await
        .unwrap();
    let before = crashed(&mut upstreams);
    let reply = fleet.call(2, &ask).await;
    assert_eq!((reply.status, &*reply.body), (503, "quarantined"));
    assert_eq!(crashed(&mut upstreams), before);
}

/// The same by way of gateways, whose requests name a service in place of a path.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_that_crashes_instances_is_refused_by_every_gateway() {
    let mut system = System::start(1, 2, &services::all()).await.unwrap();
    let mut upstreams = vec![];
    for number in 0..INSTANCES {
        let mut settings = system.plan.standin(services::STATUS, number);
        settings.crash = Some(CRASH.into());
        upstreams.push(system.start_upstream(&settings).await.unwrap());
    }
    for number in 0..12 {
        let ask = Request::get(services::STATUS, CRASH);
        let reply = Caller::new().call(system.gateway(number % 2), &ask).await;
        assert!(matches!(reply.status, 502 | 503), "{reply:?}");
    }
    let ended = crashed(&mut upstreams);
    assert!(ended <= ALLOWED, "{ended} of {INSTANCES} instances crashed");
}
