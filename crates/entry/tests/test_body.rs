//! Bodies that come slowly: what is passed on when, and what is sent again.

mod fakes;

use fakes::HOST;
use fakes::ONCE;
use fakes::SHORT;
use fakes::caller::Caller;
use fakes::entry;
use fakes::upstream::LONG;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;

const ID: &str = "rwr-request-id";

/// The head of a request whose body of `length` bytes comes later.
fn head(id: &str, length: usize) -> String {
    format!(
        "POST {ONCE} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
         rwr-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn test_body_is_passed_on_while_it_comes() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.raw(head("r-1", 8).as_bytes()).await;
    caller.raw(b"half").await;
    upstream.received(4).await;
    assert!(upstream.arrivals().is_empty());
    caller.raw(b"rest").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.arrivals()[0].body, b"halfrest");
}

/// A body that came after its instance was chosen leaves the connection for the next request.
#[tokio::test]
async fn test_body_that_was_passed_on_leaves_its_connection() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.raw(head("r-1", 8).as_bytes()).await;
    caller.raw(b"half").await;
    upstream.received(4).await;
    caller.raw(b"rest").await;
    caller.answer().await.expect("an answer");
    let before = upstream.connections();
    caller.call("POST", ONCE, "r-2", "").await;
    assert_eq!(upstream.connections(), before);
}

/// An instance that refuses a request before it has read its body gets the rest of it on
/// that connection and nothing else, and another one gets the body whole.
#[tokio::test]
async fn test_body_is_sent_again_from_its_beginning() {
    let early = Upstream::start("i-1", Manner::ShedEarly).await;
    let other = Upstream::start("i-2", Manner::Shed).await;
    let entry = entry(&[&early, &other]).await;
    let mut caller = Caller::connect(entry.front()).await;
    for round in 1..=6 {
        let (before, after) = (early.heads(), other.heads());
        let id = format!("r-{round}");
        caller.raw(head(&id, 8).as_bytes()).await;
        caller.raw(b"half").await;
        tokio::select! {
            () = early.headed(before + 1) => {}
            () = other.headed(after + 1) => {}
        }
        caller.raw(b"rest").await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 503, "both refuse it");
    }
    let (one, two) = (early.arrivals(), other.arrivals());
    let both = one
        .iter()
        .any(|a| two.iter().any(|b| a.header(ID) == b.header(ID)));
    assert!(both, "a request was sent again");
    for arrival in one.iter().chain(&two) {
        assert_eq!(arrival.body, b"halfrest");
        assert_eq!(arrival.line(), format!("POST {ONCE}"));
    }
}

/// A caller that breaks off in the middle of its body has asked for nothing.
#[tokio::test]
async fn test_body_that_breaks_off_is_no_request() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.raw(head("r-1", 8).as_bytes()).await;
    caller.raw(b"half").await;
    upstream.received(4).await;
    drop(caller);
    let mut other = Caller::connect(entry.front()).await;
    let answer = other.call("POST", ONCE, "r-2", "whole").await;
    assert_eq!(answer.status, 200);
    let arrivals = upstream.arrivals();
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].body, b"whole");
}

/// A body that comes while its request waits for the first instances is kept meanwhile.
#[tokio::test]
async fn test_body_that_came_before_the_choice_is_whole() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = fakes::bare().await;
    entry.core().set_table(fakes::table(1));
    let mut caller = Caller::connect(entry.front()).await;
    let body = "x".repeat(100_000);
    caller.send("POST", ONCE, "r-1", &body).await;
    let row = fakes::instance(&upstream, "status");
    entry.core().apply_instances(fakes::HUB, &[row], &[]);
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.arrivals()[0].body, body.as_bytes());
}

/// What has come of an answer is passed on before the rest has, and the connection serves
/// the next request.
#[tokio::test]
async fn test_body_of_an_answer_is_passed_on_while_it_comes() {
    let upstream = Upstream::start("i-1", Manner::Halves).await;
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

/// An answer that breaks off after its head doesn't look whole: the connection ends, as
/// nothing else can tell the caller by then.
#[tokio::test]
async fn test_body_of_an_answer_that_breaks_off_does_not_look_whole() {
    let upstream = Upstream::start("i-1", Manner::HalfThenClose).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", ONCE, "r-1", "").await;
    let answer = caller.head().await.expect("a head");
    assert_eq!(answer.status, 200);
    upstream.send_rest();
    assert!(caller.answer().await.is_none());
    assert_eq!(upstream.arrivals().len(), 1);
}

/// An answer that comes no further ends soon after its route's timeout.
#[tokio::test]
async fn test_body_of_an_answer_that_stalls_ends_after_the_timeout() {
    let upstream = Upstream::start("i-1", Manner::Halves).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", SHORT, "r-1", "").await;
    caller.head().await.expect("a head");
    assert!(caller.answer().await.is_none());
}
