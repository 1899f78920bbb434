//! A gateway frozen with claims in hand and resumed past their hold.

use std::time::Duration;

use base::prelude::*;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;
use testutils::system::wait;

/// Grants that are sent when the gateway freezes.
const GRANTS: usize = 20;
/// Deadline of each send; claims are held a few seconds longer.
const DEADLINE: Duration = Duration::from_secs(1);

async fn send(system: &System, entry: usize, ask: &Request) -> Reply {
    Caller::new().call(system.gateway(entry), ask).await
}

/// Sends again through gateway 1 until the reply says more than that the key is in flight.
async fn settle(system: &System, ask: &Request) {
    wait("settled key", async || {
        let reply = send(system, 1, ask).await;
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
    let asks = (0..GRANTS).map(|i| {
        Request::post(services::GRANTS, &format!("/grants/{i}"), "block 7")
            .keyed(&testutils::new_key())
            .within(DEADLINE)
    });
    let asks: Vec<Request> = asks.collect();

    // The freeze hits claims, sends and runs at whatever point they are.
    let first = system.gateways[0].as_ref().unwrap();
    let gateway = system.gateway(0);
    let calls: Vec<_> = asks
        .iter()
        .cloned()
        .map(|ask| tokio::spawn(async move { Caller::new().call(gateway, &ask).await }))
        .collect();
    first
        .wait_line(|l| l.contains("msg=claim") && l.contains("found=granted"))
        .await
        .unwrap();
    first.freeze().unwrap();
    for ask in &asks {
        settle(&system, ask).await;
    }
    first.resume().unwrap();
    for call in calls {
        // Any word is allowed here but a second run.
        let _ = call.await.unwrap();
    }
    // After a resumed gateway has answered anew, nothing old is left in it.
    system.wait_in_force(0, system.version).await.unwrap();
    for ask in &asks {
        let key = ask.key.as_deref().unwrap();
        let mut runs = vec![];
        for upstream in &upstreams {
            runs.extend(upstream.runs_of(key).await);
        }
        assert!(runs.len() <= 1, "{runs:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_freeze_upstream_then_resend() {
    // A frozen upstream takes connections and answers nobody; its grant is resent elsewhere.
    let mut system = System::start(3, 2, &services::all()).await.unwrap();
    let mut settings = system.plan.standin(services::GRANTS, 0);
    settings.cancel = false;
    let upstream = system.start_upstream(&settings).await.unwrap();
    upstream.process.freeze().unwrap();
    let ask = Request::post(services::GRANTS, "/grants", "block 7");
    let ask = ask.keyed(&testutils::new_key()).within(DEADLINE);
    let first = send(&system, 0, &ask).await;
    assert!(!first.is_ok(), "{first:?}");
    upstream.process.resume().unwrap();
    settle(&system, &ask).await;
    let runs = upstream.runs_of(ask.key.as_deref().unwrap()).await;
    assert!(runs.len() <= 1, "{runs:?}\n{}", system.decisions());
}
