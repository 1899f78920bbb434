//! Guards against bad input at the callers' and operators' ports that isn't rejected
//! or that affects other calls.

mod fakes;

use std::time::Duration;

use conf::value::Bytes;
use gateway::refusal::Reason;
use strum::IntoEnumIterator;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::gateway::Explain;
use wire::link::within;
use wire::peer;

use crate::fakes::Rig;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::send_raw;
use crate::fakes::wait_until;

/// A request head, with the status and reason of the response.
struct Case {
    name: &'static str,
    head: &'static str,
    status: &'static str,
    reason: &'static str,
}

const fn case(
    name: &'static str,
    head: &'static str,
    status: &'static str,
    reason: &'static str,
) -> Case {
    Case {
        name,
        head,
        status,
        reason,
    }
}

const CASES: [Case; 24] = [
    case("no service", "GET / HTTP/1.1\r\n", "400", "no-service"),
    case(
        "service no name",
        "GET / HTTP/1.1\r\nrwr-service: a b\r\n",
        "400",
        "bad-service",
    ),
    case(
        "service empty",
        "GET / HTTP/1.1\r\nrwr-service:\r\n",
        "400",
        "bad-service",
    ),
    case(
        "service not text",
        "GET / HTTP/1.1\r\nrwr-service: \u{e9}\r\n",
        "400",
        "bad-service",
    ),
    case(
        "service twice",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-service: once\r\n",
        "400",
        "bad-service",
    ),
    case(
        "service unknown",
        "GET / HTTP/1.1\r\nrwr-service: other\r\n",
        "404",
        "unknown-service",
    ),
    case(
        "deadline zero",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: 0\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline word",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: soon\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline sign",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: +5\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline negative",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: -5\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline too long",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: 600001\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline overflow",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: 99999999999999999999\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "deadline twice",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-deadline-ms: 5\r\nrwr-deadline-ms: 6\r\n",
        "400",
        "bad-deadline",
    ),
    case(
        "depth absurd",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-depth: 33\r\n",
        "400",
        "bad-depth",
    ),
    case(
        "caller no name",
        "GET / HTTP/1.1\r\nrwr-service: urgent\r\nrwr-caller: a/b\r\n",
        "400",
        "bad-caller",
    ),
    case(
        "key no name",
        "POST / HTTP/1.1\r\nrwr-service: once\r\nrwr-caller: a\r\nidempotency-key: a b\r\n",
        "400",
        "bad-key",
    ),
    case(
        "key twice",
        "POST / HTTP/1.1\r\nrwr-service: once\r\nrwr-caller: a\r\nidempotency-key: a\r\nidempotency-key: b\r\n",
        "400",
        "bad-key",
    ),
    case(
        "key without caller",
        "POST / HTTP/1.1\r\nrwr-service: once\r\nidempotency-key: a\r\n",
        "400",
        "no-caller",
    ),
    case(
        "trace",
        "TRACE / HTTP/1.1\r\nrwr-service: urgent\r\n",
        "405",
        "bad-method",
    ),
    case(
        "connect",
        "CONNECT host:80 HTTP/1.1\r\nrwr-service: urgent\r\n",
        "405",
        "bad-method",
    ),
    case(
        "body too large",
        "POST / HTTP/1.1\r\nrwr-service: urgent\r\ncontent-length: 1048577\r\n",
        "413",
        "body-too-large",
    ),
    case(
        "two lengths",
        "POST / HTTP/1.1\r\nrwr-service: urgent\r\ncontent-length: 5\r\ncontent-length: 6\r\n",
        "400",
        "",
    ),
    case(
        "length no number",
        "POST / HTTP/1.1\r\nrwr-service: urgent\r\ncontent-length: x\r\n",
        "400",
        "",
    ),
    case("no HTTP", "what is this\r\n", "400", ""),
];

#[tokio::test]
async fn test_input_heads() {
    let rig = rig(&[], |_| {}).await;
    for case in CASES {
        let text = format!("{}host: x\r\nconnection: close\r\n\r\n", case.head);
        let response = send_raw(rig.gateway.http(), text.as_bytes()).await;
        let status = format!("HTTP/1.1 {}", case.status);
        assert!(response.starts_with(&status), "{}: {response}", case.name);
        if !case.reason.is_empty() {
            let reason = format!("rwr-reason: {}\r\n", case.reason);
            assert!(response.contains(&reason), "{}: {response}", case.name);
            assert!(
                response.contains("rwr-outcome: not-run\r\n"),
                "{}",
                case.name
            );
        }
    }
    assert!(rig.upstream.received().is_empty());
    still_serves(&rig).await;
}

#[test]
fn test_input_reasons_are_documented() {
    let page = include_str!("../../../docs/callers.md");
    for reason in Reason::iter() {
        assert!(page.contains(&format!("`{reason}`")), "{reason}");
    }
}

async fn still_serves(rig: &Rig) {
    let response = rig.post("urgent", "/ok").send().await.expect("a response");
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn test_input_head_too_large() {
    let rig = rig(&[], |s| s.bounds.head = Bytes(8 * 1024)).await;
    let long = format!("x-long: {}\r\n", "a".repeat(20_000));
    let many = "x-many: 1\r\n".repeat(200);
    for extra in [long, many] {
        let text = format!("GET / HTTP/1.1\r\nhost: x\r\nrwr-service: urgent\r\n{extra}\r\n");
        let response = send_raw(rig.gateway.http(), text.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    }
    still_serves(&rig).await;
}

#[tokio::test]
async fn test_input_chunks_too_large() {
    let rig = rig(&[], |_| {}).await;
    // Buffered and streamed.
    for (service, outcome) in [("durable", "not-run"), ("deferred", "unknown")] {
        let pieces = (0..40).map(|_| Ok::<_, std::io::Error>(vec![b'a'; 64 * 1024]));
        let body = reqwest::Body::wrap_stream(futures::stream::iter(pieces));
        let response = rig.post(service, "/echo").body(body).send().await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 413, "{service}");
        assert_eq!(header(&response, "rwr-outcome"), outcome, "{service}");
    }
    still_serves(&rig).await;
}

#[tokio::test]
async fn test_input_slow_senders() {
    let rig = rig(&[], |s| s.bounds.head_time = Duration::from_millis(100)).await;
    // No head or an incomplete one: the connection is closed without a success response.
    for text in ["", "GET / HTTP/1.1\r\nhost: x\r\n"] {
        let response = send_raw(rig.gateway.http(), text.as_bytes()).await;
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    }
    let body = "POST / HTTP/1.1\r\nhost: x\r\nrwr-service: durable\r\nrwr-deadline-ms: 100\r\n\
                connection: close\r\ncontent-length: 10\r\n\r\nabc";
    let response = send_raw(rig.gateway.http(), body.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("rwr-outcome: not-run"), "{response}");
    assert!(rig.upstream.received().is_empty());
    still_serves(&rig).await;
}

#[tokio::test]
async fn test_input_body_broken_off() {
    let rig = rig(&[], |_| {}).await;
    let text = "POST / HTTP/1.1\r\nhost: x\r\nrwr-service: durable\r\n\
                content-length: 10\r\n\r\nabc";
    let mut stream = TcpStream::connect(rig.gateway.http())
        .await
        .expect("a port");
    stream.write_all(text.as_bytes()).await.expect("sent");
    drop(stream);
    still_serves(&rig).await;
    assert_eq!(rig.upstream.received().len(), 1, "only the whole request");
}

/// Guards against bodies that are kept without memory for them, and against memory that stays
/// charged after a request.
#[tokio::test]
async fn test_input_memory_is_bounded() {
    let rig = rig(&[], |s| s.bounds.memory = Bytes(200 * 1024)).await;
    let callers = rig.gateway.core().callers.clone();
    let mut others = callers.unconnected().charge();
    others.grow(100 * 1024).await.expect("room");
    let body = vec![b'a'; 80 * 1024];
    let refused = rig.post("durable", "/echo").body(body.clone()).send().await;
    let refused = refused.expect("a response");
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "rwr-reason"), "memory");
    drop((others, refused));
    wait_until(|| callers.used() < 80 * 1024).await;
    let accepted = rig.post("durable", "/echo").body(body.clone()).send().await;
    let accepted = accepted.expect("a response").bytes().await;
    assert_eq!(accepted.expect("whole"), body);
    wait_until(|| callers.used() < 80 * 1024).await;
}

/// Guards against heads that announce bodies, never send them, and keep the memory for them.
#[tokio::test]
async fn test_input_announced_body_takes_no_memory_before_it_comes() {
    let rig = rig(&[], |s| s.bounds.memory = Bytes(280 * 1024)).await;
    let callers = rig.gateway.core().callers.clone();
    let head =
        "POST / HTTP/1.1\r\nhost: x\r\nrwr-service: durable\r\ncontent-length: 81920\r\n\r\n";
    let mut waiting = TcpStream::connect(rig.gateway.http())
        .await
        .expect("a port");
    waiting.write_all(head.as_bytes()).await.expect("sent");
    // The request counts from its head on.
    wait_until(|| callers.used() > 40 * 1024).await;
    assert!(callers.used() < 80 * 1024, "{}", callers.used());
    let body = vec![b'a'; 80 * 1024];
    let accepted = rig.post("durable", "/echo").body(body.clone()).send().await;
    let accepted = accepted.expect("a response").bytes().await;
    assert_eq!(accepted.expect("whole"), body);
}

#[tokio::test]
async fn test_input_garbage_at_operators_port() {
    let rig = rig(&[], |_| {}).await;
    let frame_of_4_gib = b"\xff\xff\xff\xff garbage";
    for garbage in [
        &frame_of_4_gib[..],
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x04abcd",
    ] {
        let response = send_raw(rig.gateway.rpc(), garbage).await;
        assert_eq!(response, "");
    }
    let link = peer::gateway(rig.gateway.rpc());
    let operator = link.client().await.expect("a connection");
    let service = "urgent".into();
    let reply = operator.explain(within(Duration::from_secs(5)), Explain { service });
    let reply = reply.await.expect("a response");
    assert_eq!(reply.version, 1);
    assert_eq!(reply.candidates.len(), 1);
    assert_eq!(reply.candidates[0].instance, "i-1");
}
