//! Guards against a request that crashes one instance after another, and against a
//! quarantine that refuses innocent requests.

use std::time::Duration;

use futures::future::join_all;
use testutils::Caller;
use testutils::Fleet;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::process::field;
use testutils::services;
use testutils::system::wait;
use testutils::tables::HOST;
use testutils::tables::STATUS;

/// Instances of the service.
const INSTANCES: usize = 10;
/// Entry processes.
const ENTRIES: usize = 3;
/// Crashes until a request is quarantined, plus retries that may still reach instances.
const MAX_CRASHED: usize = 3 + 3;
/// Time from one caller's last request to the next caller's first; no request of the former is
/// still running.
const BETWEEN_CALLERS: Duration = Duration::from_millis(1_500);
/// Path of the request that crashes a stand-in.
const CRASH: &str = "/read/crash";

/// Requests after which an entry process has saved two retries.
const EARNING_REQUESTS: usize = 12;

/// Starts three hubs, entry processes with the route table, and stand-ins that crash on
/// [`CRASH`]. Each process has served requests, so that it can retry.
async fn start() -> (Fleet, Vec<Upstream>) {
    let crash = |settings: &mut standin::Settings| settings.crash = Some(CRASH.into());
    let (fleet, upstreams) = Fleet::start_with_status(ENTRIES, INSTANCES, crash)
        .await
        .unwrap();
    let earning = Request::get(STATUS, "/read/earning").at(HOST);
    for number in 0..ENTRIES * EARNING_REQUESTS {
        let reply = fleet.call(number % ENTRIES, &earning).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    (fleet, upstreams)
}

fn crashed(upstreams: &mut [Upstream]) -> usize {
    let exited = upstreams.iter_mut().map(|u| u.process.has_ended());
    exited.filter(|exited| *exited).count()
}

/// Sends the requests through all entry processes in turn. The first two reach instances;
/// once every process has the quarantine, all later ones are refused.
async fn check_refused_everywhere(requests: Vec<Request>) {
    let (fleet, mut upstreams) = start().await;
    for (number, request) in requests.iter().enumerate() {
        let reply = fleet.call(number % ENTRIES, request).await;
        if number < 2 {
            assert_eq!(reply.status, 502, "{reply:?}");
        } else {
            assert_eq!((reply.status, &*reply.body), (503, "quarantined"));
        }
        if number == 1 {
            for process in fleet.entries.iter().flatten() {
                process.wait_line(is_quarantine).await.unwrap();
            }
        }
    }
    let ended = crashed(&mut upstreams);
    assert!(
        ended <= MAX_CRASHED,
        "{ended} of {INSTANCES} instances crashed"
    );
    for number in 0..ENTRIES {
        let request = Request::get(STATUS, &format!("/read/{number}")).at(HOST);
        let reply = fleet.call(number, &request).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}

fn is_quarantine(line: &str) -> bool {
    field(line, "msg") == Some("quarantine")
}

#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_that_crashes_instances_is_refused_by_every_entry_process() {
    let request = Request::get(STATUS, CRASH).at(HOST);
    check_refused_everywhere(vec![request; 12]).await;
}

/// Each request comes from another caller and has another query.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_of_changing_callers_is_refused_by_every_entry_process() {
    let callers = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let requests = callers.into_iter().map(|caller| Request {
        caller,
        ..Request::get(STATUS, &format!("{CRASH}?try={caller}")).at(HOST)
    });
    check_refused_everywhere(requests.collect()).await;
}

/// Each caller sends the request until it is refused, long after the previous caller.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_of_callers_in_turn_is_refused_by_every_entry_process() {
    let (fleet, mut upstreams) = start().await;
    for caller in ["a", "b", "c", "d"] {
        for number in 0..ENTRIES {
            let request = Request {
                caller,
                ..Request::get(STATUS, CRASH).at(HOST)
            };
            let reply = fleet.call(number, &request).await;
            assert!(matches!(reply.status, 502 | 503), "{reply:?}");
            if reply.body == "quarantined" {
                break;
            }
        }
        tokio::time::sleep(BETWEEN_CALLERS).await;
    }
    let ended = crashed(&mut upstreams);
    assert!(
        ended <= MAX_CRASHED,
        "{ended} of {INSTANCES} instances crashed"
    );
}

/// Several requests crash two instances each, while another request runs beside them
/// every time; that one must not be quarantined.
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
        let request = Request::get(STATUS, "/read/same").at(HOST);
        wait("answer", async || fleet.call(index, &request).await.is_ok())
            .await
            .unwrap();
    }
}

/// The quarantine must survive the loss of every hub, and reach an entry process that
/// starts after that.
#[tokio::test(flavor = "multi_thread")]
async fn test_crash_refusal_outlives_every_hub_and_reaches_new_entry_processes() {
    let (mut fleet, mut upstreams) = start().await;
    let request = Request::get(STATUS, CRASH).at(HOST);
    for number in 0..4 {
        fleet.call(number % ENTRIES, &request).await;
    }
    wait("refusal at the first entry process", async || {
        fleet.call(0, &request).await.status == 503
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
        .wait_line(is_quarantine)
        .await
        .unwrap();
    let before = crashed(&mut upstreams);
    let reply = fleet.call(2, &request).await;
    assert_eq!((reply.status, &*reply.body), (503, "quarantined"));
    assert_eq!(crashed(&mut upstreams), before);
}

/// The same through gateways, whose requests name a service instead of a path.
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
        let request = Request::get(services::STATUS, CRASH);
        let reply = Caller::new()
            .call(system.gateway(number % 2), &request)
            .await;
        assert!(matches!(reply.status, 502 | 503), "{reply:?}");
    }
    let ended = crashed(&mut upstreams);
    assert!(
        ended <= MAX_CRASHED,
        "{ended} of {INSTANCES} instances crashed"
    );
}
