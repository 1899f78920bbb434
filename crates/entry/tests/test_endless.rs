//! Instances whose responses don't end.

mod fakes;

use std::time::Duration;

use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::entry;
use fakes::probe;
use fakes::selected;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;

/// Time after which a test waits no longer; shorter than the requests' deadlines.
const PATIENCE: Duration = Duration::from_secs(10);
const ENDLESS: [Behavior; 4] = [
    Behavior::EndlessInterim,
    Behavior::EndlessHead,
    Behavior::EndlessBody,
    Behavior::ShedWithoutEnd,
];

async fn call(entry: &entry::Entry, path: &str, id: &str) -> Answer {
    let mut caller = Caller::connect(entry.front()).await;
    let calling = caller.call("GET", path, id, "");
    let answer = tokio::time::timeout(PATIENCE, calling).await;
    answer.unwrap_or_else(|_| panic!("{id}: no response"))
}

/// Guards against reads that wait for their deadline although another instance answers.
#[tokio::test]
async fn test_endless_response_lets_a_read_go_on_elsewhere() {
    for behavior in ENDLESS {
        let endless = Upstream::start("i-1", behavior).await;
        let well = Upstream::start("i-2", Behavior::Answer).await;
        // Each process chooses anew.
        for number in 0..30 {
            let entry = entry(&[&endless, &well]).await;
            let answer = call(&entry, READ, &format!("{behavior:?}-{number}")).await;
            assert_eq!(answer.status, 200, "{behavior:?}");
        }
        assert!(!endless.received_requests().is_empty(), "{behavior:?}");
    }
}

/// Guards against connections that stay open, and against callers of requests that must not run
/// twice who learn nothing until their deadline.
#[tokio::test]
async fn test_endless_response_ends_its_attempt() {
    for behavior in ENDLESS {
        let endless = Upstream::start("i-1", behavior).await;
        let entry = entry(&[&endless]).await;
        let answer = call(&entry, ONCE, &format!("{behavior:?}")).await;
        let status = match behavior {
            Behavior::ShedWithoutEnd => 503,
            // The body is passed on as it arrives, until the caller disconnects.
            Behavior::EndlessBody => 200,
            _ => 502,
        };
        assert_eq!(answer.status, status, "{behavior:?}");
        let closed = tokio::time::timeout(PATIENCE, endless.wait_for_disconnects(1)).await;
        assert!(closed.is_ok(), "{behavior:?}");
    }
}

/// Guards against probes that take in bytes without end.
#[tokio::test]
async fn test_endless_response_to_a_probe_ends_the_probe() {
    for behavior in ENDLESS {
        let endless = Upstream::start("i-1", Behavior::Answer).await;
        endless.set_health(behavior);
        let entry = entry(&[&endless]).await;
        probe(&selected(&endless, &entry), &entry).await;
        let closed = tokio::time::timeout(PATIENCE, endless.wait_for_disconnects(1)).await;
        assert!(closed.is_ok(), "{behavior:?}");
    }
}

/// Guards against taking the few interim responses that an instance may send for ones without end.
#[tokio::test]
async fn test_endless_responses_do_not_include_a_few_interim_ones() {
    let upstream = Upstream::start("i-1", Behavior::FewInterim).await;
    let entry = entry(&[&upstream]).await;
    let answer = call(&entry, ONCE, "r-1").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, "answer to r-1 by i-1")
    );
}
