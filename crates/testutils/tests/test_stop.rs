//! Guards against graceful stops that abort calls in flight, or refuse callers that use
//! a cached route.

use standin::Fault;
use standin::FaultKind;
use testutils::Caller;
use testutils::Process;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::process::field;
use testutils::services;
use testutils::system::wait;

/// Calls in flight when a process is asked to stop.
const CALLS: usize = 5;

/// Which process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopped {
    Gateway,
    Directory,
    Control,
}

fn take(system: &mut System, stopped: Stopped) -> Process {
    let slot = match stopped {
        Stopped::Gateway => &mut system.gateways[0],
        Stopped::Directory => &mut system.directories[0],
        Stopped::Control => &mut system.control[0],
    };
    slot.take().unwrap()
}

async fn set_fault(upstream: &Upstream, kind: FaultKind) {
    upstream.set_fault(Fault::new(kind)).await.unwrap();
}

async fn run(stopped: Stopped) {
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let upstream = system.upstream(services::STATUS, 0).await.unwrap();
    set_fault(&upstream, FaultKind::Hold).await;
    let gateway = system.gateway(0);
    let calls = (0..CALLS).map(|i| {
        let request = Request::get(services::STATUS, &format!("/block/{i}"));
        tokio::spawn(async move { Caller::new().call(gateway, &request).await })
    });
    let calls: Vec<_> = calls.collect();
    upstream
        .wait("calls in flight", |r| r.runs.len() >= CALLS)
        .await
        .unwrap();

    let mut process = take(&mut system, stopped);
    process.terminate().unwrap();
    if stopped == Stopped::Gateway {
        // The stop is announced, but callers with a cached route are served until it expires.
        process
            .wait_line(|l| field(l, "msg") == Some("stopping"))
            .await
            .unwrap();
        set_fault(&upstream, FaultKind::None).await;
        let reply = Caller::new()
            .call(gateway, &Request::get(services::STATUS, "/late"))
            .await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    set_fault(&upstream, FaultKind::None).await;
    for call in calls {
        let reply = call.await.unwrap();
        assert!(reply.is_ok(), "{stopped:?} {reply:?}");
    }
    let status = process.wait().await.unwrap();
    assert!(
        status.success(),
        "{stopped:?} {status} {:?}",
        process.lines()
    );

    // The other processes keep serving, and no route leads to the stopped gateway.
    let reply = Caller::new()
        .call(system.gateway(1), &Request::get(services::STATUS, "/after"))
        .await;
    assert!(reply.is_ok(), "{stopped:?} {reply:?}");
    if stopped == Stopped::Gateway {
        let directory = system.directory(1);
        wait("route without the stopped gateway", async || {
            let route = Caller::new().route(directory, services::STATUS).await;
            route.is_some_and(|r| r.addresses.iter().all(|a| a.address != gateway))
        })
        .await
        .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stop_gateway_with_calls_in_flight() {
    run(Stopped::Gateway).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stop_directory_with_calls_in_flight() {
    run(Stopped::Directory).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stop_control_with_calls_in_flight() {
    run(Stopped::Control).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_stop_upstream_loses_no_call() {
    let mut system = System::start(1, 1, &services::all()).await.unwrap();
    let mut draining = system.upstream(services::STATUS, 0).await.unwrap();
    let remaining = system.upstream(services::STATUS, 1).await.unwrap();
    draining.process.terminate().unwrap();
    let caller = Caller::new();
    let mut number = 0;
    // Calls continue throughout the drain until the process has stopped.
    loop {
        let request = Request::get(services::STATUS, &format!("/block/{number}"));
        let reply = caller.call(system.gateway(0), &request).await;
        assert!(reply.is_ok(), "{number} {reply:?}");
        number += 1;
        let lines = draining.process.lines();
        if lines.iter().any(|l| field(l, "msg") == Some("stopped")) {
            break;
        }
    }
    assert!(draining.process.wait().await.unwrap().success());
    assert!(!remaining.record().await.runs.is_empty());
}
