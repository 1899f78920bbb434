//! Bodies that arrive slowly are forwarded at once and can be replayed in retries.

mod fakes;

use fakes::HOST;
use fakes::ONCE;
use fakes::SHORT;
use fakes::caller::Caller;
use fakes::entry;
use fakes::upstream::Behavior;
use fakes::upstream::LONG;
use fakes::upstream::Upstream;

const ID: &str = "rwr-request-id";

/// The head of a request with a body of `length` bytes.
fn head(id: &str, length: usize) -> String {
    format!(
        "POST {ONCE} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
         rwr-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn test_body_is_passed_on_while_it_comes() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send_raw(head("r-1", 8).as_bytes()).await;
    caller.send_raw(b"half").await;
    upstream.wait_for_body_bytes(4).await;
    assert!(upstream.received_requests().is_empty());
    caller.send_raw(b"rest").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.received_requests()[0].body, b"halfrest");
}

/// Guards against closing the upstream connection because the body arrived after the selection.
#[tokio::test]
async fn test_body_forwarded_while_it_arrives_leaves_connection_reusable() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send_raw(head("r-1", 8).as_bytes()).await;
    caller.send_raw(b"half").await;
    upstream.wait_for_body_bytes(4).await;
    caller.send_raw(b"rest").await;
    caller.answer().await.expect("an answer");
    let before = upstream.connections();
    caller.call("POST", ONCE, "r-2", "").await;
    assert_eq!(upstream.connections(), before);
}

/// Guards against a retry that continues the body where the first attempt stopped, and against
/// reuse of a connection that still expects the rest of a body.
#[tokio::test]
async fn test_body_is_sent_again_from_its_beginning() {
    let early = Upstream::start("i-1", Behavior::ShedEarly).await;
    let other = Upstream::start("i-2", Behavior::Shed).await;
    let entry = entry(&[&early, &other]).await;
    let mut caller = Caller::connect(entry.front()).await;
    for round in 1..=6 {
        let (before, after) = (early.heads(), other.heads());
        let id = format!("r-{round}");
        caller.send_raw(head(&id, 8).as_bytes()).await;
        caller.send_raw(b"half").await;
        tokio::select! {
            () = early.wait_for_heads(before + 1) => {}
            () = other.wait_for_heads(after + 1) => {}
        }
        caller.send_raw(b"rest").await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 503, "both refuse it");
    }
    let (one, two) = (early.received_requests(), other.received_requests());
    let both = one
        .iter()
        .any(|a| two.iter().any(|b| a.header(ID) == b.header(ID)));
    assert!(both, "a request was sent again");
    for request in one.iter().chain(&two) {
        assert_eq!(request.body, b"halfrest");
        assert_eq!(request.line(), format!("POST {ONCE}"));
    }
}

/// Guards against running a request whose caller disconnected in the middle of the body.
#[tokio::test]
async fn test_body_that_breaks_off_is_no_request() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send_raw(head("r-1", 8).as_bytes()).await;
    caller.send_raw(b"half").await;
    upstream.wait_for_body_bytes(4).await;
    drop(caller);
    let mut other = Caller::connect(entry.front()).await;
    let answer = other.call("POST", ONCE, "r-2", "whole").await;
    assert_eq!(answer.status, 200);
    let received_requests = upstream.received_requests();
    assert_eq!(received_requests.len(), 1);
    assert_eq!(received_requests[0].body, b"whole");
}

/// Guards against losing body bytes that arrive while the request waits for the first instances.
#[tokio::test]
async fn test_body_received_before_selection_is_complete() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = fakes::start_unconfigured().await;
    entry.core().set_table(fakes::table(1));
    let mut caller = Caller::connect(entry.front()).await;
    let body = "x".repeat(100_000);
    caller.send("POST", ONCE, "r-1", &body).await;
    let announced = fakes::instance(&upstream, "status");
    entry.core().apply_instances(fakes::HUB, &[announced], &[]);
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.received_requests()[0].body, body.as_bytes());
}

/// Guards against holding back a response until it is complete, and against closing its
/// connection after it.
#[tokio::test]
async fn test_body_of_an_answer_is_forwarded_as_it_arrives() {
    let upstream = Upstream::start("i-1", Behavior::Halves).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", ONCE, "r-1", "").await;
    let answer = caller.head().await.expect("a head");
    assert_eq!(answer.status, 200);
    upstream.send_rest();
    let answer = caller.answer().await.expect("an answer");
    assert!(answer.body.starts_with("answer to r-1 by i-1."));
    assert_eq!(answer.body.len(), "answer to r-1 by i-1".len() + LONG);
    let before = upstream.connections();
    let answer = caller.call("GET", ONCE, "r-2", "").await;
    assert!(answer.body.starts_with("answer to r-2 by i-1."));
    assert_eq!(upstream.connections(), before);
}

/// Guards against a truncated response that looks complete to the caller.
#[tokio::test]
async fn test_body_of_an_answer_that_breaks_off_does_not_look_whole() {
    let upstream = Upstream::start("i-1", Behavior::HalfThenClose).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", ONCE, "r-1", "").await;
    let answer = caller.head().await.expect("a head");
    assert_eq!(answer.status, 200);
    upstream.send_rest();
    assert!(caller.answer().await.is_none());
    assert_eq!(upstream.received_requests().len(), 1);
}

/// Guards against a response that stalls forever after the route's timeout.
#[tokio::test]
async fn test_body_of_an_answer_that_stalls_ends_after_the_timeout() {
    let upstream = Upstream::start("i-1", Behavior::Halves).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", SHORT, "r-1", "").await;
    caller.head().await.expect("a head");
    assert!(caller.answer().await.is_none());
}
