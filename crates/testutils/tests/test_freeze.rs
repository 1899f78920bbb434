//! Guards against requests that run twice when a gateway or an upstream freezes and resumes.

use std::time::Duration;

use base::prelude::*;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;
use testutils::system::wait;

/// Grants in flight when the gateway freezes.
const GRANTS: usize = 20;
/// Deadline of each request; claims are held a few seconds longer.
const DEADLINE: Duration = Duration::from_secs(1);

async fn send(system: &System, entry: usize, request: &Request) -> Reply {
    Caller::new().call(system.gateway(entry), request).await
}

/// Resends through gateway 1 until the reply is final, that is, the key is not in flight.
async fn resend_until_settled(system: &System, request: &Request) {
    wait("settled key", async || {
        let reply = send(system, 1, request).await;
        reply.is_ok() || (reply.outcome == Some(Outcome::Unknown) && reply.reason != "in-flight")
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_freeze_past_hold_runs_nothing_twice() {
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let mut upstreams: Vec<Upstream> = vec![];
    for number in 0..2 {
        let mut settings = system.plan.standin(services::GRANTS, number);
        settings.cancel = false;
        let upstream = system.start_upstream(&settings).await.unwrap();
        upstreams.push(upstream);
    }
    let requests = (0..GRANTS).map(|i| {
        Request::post(services::GRANTS, &format!("/grants/{i}"), "block 7")
            .keyed(&testutils::new_key())
            .within(DEADLINE)
    });
    let requests: Vec<Request> = requests.collect();

    // The freeze interrupts the requests at different stages: claim, send and run.
    let first = system.gateways[0].as_ref().unwrap();
    let gateway = system.gateway(0);
    let calls: Vec<_> = requests
        .iter()
        .cloned()
        .map(|request| tokio::spawn(async move { Caller::new().call(gateway, &request).await }))
        .collect();
    first
        .wait_line(|l| l.contains("msg=claim") && l.contains("found=granted"))
        .await
        .unwrap();
    first.freeze().unwrap();
    for request in &requests {
        resend_until_settled(&system, request).await;
    }
    first.resume().unwrap();
    for call in calls {
        // Any reply is allowed; only a second run is a failure.
        let _ = call.await.unwrap();
    }
    // Once the resumed gateway is serving again, it has finished all earlier work.
    system.wait_in_force(0, system.version).await.unwrap();
    for request in &requests {
        let key = request.key.as_deref().unwrap();
        let mut runs = vec![];
        for upstream in &upstreams {
            runs.extend(upstream.runs_of(key).await);
        }
        assert!(runs.len() <= 1, "{runs:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_freeze_upstream_then_resend() {
    // A frozen upstream accepts connections but does not answer; the grant is resent
    // through another gateway.
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let mut settings = system.plan.standin(services::GRANTS, 0);
    settings.cancel = false;
    let upstream = system.start_upstream(&settings).await.unwrap();
    upstream.process.freeze().unwrap();
    let request = Request::post(services::GRANTS, "/grants", "block 7");
    let request = request.keyed(&testutils::new_key()).within(DEADLINE);
    let first = send(&system, 0, &request).await;
    assert!(!first.is_ok(), "{first:?}");
    upstream.process.resume().unwrap();
    resend_until_settled(&system, &request).await;
    let runs = upstream.runs_of(request.key.as_deref().unwrap()).await;
    assert!(runs.len() <= 1, "{runs:?}\n{}", system.decisions());
}
