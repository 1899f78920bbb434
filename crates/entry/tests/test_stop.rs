//! A graceful stop cuts nothing, and readiness tells of it at once.

mod fakes;

use std::net::SocketAddr;

use fakes::READ;
use fakes::bare;
use fakes::caller::Caller;
use fakes::entry;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;

async fn ready(address: SocketAddr) -> u16 {
    let mut caller = Caller::connect(address).await;
    caller
        .raw(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await;
    caller.answer().await.expect("an answer").status
}

#[tokio::test]
async fn test_stop_serves_on_and_then_finishes_what_is_open() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    assert_eq!(ready(entry.ready()).await, 200);
    let mut kept = Caller::connect(entry.front()).await;
    let answer = kept.call("GET", READ, "r-1", "").await;
    assert_eq!(answer.header("connection"), None);
    let front = entry.front();
    let shut_down = entry.shut_down();
    let serve = async {
        let mut stage = entry.core().stage.subscribe();
        let leaving = stage.wait_for(|stage| *stage != entry::core::Stage::Serving);
        leaving.await.expect("the process lives");
        drop(stage);
        assert_eq!(ready(entry.ready()).await, 503);
        // An open connection and a new one are served, and told to close.
        let answer = kept.call("GET", READ, "r-2", "").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("connection").as_deref(), Some("close"));
        kept.closed().await;
        let mut late = Caller::connect(front).await;
        let answer = late.call("GET", READ, "r-3", "").await;
        assert_eq!(answer.status, 200);
        late.closed().await;
    };
    tokio::join!(shut_down, serve);
    assert_eq!(upstream.arrivals().len(), 3);
}

#[tokio::test]
async fn test_stop_waits_for_a_request_that_an_upstream_works_on() {
    let upstream = Upstream::start("i-1", Manner::Hang).await;
    let other = Upstream::start("i-2", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", fakes::SHORT, "r-1", "").await;
    upstream.reached(1).await;
    entry.shut_down().await;
    // The route's timeout answered it; the stop didn't cut it.
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(other.arrivals().is_empty());
}

#[tokio::test]
async fn test_stop_process_without_a_table_is_not_ready() {
    let entry = bare().await;
    assert_eq!(ready(entry.ready()).await, 503);
    entry.core().set_table(fakes::table(1));
    assert_eq!(ready(entry.ready()).await, 200);
}
