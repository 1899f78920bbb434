//! Guards against renamed or missing metrics, and against unknown ages reported as numbers.

mod fakes;

use std::time::Duration;

use tokio::net::UdpSocket;
use wire::gateway::Explain;

use crate::fakes::rig;

/// Waits until all of the expected metrics have been sent.
async fn wait_for_metrics(sink: &UdpSocket, mut missing: Vec<&str>) {
    let mut buffer = vec![0; 2048];
    let received = async {
        while !missing.is_empty() {
            let count = sink.recv(&mut buffer).await.expect("a datagram");
            let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
            missing.retain(|name| !text.contains(name));
        }
    };
    let received = tokio::time::timeout(Duration::from_secs(20), received).await;
    assert!(received.is_ok(), "missing: {missing:?}");
}

#[tokio::test]
async fn test_metrics_names() {
    let sink = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = sink.local_addr().expect("bound");
    let rig = rig(&[], |s| s.telemetry.sink = Some(address)).await;
    rig.post("urgent", "/ok").send().await.expect("a response");
    rig.post("other", "/ok").send().await.expect("a response");
    let expected = vec![
        "rwr.gateway.calls:1|c",
        "rwr.gateway.attempts:1|c",
        "rwr.gateway.refused:1|c|#host:host-1,reason:unknown-service",
        "rwr.gateway.version:1|g",
        "rwr.gateway.fenced:0|g",
        "rwr.gateway.in_flight:0|g",
        "rwr.gateway.confirmed_age:",
        "rwr.gateway.call_micros:",
        "rwr.gateway.probes:0|c",
        "rwr.gateway.claims:0|c",
    ];
    wait_for_metrics(&sink, expected).await;
}

#[tokio::test]
async fn test_log_unknown_age_is_no_number() {
    let rig = rig(&[], |_| {}).await;
    rig.post("urgent", "/ok").send().await.expect("a response");
    fakes::wait_until(|| rig.lines.has(&["msg=route"])).await;
    assert!(rig.lines.has(&["msg=route", "age_us=- "]));
}

#[tokio::test]
async fn test_explain_unknown_age_is_absent() {
    let rig = rig(&[], |_| {}).await;
    let link = wire::peer::gateway(rig.gateway.rpc());
    let client = link.client().await.expect("a connection");
    let request = Explain {
        service: "urgent".into(),
    };
    let context = wire::link::within(Duration::from_secs(5));
    let reply = client.explain(context, request).await.expect("a response");
    assert_eq!(reply.candidates.len(), 1);
    assert_eq!(reply.candidates[0].age_ms, None);
}

/// Guards against refusals, and responses that name another request, without a trace.
#[tokio::test]
async fn test_metrics_and_log_of_refusals_and_foreign_responses() {
    let sink = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = sink.local_addr().expect("bound");
    let rig = rig(&[], |s| s.telemetry.sink = Some(address)).await;
    for path in ["/foreign", "/shed"] {
        rig.post("once", path).send().await.expect("a response");
    }
    let expected = vec![
        "rwr.gateway.answers.foreign:1|c",
        "rwr.gateway.refusals:1|c|#host:host-1,owner:sent",
    ];
    wait_for_metrics(&sink, expected).await;
    let foreign = [
        "msg=\"foreign response\"",
        "named=other",
        "owner=other",
        "status=200",
    ];
    fakes::wait_until(|| rig.lines.has(&foreign)).await;
    fakes::wait_until(|| rig.lines.has(&["msg=refusal", "named="])).await;
    assert!(!rig.lines.has(&["msg=refusal", "named=- "]));
    let unnamed = rig.post("once", "/shed-unnamed").send().await;
    assert_eq!(unnamed.expect("a response").status(), 502);
    let foreign = ["msg=\"foreign response\"", "named=- ", "owner=unnamed"];
    fakes::wait_until(|| rig.lines.has(&foreign)).await;
}
