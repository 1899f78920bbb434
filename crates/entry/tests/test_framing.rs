//! Callers and instances get messages whose framing agrees with the body, whatever framing the
//! other side used. The rows are those of `docs/design/framing.md`.

mod fakes;

use entry::Entry;
use fakes::Fleet;
use fakes::HOST;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::entry;
use fakes::proxy::Path;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;

/// More than is buffered of a body without a length.
const LONG_BODY: usize = 300 * 1024;

/// Responses that are refused, by the form that is wrong with them.
const REFUSED: [(&str, &str); 19] = [
    (
        "length before chunks",
        "HTTP/1.1 200 OK\r\n{own}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "length after chunks",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "refusal with a length beside chunks",
        "HTTP/1.1 503 Busy\r\n{own}rwr-shed: 1\r\ncontent-length: 4\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
    ),
    (
        "two lengths",
        "HTTP/1.1 200 OK\r\n{own}content-length: 4\r\ncontent-length: 8\r\n\r\nhalfrest",
    ),
    (
        "two lengths in one line",
        "HTTP/1.1 200 OK\r\n{own}content-length: 4, 8\r\n\r\nhalfrest",
    ),
    (
        "word as length",
        "HTTP/1.1 200 OK\r\n{own}content-length: four\r\n\r\nhalf",
    ),
    (
        "length with sign",
        "HTTP/1.1 200 OK\r\n{own}content-length: +4\r\n\r\nhalf",
    ),
    (
        "empty length",
        "HTTP/1.1 200 OK\r\n{own}content-length:\r\n\r\nhalf",
    ),
    (
        "other coding",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "chunks in chunks",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "204 with a body",
        "HTTP/1.1 204 No Content\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
    (
        "204 with chunks",
        "HTTP/1.1 204 No Content\r\n{own}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ),
    (
        "304 with two lengths",
        "HTTP/1.1 304 Not Modified\r\n{own}content-length: 4\r\ncontent-length: 8\r\n\r\n",
    ),
    (
        "switch of protocol",
        "HTTP/1.1 101 Switching Protocols\r\n{own}connection: upgrade\r\nupgrade: other\r\n\r\n",
    ),
    (
        "status 000",
        "HTTP/1.1 000 None\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
    (
        "status 099",
        "HTTP/1.1 099 Continue\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
    (
        "status 600",
        "HTTP/1.1 600 Error\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
    (
        "status 999",
        "HTTP/1.1 999 Denied\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
    (
        "status 000 after an interim response",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n{own}content-length: 4\r\n\r\nhalf",
    ),
];

/// Responses that are passed on: their form, their text, and the status, length and body that the
/// caller gets.
const FORWARDED: [(&str, &str, u16, Option<&str>, &str); 9] = [
    (
        "length",
        "HTTP/1.1 200 OK\r\n{own}content-length: 8\r\n\r\nhalfrest",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "same length twice",
        "HTTP/1.1 200 OK\r\n{own}content-length: 8\r\ncontent-length: 8\r\n\r\nhalfrest",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "same length twice in one line",
        "HTTP/1.1 200 OK\r\n{own}content-length: 8, 8\r\n\r\nhalfrest",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "chunks with trailers",
        "HTTP/1.1 200 OK\r\n{own}trailer: content-length\r\ntransfer-encoding: Chunked\r\n\r\n\
         4\r\nhalf\r\n4\r\nrest\r\n0\r\ncontent-length: 4\r\n\r\n",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "length as a header of the connection",
        "HTTP/1.1 200 OK\r\n{own}connection: content-length\r\ncontent-length: 8\r\n\r\nhalfrest",
        200,
        Some("8"),
        "halfrest",
    ),
    (
        "204 with length zero",
        "HTTP/1.1 204 No Content\r\n{own}content-length: 0\r\n\r\n",
        204,
        None,
        "",
    ),
    (
        "304 with a length",
        "HTTP/1.1 304 Not Modified\r\n{own}content-length: 8\r\n\r\n",
        304,
        None,
        "",
    ),
    (
        "304 with chunks",
        "HTTP/1.1 304 Not Modified\r\n{own}transfer-encoding: chunked\r\n\r\n",
        304,
        None,
        "",
    ),
];

/// Sends a request that must not run twice, and one that is answered properly on the same
/// connection.
async fn call_twice(text: &'static str) -> (Upstream, Answer, Answer) {
    let upstream = Upstream::start("i-1", Behavior::Text(text)).await;
    let entry: Entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("POST", ONCE, "r-1", "body").await;
    let answer = caller.answer().await.expect("an answer");
    upstream.set_behavior(Behavior::Answer);
    let next = caller.call("POST", ONCE, "r-2", "body").await;
    (upstream, answer, next)
}

/// Guards against a response with contradictory framing that splits into two for the caller, and
/// against one that counts as not run.
#[tokio::test]
async fn test_framing_contradictory_response_is_refused_as_broken() {
    for (name, text) in REFUSED {
        let (upstream, answer, next) = call_twice(text).await;
        assert_eq!(answer.status, 502, "{name}");
        assert_eq!(answer.header("signature"), None, "{name}");
        assert_eq!(next.body, "answer to r-2 by i-1", "{name}");
        assert_eq!(upstream.received_requests().len(), 2, "{name}: runs");
    }
}

/// Guards against framing that is copied from the instance's response.
#[tokio::test]
async fn test_framing_of_response_is_written_from_its_body() {
    for (name, text, status, length, body) in FORWARDED {
        let (_, answer, next) = call_twice(text).await;
        assert_eq!(answer.status, status, "{name}");
        assert_eq!(answer.header("content-length").as_deref(), length, "{name}");
        let lengths = answer.head.matches("content-length").count();
        assert_eq!(lengths, usize::from(length.is_some()), "{name}");
        for framing in ["transfer-encoding", "trailer", "connection"] {
            assert_eq!(answer.header(framing), None, "{name}: {framing}");
        }
        assert_eq!(answer.body, body, "{name}");
        assert_eq!(
            answer.header("signature").as_deref(),
            Some("s-r-1"),
            "{name}"
        );
        assert_eq!(next.body, "answer to r-2 by i-1", "{name}");
    }
}

/// Guards against a response without a length that reaches the caller without one, too.
#[tokio::test]
async fn test_framing_of_response_without_length_is_its_length() {
    let upstream = Upstream::start("i-1", Behavior::Unframed).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("POST", ONCE, "r-1", "").await;
    assert_eq!(answer.body, "answer to r-1 by i-1");
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
}

/// Guards against a long response without a length that states one.
#[tokio::test]
async fn test_framing_of_long_response_without_length_is_chunks() {
    let body = "x".repeat(LONG_BODY);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{{own}}transfer-encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n{body}\r\n0\r\n\r\n"
    );
    let upstream = Upstream::start("i-1", Behavior::Text(text.leak())).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("POST", ONCE, "r-1", "").await;
    let answer = caller.head().await.expect("a head");
    assert_eq!(
        answer.header("transfer-encoding").as_deref(),
        Some("chunked")
    );
    assert_eq!(answer.header("content-length"), None);
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
}

/// Guards against losing the length that a response to HEAD states of a body that isn't sent.
#[tokio::test]
async fn test_framing_of_response_to_head_keeps_its_length() {
    const TEXT: &str = "HTTP/1.1 200 OK\r\n{own}content-length: 8\r\n\r\n";
    let upstream = Upstream::start("i-1", Behavior::Text(TEXT)).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("HEAD", ONCE, "r-1", "").await;
    let answer = caller.head().await.expect("a head");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("content-length").as_deref(), Some("8"));
}

/// Guards against losing the body of a GET request that has no length.
#[tokio::test]
async fn test_framing_of_long_get_without_length_is_chunks() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let text = format!(
        "GET {ONCE} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: r-1\r\n\
         rwr-deadline-ms: 20000\r\ntransfer-encoding: chunked\r\n\r\n{LONG_BODY:x}\r\n{}\r\n0\r\n\r\n",
        "x".repeat(LONG_BODY)
    );
    caller.send_raw(text.as_bytes()).await;
    upstream.wait_for_requests(1).await;
    let request = &upstream.received_requests()[0];
    assert_eq!(
        request.header("transfer-encoding").as_deref(),
        Some("chunked")
    );
    assert_eq!(request.header("content-length"), None);
}

/// Guards against framing that is copied from the caller's request.
#[tokio::test]
async fn test_framing_of_request_is_written_from_its_body() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let framings = [
        "content-length: 8\r\n\r\nhalfrest",
        "content-length: 8\r\ncontent-length: 8\r\n\r\nhalfrest",
        "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n",
        "te: trailers\r\ntrailer: x-end\r\ntransfer-encoding: chunked\r\n\r\n\
         8\r\nhalfrest\r\n0\r\nx-end: 1\r\n\r\n",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalfrest\r\n0\r\n\r\n",
    ];
    for framing in framings {
        let mut caller = Caller::connect(entry.front()).await;
        let text = format!(
            "POST {ONCE} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: r-1\r\n\
             rwr-deadline-ms: 20000\r\n{framing}"
        );
        caller.send_raw(text.as_bytes()).await;
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
        let received = upstream.received_requests();
        let request = received.last().expect("a request");
        assert_eq!(request.body, b"halfrest", "{framing}");
        assert_eq!(request.head.matches("content-length").count(), 1);
        for name in ["transfer-encoding", "te", "trailer", "connection"] {
            assert_eq!(request.header(name), None, "{framing}: {name}");
        }
    }
}

/// Guards against framing that passes from an instance through two entry processes.
#[tokio::test]
async fn test_framing_of_relayed_messages_is_written_from_their_bodies() {
    let fleet = Fleet::start(176, 2, Behavior::Answer).await;
    fleet.set_path(Path::Refused).await;
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    while caller.call("PUT", READ, "warm", "body").await.status != 200 {}
    let set_text = |text| {
        for upstream in &fleet.upstreams {
            upstream.set_behavior(Behavior::Text(text));
        }
    };
    let (_, chunks, status, length, body) = FORWARDED[3];
    set_text(chunks);
    let answer = caller.call("POST", ONCE, "r-1", "body").await;
    assert_eq!(answer.status, status);
    assert_eq!(answer.header("content-length").as_deref(), length);
    assert_eq!(answer.body, body);
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
    let (_, contradictory) = REFUSED[0];
    set_text(contradictory);
    let answer = caller.call("POST", ONCE, "r-2", "body").await;
    assert_eq!(answer.status, 502);
    assert_eq!((fleet.runs("r-1"), fleet.runs("r-2")), (1, 1));
}
