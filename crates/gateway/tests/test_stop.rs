//! Guards against a graceful stop that cuts calls in flight or refuses callers too early.

mod fakes;

use std::time::Duration;

use gateway::core::Phase;
use gateway::settings::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use wire::directory::HostPhase;
use wire::directory::InstanceChange;
use wire::directory::Phase as InstancePhase;
use wire::link::within;
use wire::peer;

use crate::fakes::Rig;
use crate::fakes::client;
use crate::fakes::directory::instance;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::upstream::FakeUpstream;
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

/// Response time that the gateway learns of the services.
const SERVICE_TIME: Duration = Duration::from_secs(1);
/// Time from the start of a stop after which a response no longer arrives before its end.
const TOO_LATE: Duration = Duration::from_millis(2_900);
/// Number of instances that refuse connections of a gateway that is cut off.
const UNREACHED: u16 = 12;

/// Sets the duration of a stop to 3.7 s.
fn slow_stop(settings: &mut Settings) {
    settings.stop.linger = Duration::from_millis(3_500);
    settings.stop.finish = Duration::from_millis(200);
}

/// A gateway whose stop takes 3.7 s, and that has learned how long requests of class once take.
async fn rig_of_slow_service() -> Rig {
    let rig = rig(&[], slow_stop).await;
    learn_service_time(&rig, &rig.upstream).await;
    rig
}

/// Sends a request of class once that `upstream` answers after [`SERVICE_TIME`].
async fn learn_service_time(rig: &Rig, upstream: &FakeUpstream) {
    let before = upstream.received().len();
    let learned = tokio::spawn(rig.post("once", "/hold").send());
    wait_until(|| upstream.received().len() == before + 1).await;
    sleep(SERVICE_TIME).await;
    upstream.release.notify_one();
    let learned = learned.await.expect("no panic").expect("a response");
    assert_eq!(learned.status(), 200);
    assert_eq!(learned.text().await.expect("whole"), "held");
}

/// Stops the gateway, and checks that a request reaches `upstream` at once, and that a late one is
/// refused without being run.
async fn check_late_request(rig: Rig, upstream: &FakeUpstream) {
    let url = rig.url("/ok");
    let before = upstream.received().len();
    let call = || client().post(&url).header("rwr-service", "once").send();
    let stop = tokio::spawn(rig.gateway.stop());
    assert_eq!(call().await.expect("a response").status(), 200);
    sleep(TOO_LATE).await;
    let late = call().await.expect("a response");
    assert_eq!(late.status(), 503);
    assert_eq!(header(&late, "rwr-outcome"), "not-run");
    assert_eq!(header(&late, "rwr-reason"), "stopping");
    assert_eq!(upstream.received().len(), before + 1);
    stop.await.expect("no panic");
}

/// Guards against requests that are passed on late in a stop, run, and are cut off at its end.
#[tokio::test]
async fn test_stop_request_that_would_be_cut_off_is_refused_before_it_leaves() {
    let rig = rig_of_slow_service().await;
    let upstream = rig.upstream.clone();
    assert_eq!(upstream.received().len(), 1);
    check_late_request(rig, &upstream).await;
}

/// Guards against requests that a gateway without a path to the instances sends on to another one late
/// in its stop, and cuts off at its end: it learns the service's time from what it sends on.
#[tokio::test]
async fn test_stop_request_is_not_sent_on_too_late() {
    let other = rig(&[], |_| {}).await;
    let rig = rig(&[], slow_stop).await;
    let closed = testutils::Host::new();
    let listed: Vec<InstanceChange> = (1..=UNREACHED)
        .map(|port| {
            let id = format!("i-{port}");
            instance("once", &id, closed.at(port), InstancePhase::Ready)
        })
        .collect();
    fakes::cut_off(&rig, other.gateway.http(), &listed).await;
    learn_service_time(&rig, &other.upstream).await;
    check_late_request(rig, &other.upstream).await;
}

/// Guards against requests whose bodies come too late, and are passed on then.
#[tokio::test]
async fn test_stop_request_whose_body_comes_too_late_is_refused_before_it_leaves() {
    let rig = rig_of_slow_service().await;
    let (address, upstream) = (rig.gateway.http(), rig.upstream.clone());
    let stop = tokio::spawn(rig.gateway.stop());
    let mut stream = TcpStream::connect(address).await.expect("a port");
    let head = "POST /ok HTTP/1.1\r\nhost: x\r\nrwr-service: once\r\nconnection: close\r\n\
                rwr-deadline-ms: 20000\r\ncontent-length: 4\r\n\r\nb";
    stream.write_all(head.as_bytes()).await.expect("sent");
    sleep(TOO_LATE).await;
    // The gateway may have answered already.
    let _ = stream.write_all(b"ody").await;
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("an answer");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("rwr-outcome: not-run"), "{response}");
    assert_eq!(upstream.received().len(), 1);
    stop.await.expect("no panic");
}

/// Guards against requests that end without an answer because an instance is slower than it was.
#[tokio::test]
async fn test_stop_running_request_is_answered_at_the_end() {
    let rig = rig(&[], |s| {
        s.stop.linger = Duration::from_millis(300);
        s.stop.finish = Duration::from_millis(500);
    })
    .await;
    let running = tokio::spawn(rig.post("once", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    rig.gateway.stop().await;
    let answer = running.await.expect("no panic").expect("a response");
    assert_eq!(answer.status(), 502);
    assert_eq!(header(&answer, "rwr-outcome"), "unknown");
}
