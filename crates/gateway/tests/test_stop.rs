//! The graceful stop with calls in flight, kept connections and callers that
//! kept an old routing answer.

mod fakes;

use std::time::Duration;

use gateway::core::Phase;
use tokio::net::TcpStream;
use wire::directory::HostPhase;
use wire::link::within;
use wire::peer;

use crate::fakes::client;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::until;

#[tokio::test]
async fn test_stop_cuts_nothing() {
    let rig = rig(&[], |s| s.stop.linger = Duration::from_millis(400)).await;
    let address = rig.gateway.http();
    let core = rig.gateway.core().clone();
    let kept = client();
    let url = rig.url("/ok");
    let before = kept.get(&url).header("rwr-service", "urgent").send();
    assert_eq!(before.await.expect("an answer").status(), 200);
    // Calls in flight, of every class, over the whole stop.
    let services = ["urgent", "once", "durable", "deferred"];
    let calls: Vec<_> = services
        .iter()
        .map(|service| tokio::spawn(rig.post(service, "/hold").send()))
        .collect();
    until(|| rig.upstream.seen().len() == 5).await;
    let upstream = rig.upstream.clone();
    let directory = rig.directory.clone();
    let stop = tokio::spawn(rig.gateway.stop());
    until(|| directory.has_heard(|h| h.phase() == HostPhase::Stopping)).await;
    assert_eq!(*core.phase.borrow(), Phase::Stopping);
    // A caller with an old answer comes anew, and one comes on a kept connection.
    for caller in [client(), kept.clone()] {
        let late = caller.get(&url).header("rwr-service", "urgent").send();
        assert_eq!(late.await.expect("an answer").status(), 200);
    }
    until(|| *core.phase.borrow() == Phase::Closing).await;
    let mut refused = TcpStream::connect(address).await;
    while refused.is_ok() {
        refused = TcpStream::connect(address).await;
    }
    assert!(!stop.is_finished(), "calls are in flight");
    for _ in &services {
        upstream.release.notify_one();
        tokio::task::yield_now().await;
    }
    upstream.release.notify_waiters();
    for (service, call) in services.iter().zip(calls) {
        let answer = call.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status(), 200, "{service}");
        assert_eq!(header(&answer, "connection"), "close", "{service}");
        assert_eq!(answer.text().await.expect("whole"), "held", "{service}");
    }
    stop.await.expect("no panic");
}

#[tokio::test]
async fn test_stop_by_operator() {
    let rig = rig(&[], |_| {}).await;
    let link = peer::gateway(rig.gateway.rpc());
    let operator = link.client().await.expect("a connection");
    let reply = operator.drain(within(Duration::from_secs(5))).await;
    assert_eq!(reply.expect("an answer").in_flight, 0);
    rig.gateway.stopped().await;
    until(|| {
        rig.directory
            .has_heard(|h| h.phase() == HostPhase::Stopping)
    })
    .await;
    let ready = client().get(rig.url("/rwr/ready")).send();
    assert_eq!(ready.await.expect("an answer").status(), 503);
    let rpc = rig.gateway.rpc();
    rig.gateway.stop().await;
    // Its ports are free for the next process.
    until(|| std::net::TcpListener::bind(rpc).is_ok()).await;
}
