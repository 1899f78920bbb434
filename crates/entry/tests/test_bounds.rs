//! Requests at the bounds of what callers may send: the largest ones are served, and those that find
//! no memory are refused before they are sent.

mod fakes;

use conf::value::Bytes;
use entry::Entry;
use fakes::HOST;
use fakes::ONCE;
use fakes::caller::Caller;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;

const KIBI: usize = 1024;
const MEBI: usize = 1024 * KIBI;
/// The account in these tests: the smallest that the settings allow.
const MEMORY: Bytes = Bytes(MEBI as u64);

fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
         rwr-deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

async fn entry(upstreams: &[&Upstream]) -> Entry {
    let mut settings = fakes::settings();
    settings.bounds.memory = Some(MEMORY);
    fakes::configure(fakes::start_with(settings).await, upstreams)
}

/// Guards against bounds that a single request inside the limits would meet.
#[tokio::test]
async fn test_bounds_largest_body_is_served_in_calm() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    for (id, length) in [("r-1", 300 * KIBI), ("r-2", 64 * MEBI), ("r-3", 200 * KIBI)] {
        let mut caller = Caller::connect(entry.front()).await;
        let framing = format!("content-length: {length}");
        caller.send_raw(head(ONCE, id, &framing).as_bytes()).await;
        caller.send_raw(&vec![b'x'; length]).await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 200, "{length}");
        let received = upstream.received_requests();
        assert_eq!(received.last().expect("received").body.len(), length);
    }
}

/// Guards against requests that are refused for lack of memory and run nevertheless, or that get no
/// time to come back, and against memory that stays charged.
#[tokio::test]
async fn test_bounds_request_without_memory_is_refused_unsent() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut others = entry.core().clients.unconnected().charge();
    others.grow(700 * KIBI as u64).await.expect("room");
    let length = 250 * KIBI;
    let announced = format!("content-length: {length}");
    for (id, framing, body) in [
        ("r-1", announced.as_str(), "x".repeat(length)),
        (
            "r-2",
            "transfer-encoding: chunked",
            format!("{length:x}\r\n{}\r\n", "x".repeat(length)),
        ),
    ] {
        let mut caller = Caller::connect(entry.front()).await;
        let request = head(ONCE, id, framing) + &body;
        caller.send_raw(request.as_bytes()).await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 503, "{framing}");
        assert!(answer.header("retry-after").is_some());
        assert!(upstream.received_requests().is_empty());
    }
    drop(others);
    let mut caller = Caller::connect(entry.front()).await;
    let request = head(ONCE, "r-3", &announced) + &"x".repeat(length);
    caller.send_raw(request.as_bytes()).await;
    assert_eq!(caller.answer().await.expect("an answer").status, 200);
}
