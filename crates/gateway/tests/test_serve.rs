//! Guards against violations of the callers' contract for each behaviour of an upstream.

mod fakes;

use crate::fakes::client;
use crate::fakes::header;
use crate::fakes::http2_client;
use crate::fakes::rig;
use crate::fakes::wait_until;

/// Expected response for one behaviour of the upstream.
struct Case {
    service: &'static str,
    path: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    body: Option<&'static str>,
}

const fn relayed(
    service: &'static str,
    path: &'static str,
    status: u16,
    body: &'static str,
) -> Case {
    Case {
        service,
        path,
        status,
        outcome: "",
        reason: "",
        body: Some(body),
    }
}

const fn refused(
    service: &'static str,
    path: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
) -> Case {
    Case {
        service,
        path,
        status,
        outcome,
        reason,
        body: None,
    }
}

const CASES: [Case; 15] = [
    relayed("urgent", "/ok", 200, "ok"),
    relayed("once", "/ok", 200, "ok"),
    relayed("durable", "/ok", 200, "ok"),
    relayed("deferred", "/chunked", 200, "onetwo"),
    relayed("urgent", "/missing", 404, ""),
    relayed("once", "/error", 500, "bad"),
    relayed("urgent", "/error", 500, "bad"),
    refused("once", "/close", 502, "unknown", "no-answer"),
    refused("once", "/garbage", 502, "unknown", "no-answer"),
    refused("once", "/foreign", 502, "unknown", "mismatch"),
    refused("once", "/unframed", 502, "unknown", "no-answer"),
    refused("once", "/shed", 503, "not-run", "shed"),
    refused("urgent", "/shed", 503, "not-run", "shed"),
    refused("urgent", "/foreign", 502, "unknown", "mismatch"),
    refused("once", "/stall", 504, "unknown", "deadline"),
];

#[tokio::test]
async fn test_serve_answers() {
    let rig = rig(&[], |_| {}).await;
    let client = client();
    for case in CASES {
        let url = format!("http://{}{}", rig.gateway.http(), case.path);
        let request = client
            .get(url)
            .header("rwr-service", case.service)
            .header("rwr-deadline-ms", "300");
        let response = request.send().await.expect("a response");
        let name = format!("{} {}", case.service, case.path);
        assert_eq!(response.status(), case.status, "{name}");
        assert_eq!(header(&response, "rwr-outcome"), case.outcome, "{name}");
        assert_eq!(header(&response, "rwr-reason"), case.reason, "{name}");
        let body = response.text().await.expect("a body");
        if let Some(expected) = case.body {
            assert_eq!(body, expected, "{name}");
        }
    }
}

#[tokio::test]
async fn test_serve_short_body_is_visible() {
    let rig = rig(&[], |_| {}).await;
    for path in ["/short", "/short-chunk"] {
        let url = format!("http://{}{path}", rig.gateway.http());
        let response = client().get(url).header("rwr-service", "once").send().await;
        let body = response.expect("a head").bytes().await;
        assert!(body.is_err(), "{path}: {body:?}");
    }
}

#[tokio::test]
async fn test_serve_over_http_2() {
    let rig = rig(&[], |_| {}).await;
    let caller = http2_client();
    let send = |path: &str| {
        let request = caller.post(rig.url(path)).header("rwr-service", "urgent");
        request.body("grant").send()
    };
    let whole = send("/echo").await.expect("a response");
    assert_eq!(whole.version(), http::Version::HTTP_2);
    assert_eq!(whole.text().await.expect("whole"), "grant");
    let short = send("/short").await.expect("a head");
    assert!(short.bytes().await.is_err());
    // Cancelling a stream doesn't affect other streams of the connection.
    let held = tokio::spawn(send("/hold"));
    let leaving = tokio::spawn(send("/stall"));
    wait_until(|| rig.upstream.received().len() == 4).await;
    leaving.abort();
    wait_until(|| rig.upstream.aborted_connections() == 1).await;
    rig.upstream.release.notify_one();
    let held = held.await.expect("no panic").expect("a response");
    assert_eq!(held.text().await.expect("whole"), "held");
}

#[tokio::test]
async fn test_serve_request_reaches_upstream() {
    let rig = rig(&[], |_| {}).await;
    let url = format!("http://{}/echo/a%20b?x=1&y=%2F", rig.gateway.http());
    let response = client()
        .post(url)
        .header("rwr-service", "urgent")
        .header("rwr-deadline-ms", "2000")
        .header("rwr-request-id", "forged")
        .header("connection", "x-hop")
        .header("x-hop", "1")
        .header("te", "trailers")
        .header("x-kept", "yes")
        .body("grant")
        .send()
        .await
        .expect("a response");
    let caller_id = header(&response, "rwr-request-id");
    assert_eq!(response.text().await.expect("a body"), "grant");
    let received = rig.upstream.received().remove(0);
    assert!(
        received
            .head
            .starts_with("POST /echo/a%20b?x=1&y=%2F HTTP/1.1"),
        "{}",
        received.head
    );
    assert_eq!(received.header("x-kept"), Some("yes"));
    assert_eq!(received.header("rwr-service"), Some("urgent"));
    assert_eq!(received.header("rwr-attempt"), Some("1"));
    assert_eq!(received.header("rwr-depth"), Some("1"));
    for removed in ["x-hop", "te", "connection"] {
        assert_eq!(received.header(removed), None, "{removed}");
    }
    let id = received.header("rwr-request-id").expect("an id");
    assert_ne!(id, "forged");
    assert_eq!(id, caller_id, "the caller gets the same id");
    let remaining: u64 = received
        .header("rwr-deadline-ms")
        .and_then(|v| v.parse().ok())
        .expect("a number");
    assert!(remaining > 0 && remaining < 2000, "{remaining}");
}

#[tokio::test]
async fn test_serve_hop_headers_of_answer() {
    let rig = rig(&[], |_| {}).await;
    let url = format!("http://{}/hop", rig.gateway.http());
    let response = client().get(url).header("rwr-service", "urgent").send();
    let response = response.await.expect("a response");
    assert_eq!(header(&response, "x-kept"), "1");
    for removed in ["x-secret", "keep-alive", "rwr-outcome"] {
        assert_eq!(header(&response, removed), "", "{removed}");
    }
}

#[tokio::test]
async fn test_serve_body_streams() {
    let rig = rig(&[], |_| {}).await;
    let url = format!("http://{}/echo", rig.gateway.http());
    // Larger than the buffering limit, so the body is streamed.
    let body = vec![b'a'; 300_000];
    let response = client()
        .post(url)
        .header("rwr-service", "deferred")
        .body(body.clone())
        .send()
        .await
        .expect("a response");
    assert_eq!(response.bytes().await.expect("whole"), body);
}

#[tokio::test]
async fn test_serve_late_response_discarded() {
    let rig = rig(&[], |_| {}).await;
    let client = client();
    let url = |path: &str| format!("http://{}{path}", rig.gateway.http());
    let first = client
        .get(url("/late"))
        .header("rwr-service", "once")
        .header("rwr-deadline-ms", "100")
        .send()
        .await
        .expect("a response");
    assert_eq!(first.status(), 504);
    for _ in 0..4 {
        let next = client
            .get(url("/named"))
            .header("rwr-service", "once")
            .send();
        let next = next.await.expect("a response");
        assert_eq!(next.text().await.expect("a body"), "ok");
    }
    // The connection with the late response was discarded, so there is a second one.
    assert_eq!(rig.upstream.connections(), 2);
}

#[tokio::test]
async fn test_serve_caller_leaving() {
    for (service, cuts) in [("urgent", 1), ("deferred", 1)] {
        let rig = rig(&[], |_| {}).await;
        let url = format!("http://{}/stall", rig.gateway.http());
        let call = client().get(url).header("rwr-service", service).send();
        let call = tokio::spawn(call);
        wait_until(|| rig.upstream.received().len() == 1).await;
        call.abort();
        wait_until(|| rig.upstream.aborted_connections() == cuts).await;
        wait_until(|| rig.gateway.core().in_flight.count() == 0).await;
    }
}

#[tokio::test]
async fn test_serve_caller_leaving_cuts_no_change() {
    for service in ["once", "durable"] {
        let rig = rig(&[], |_| {}).await;
        let url = format!("http://{}/hold", rig.gateway.http());
        let call = client().post(url).header("rwr-service", service).send();
        let call = tokio::spawn(call);
        wait_until(|| rig.upstream.received().len() == 1).await;
        call.abort();
        wait_until(|| rig.lines.has(&["msg=\"caller left\"", "ended=false"])).await;
        assert_eq!(rig.gateway.core().in_flight.count(), 1, "{service}");
        rig.upstream.release.notify_one();
        wait_until(|| rig.gateway.core().in_flight.count() == 0).await;
        // The response was read to its end, so the connection is reused.
        let url = format!("http://{}/named", rig.gateway.http());
        let next = client().get(url).header("rwr-service", service).send();
        assert_eq!(next.await.expect("a response").status(), 200);
        assert_eq!(rig.upstream.connections(), 1, "{service}");
    }
}

#[tokio::test]
async fn test_serve_refusals_are_logged() {
    let rig = rig(&[], |_| ()).await;
    let cases = [
        (Some("other"), "service=other", "reason=unknown-service"),
        (Some("no name"), "service=", "reason=bad-service"),
        (None, "service=", "reason=no-service"),
    ];
    for (service, named, reason) in cases {
        let mut request = client().get(rig.url("/ok"));
        if let Some(service) = service {
            request = request.header("rwr-service", service);
        }
        let response = request.send().await.expect("a response");
        let request = format!("request={}", header(&response, "rwr-request-id"));
        wait_until(|| rig.lines.has(&["msg=refuse", &request, named, reason])).await;
    }
}
