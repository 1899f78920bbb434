//! Guards against a graceful stop that cuts calls in flight or refuses callers too early.

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
use crate::fakes::wait_until;

#[tokio::test]
async fn test_stop_cuts_nothing() {
    let rig = rig(&[], |s| s.stop.linger = Duration::from_millis(400)).await;
    let address = rig.gateway.http();
    let core = rig.gateway.core().clone();
    let persistent_client = client();
    let url = rig.url("/ok");
    let before = persistent_client
        .get(&url)
        .header("rwr-service", "urgent")
        .send();
    assert_eq!(before.await.expect("a response").status(), 200);
    // Calls of every class stay in flight during the whole stop.
    let services = ["urgent", "once", "durable", "deferred"];
    let calls: Vec<_> = services
        .iter()
        .map(|service| tokio::spawn(rig.post(service, "/hold").send()))
        .collect();
    wait_until(|| rig.upstream.received().len() == 5).await;
    let upstream = rig.upstream.clone();
    let directory = rig.directory.clone();
    let stop = tokio::spawn(rig.gateway.stop());
    wait_until(|| directory.has_received(|h| h.phase() == HostPhase::Stopping)).await;
    assert_eq!(*core.phase.borrow(), Phase::Stopping);
    // Callers with an outdated routing answer come on a new and on an existing connection.
    for caller in [client(), persistent_client.clone()] {
        let late = caller.get(&url).header("rwr-service", "urgent").send();
        assert_eq!(late.await.expect("a response").status(), 200);
    }
    wait_until(|| *core.phase.borrow() == Phase::Closing).await;
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
        let response = call.await.expect("no panic").expect("a response");
        assert_eq!(response.status(), 200, "{service}");
        assert_eq!(header(&response, "connection"), "close", "{service}");
        assert_eq!(response.text().await.expect("whole"), "held", "{service}");
    }
    stop.await.expect("no panic");
}

#[tokio::test]
async fn test_stop_by_operator() {
    let rig = rig(&[], |_| {}).await;
    let link = peer::gateway(rig.gateway.rpc());
    let operator = link.client().await.expect("a connection");
    let reply = operator.drain(within(Duration::from_secs(5))).await;
    assert_eq!(reply.expect("a response").in_flight, 0);
    rig.gateway.stopped().await;
    wait_until(|| {
        rig.directory
            .has_received(|h| h.phase() == HostPhase::Stopping)
    })
    .await;
    let ready = client().get(rig.url("/rwr/ready")).send();
    assert_eq!(ready.await.expect("a response").status(), 503);
    let rpc = rig.gateway.rpc();
    rig.gateway.stop().await;
    // The ports are released for the next process.
    wait_until(|| std::net::TcpListener::bind(rpc).is_ok()).await;
}
