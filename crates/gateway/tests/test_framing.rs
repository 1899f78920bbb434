//! Callers and instances get messages whose framing agrees with the body, whatever framing the
//! other side used. The rows are those of `docs/design/framing.md`.

mod fakes;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fakes::Rig;
use crate::fakes::control::FakeControl;
use crate::fakes::rig;

/// More than is buffered of a body.
const LONG_BODY: usize = 512 * 1024;

/// Responses that are refused, by the form that is wrong with them.
const REFUSED: [(&str, &str); 19] = [
    (
        "length before chunks",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "length after chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "refusal with a length beside chunks",
        "HTTP/1.1 503 Busy\r\nrwr-shed: 1\r\ncontent-length: 4\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "two lengths",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 8\r\n\r\nhalfrest",
    ),
    (
        "two lengths in one line",
        "HTTP/1.1 200 OK\r\ncontent-length: 4, 8\r\n\r\nhalfrest",
    ),
    (
        "word as length",
        "HTTP/1.1 200 OK\r\ncontent-length: four\r\n\r\nhalf",
    ),
    (
        "length with sign",
        "HTTP/1.1 200 OK\r\ncontent-length: +4\r\n\r\nhalf",
    ),
    (
        "empty length",
        "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nhalf",
    ),
    (
        "other coding",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "chunks in chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "204 with a body",
        "HTTP/1.1 204 No Content\r\ncontent-length: 4\r\n\r\nhalf",
    ),
    (
        "204 with chunks",
        "HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "304 with two lengths",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\ncontent-length: 8\r\n\r\n",
    ),
    (
        "switch of protocol",
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
    ),
    (
        "status 000",
        "HTTP/1.1 000 None\r\ncontent-length: 4\r\n\r\nhalf",
    ),
    (
        "status 099",
        "HTTP/1.1 099 Continue\r\ncontent-length: 4\r\n\r\nhalf",
    ),
    (
        "status 600",
        "HTTP/1.1 600 Error\r\ncontent-length: 4\r\n\r\nhalf",
    ),
    (
        "status 999",
        "HTTP/1.1 999 Denied\r\ncontent-length: 4\r\n\r\nhalf",
    ),
    (
        "status 000 after an interim response",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\ncontent-length: 4\r\n\r\nhalf",
    ),
];

/// Responses that are passed on: their form, their text, and the status, framing and body that the
/// caller gets.
const FORWARDED: [(&str, &str, &str, Option<&str>, &str); 9] = [
    (
        "length",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\ncontent-length: 8\r\n\r\nhalfrest",
        "200",
        Some("content-length: 8"),
        "halfrest",
    ),
    (
        "same length twice",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\ncontent-length: 8\r\ncontent-length: 8\r\n\r\nhalfrest",
        "200",
        Some("content-length: 8"),
        "halfrest",
    ),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\ntransfer-encoding: chunked\r\n\r\n\
         8\r\nhalfrest\r\n0\r\n\r\n",
        "200",
        Some("transfer-encoding: chunked"),
        "8\r\nhalfrest\r\n0\r\n\r\n",
    ),
    (
        "304 with chunks",
        "HTTP/1.1 304 Not Modified\r\nx-kept: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "304",
        None,
        "",
    ),
    (
        "same length twice in one line",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\ncontent-length: 8, 8\r\n\r\nhalfrest",
        "200",
        Some("content-length: 8"),
        "halfrest",
    ),
    (
        "chunks with trailers",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\ntrailer: content-length\r\n\
         transfer-encoding: Chunked\r\n\r\n8\r\nhalfrest\r\n0\r\ncontent-length: 4\r\n\r\n",
        "200",
        Some("transfer-encoding: chunked"),
        "8\r\nhalfrest\r\n0\r\n\r\n",
    ),
    (
        "length as a header of the connection",
        "HTTP/1.1 200 OK\r\nx-kept: 1\r\nconnection: content-length\r\n\
         content-length: 8\r\n\r\nhalfrest",
        "200",
        Some("content-length: 8"),
        "halfrest",
    ),
    (
        "204 with length zero",
        "HTTP/1.1 204 No Content\r\nx-kept: 1\r\ncontent-length: 0\r\n\r\n",
        "204",
        None,
        "",
    ),
    (
        "304 with a length",
        "HTTP/1.1 304 Not Modified\r\nx-kept: 1\r\ncontent-length: 8\r\n\r\n",
        "304",
        Some("content-length: 8"),
        "",
    ),
];

/// Sends a request whose response is `text`, and another one on the same connection. Returns the
/// head of the first response, and the rest of what the caller got.
async fn call_twice(rig: &Rig, method: &str, text: &'static str) -> (String, String) {
    rig.upstream.set_text(text);
    let mut stream = TcpStream::connect(rig.gateway.http())
        .await
        .expect("a listener");
    let requests = format!(
        "{method} /text HTTP/1.1\r\nhost: h\r\nrwr-service: once\r\ncontent-length: 0\r\n\r\n\
         POST /ok HTTP/1.1\r\nhost: h\r\nrwr-service: once\r\ncontent-length: 0\r\n\
         connection: close\r\n\r\n"
    );
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("written");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("an end");
    let received = String::from_utf8(received).expect("text");
    let (head, rest) = received.split_once("\r\n\r\n").expect("a head");
    (head.to_owned(), rest.to_owned())
}

/// The head of the second response, after the body of the first.
fn starts_with_next(rest: &str) -> bool {
    rest.starts_with("HTTP/1.1 200 OK\r\n") && rest.ends_with("\r\n\r\nok")
}

/// Guards against a response with contradictory framing that splits into two for the caller, and
/// against one that counts as not run.
#[tokio::test]
async fn test_framing_contradictory_response_is_refused_as_broken() {
    let rig = rig(&[], |_| {}).await;
    for (name, text) in REFUSED {
        let before = rig.upstream.received().len();
        let (head, rest) = call_twice(&rig, "POST", text).await;
        assert!(head.starts_with("HTTP/1.1 502"), "{name}: {head}");
        assert!(head.contains("rwr-outcome: unknown"), "{name}: {head}");
        let next = rest.find("HTTP/1.1").map(|at| &rest[at..]);
        assert!(next.is_some_and(starts_with_next), "{name}: {rest}");
        assert_eq!(rig.upstream.received().len(), before + 2, "{name}: runs");
    }
}

/// Guards against framing that is copied from the instance's response.
#[tokio::test]
async fn test_framing_of_response_is_written_from_its_body() {
    let rig = rig(&[], |_| {}).await;
    for (name, text, status, framing, body) in FORWARDED {
        let (head, rest) = call_twice(&rig, "POST", text).await;
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{name}");
        let names = [
            "content-length",
            "transfer-encoding",
            "trailer",
            "connection",
        ];
        let lines = head.lines();
        let lines = lines.filter(|line| names.iter().any(|name| line.starts_with(name)));
        let lines: Vec<&str> = lines.collect();
        assert_eq!(lines, Vec::from_iter(framing), "{name}");
        assert!(head.contains("x-kept: 1"), "{name}");
        let next = rest.strip_prefix(body);
        assert!(next.is_some_and(starts_with_next), "{name}: {rest}");
    }
}

/// Guards against losing the length that a response to HEAD states of a body that isn't sent.
#[tokio::test]
async fn test_framing_of_response_to_head_keeps_its_length() {
    let rig = rig(&[], |_| {}).await;
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n";
    let (head, rest) = call_twice(&rig, "HEAD", text).await;
    assert!(head.contains("content-length: 8"), "{head}");
    assert!(starts_with_next(&rest), "{rest}");
}

/// Guards against losing the body of a GET request that is too long to be buffered.
#[tokio::test]
async fn test_framing_of_long_get_is_chunks() {
    let rig = rig(&[], |_| {}).await;
    let client = fakes::client();
    let request = client.get(rig.url("/ok")).header("rwr-service", "urgent");
    let response = request.body("x".repeat(LONG_BODY)).send().await;
    assert_eq!(response.expect("a response").status(), 200);
    let received = rig.upstream.received();
    assert_eq!(received[0].header("transfer-encoding"), Some("chunked"));
    assert_eq!(received[0].body.len(), LONG_BODY);
}

/// Guards against a length in a stored response whose status allows none.
#[tokio::test]
async fn test_framing_of_stored_response_without_body_has_no_length() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    let text = "HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n";
    rig.upstream.set_text(text);
    for _ in 0..2 {
        let request = rig.post("once", "/text").header("rwr-caller", "planner");
        let request = request.header("idempotency-key", "k-1");
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 204);
        assert!(!response.headers().contains_key("content-length"));
    }
    assert_eq!(rig.upstream.received().len(), 1);
}

/// Guards against framing that is copied from the caller's request.
#[tokio::test]
async fn test_framing_of_request_is_written_from_its_body() {
    let rig = rig(&[], |_| {}).await;
    let framings = [
        "content-length: 8\r\n\r\nhalfrest",
        "content-length: 8\r\ncontent-length: 8\r\n\r\nhalfrest",
        "te: trailers\r\ntrailer: x-end\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\nx-end: 1\r\n\r\n",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalfrest\r\n0\r\n\r\n",
    ];
    for framing in framings {
        let text = format!(
            "POST /ok HTTP/1.1\r\nhost: h\r\nrwr-service: once\r\nconnection: close\r\n{framing}"
        );
        let received = fakes::send_raw(rig.gateway.http(), text.as_bytes()).await;
        assert!(
            received.starts_with("HTTP/1.1 200"),
            "{framing}: {received}"
        );
        let received = rig.upstream.received();
        let request = received.last().expect("a request");
        assert_eq!(request.body, b"halfrest", "{framing}");
        assert_eq!(request.head.matches("content-length").count(), 1);
        for name in ["transfer-encoding", "te", "trailer", "connection"] {
            assert_eq!(request.header(name), None, "{framing}: {name}");
        }
    }
}
