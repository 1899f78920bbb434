//! Graceful shutdown without failed requests.

mod fakes;

use std::net::SocketAddr;

use fakes::READ;
use fakes::caller::Caller;
use fakes::entry;
use fakes::start_unconfigured;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;

async fn readiness_status(address: SocketAddr) -> u16 {
    let mut caller = Caller::connect(address).await;
    caller
        .send_raw(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await;
    caller.answer().await.expect("an answer").status
}

#[tokio::test]
async fn test_stop_keeps_serving_then_finishes_open_requests() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    assert_eq!(readiness_status(entry.ready()).await, 200);
    let mut keep_alive = Caller::connect(entry.front()).await;
    let answer = keep_alive.call("GET", READ, "r-1", "").await;
    assert_eq!(answer.header("connection"), None);
    let front = entry.front();
    let shut_down = entry.shut_down();
    let serve = async {
        let mut stage = entry.core().stage.subscribe();
        let leaving = stage.wait_for(|stage| *stage != entry::core::Stage::Serving);
        leaving.await.expect("the process lives");
        drop(stage);
        assert_eq!(readiness_status(entry.ready()).await, 503);
        // Requests on an open and on a new connection are served, with `Connection: close`.
        let answer = keep_alive.call("GET", READ, "r-2", "").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("connection").as_deref(), Some("close"));
        keep_alive.wait_until_closed().await;
        let mut late = Caller::connect(front).await;
        let answer = late.call("GET", READ, "r-3", "").await;
        assert_eq!(answer.status, 200);
        late.wait_until_closed().await;
    };
    tokio::join!(shut_down, serve);
    assert_eq!(upstream.received_requests().len(), 3);
}

#[tokio::test]
async fn test_stop_waits_for_a_running_request() {
    let upstream = Upstream::start("i-1", Behavior::Hang).await;
    let other = Upstream::start("i-2", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", fakes::SHORT, "r-1", "").await;
    upstream.wait_for_requests(1).await;
    entry.shut_down().await;
    // The request was ended by its route's timeout, not by the shutdown.
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(other.received_requests().is_empty());
}

#[tokio::test]
async fn test_stop_process_without_a_table_is_not_ready() {
    let entry = start_unconfigured().await;
    assert_eq!(readiness_status(entry.ready()).await, 503);
    entry.core().set_table(fakes::table(1));
    assert_eq!(readiness_status(entry.ready()).await, 200);
}
