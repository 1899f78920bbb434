//! Graceful shutdown without failed requests.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use entry::Entry;
use entry::Settings;
use entry::settings::Stop;
use fakes::HOST;
use fakes::ONCE;
use fakes::READ;
use fakes::caller;
use fakes::caller::Caller;
use fakes::entry;
use fakes::start_unconfigured;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use tokio::time::sleep;

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

/// Response time that the process learns of the service.
const SERVICE_TIME: Duration = Duration::from_secs(1);
/// Time of a stop; responses have to be on their way 300 ms before its end.
const GRACE: Duration = Duration::from_secs(4);
/// Time from the start of a stop after which a response no longer arrives before its end.
const TOO_LATE: Duration = Duration::from_millis(2_900);

/// An entry process that has learned the service time of the upstreams, which answer at once from
/// now on.
async fn entry_of_slow_service(upstreams: &[&Upstream]) -> Entry {
    let settings = Settings {
        stop: Stop {
            linger: GRACE,
            grace: GRACE,
        },
        probes: 0,
        ..fakes::settings()
    };
    let entry = fakes::configure(fakes::start_with(settings).await, upstreams);
    for path in [READ, ONCE] {
        for upstream in upstreams {
            upstream.set_behavior(Behavior::Queue);
            upstream.set_capacity(1, 0);
            upstream.hold_rest();
        }
        let mut caller = Caller::connect(entry.front()).await;
        caller.send("GET", path, "learned", "").await;
        sleep(SERVICE_TIME).await;
        for upstream in upstreams {
            upstream.send_rest();
        }
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
    }
    for upstream in upstreams {
        upstream.set_behavior(Behavior::Answer);
        upstream.hold_rest();
    }
    entry
}

/// Number of requests that all upstreams have received, beside those that the process learned from.
fn passed_on(upstreams: &[&Upstream]) -> usize {
    let received = upstreams.iter().map(|u| u.received_requests().len());
    received.sum::<usize>() - 2
}

/// Runs `play` while the process stops.
async fn during_stop(entry: &Entry, play: impl Future<Output = ()>) {
    let mut stage = entry.core().stage.subscribe();
    let play = async {
        let leaving = stage.wait_for(|stage| *stage != entry::core::Stage::Serving);
        drop(leaving.await.expect("the process lives"));
        play.await;
    };
    tokio::join!(entry.shut_down(), play);
}

/// Guards against requests that are passed on late in the grace period, run, and are cut off at its
/// end without an answer.
#[tokio::test]
async fn test_stop_request_that_would_be_cut_off_is_refused_before_it_leaves() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry_of_slow_service(&[&upstream]).await;
    during_stop(&entry, async {
        let early = caller::call(entry.front(), "POST", ONCE, "early").await;
        assert_eq!(early.status, 200);
        sleep(TOO_LATE).await;
        for path in [ONCE, READ] {
            let late = caller::call(entry.front(), "POST", path, "late").await;
            assert_eq!(late.status, 503, "{path}: {}", late.head);
            assert!(late.header("retry-after").is_some(), "{}", late.head);
        }
        assert_eq!(passed_on(&[&upstream]), 1);
    })
    .await;
}

/// Guards against requests that are passed on in time except for their bodies, whose last part
/// arrives too late.
#[tokio::test]
async fn test_stop_request_whose_body_comes_too_late_is_refused_before_it_leaves() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry_of_slow_service(&[&upstream]).await;
    during_stop(&entry, async {
        for path in [ONCE, READ] {
            let mut early = Caller::connect(entry.front()).await;
            early.send_raw(split_body(path).as_bytes()).await;
            early.send_raw(b"ody").await;
            assert_eq!(early.answer().await.expect("an answer").status, 200);
        }
        let mut callers = Vec::new();
        for path in [ONCE, READ] {
            let mut caller = Caller::connect(entry.front()).await;
            caller.send_raw(split_body(path).as_bytes()).await;
            callers.push(caller);
        }
        sleep(TOO_LATE).await;
        for mut caller in callers {
            // The process may have answered already.
            let _ = caller.try_send_raw(b"ody").await;
            assert_eq!(caller.answer().await.expect("an answer").status, 503);
        }
        assert_eq!(passed_on(&[&upstream]), 2);
        assert_eq!(upstream.heads(), 4, "the learned and the early ones");
    })
    .await;
}

/// A request without the last three bytes of its body.
fn split_body(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: split\r\n\
         rwr-deadline-ms: 20000\r\ncontent-length: 4\r\n\r\nb"
    )
}

/// Guards against requests that an instance gets completely, although it can't answer in time: the
/// stop began while their bodies arrived.
#[tokio::test]
async fn test_stop_request_whose_body_was_arriving_is_not_completed_too_late() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry_of_slow_service(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send_raw(split_body(ONCE).as_bytes()).await;
    upstream.wait_for_heads(3).await;
    during_stop(&entry, async {
        sleep(TOO_LATE).await;
        // The process may have answered already.
        let _ = caller.try_send_raw(b"ody").await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 502, "{}", answer.head);
        assert_eq!(passed_on(&[&upstream]), 0);
    })
    .await;
}

/// Guards against requests that wait for capacity until it is too late, and are passed on then.
#[tokio::test]
async fn test_stop_request_that_waits_for_capacity_is_refused_when_it_is_too_late() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry_of_slow_service(&[&upstream]).await;
    // A response tells that requests of other processes fill the instance.
    upstream.set_capacity(1, 6);
    let filling = caller::call(entry.front(), "GET", READ, "filling").await;
    assert_eq!(filling.status, 200);
    during_stop(&entry, async {
        let mut caller = Caller::connect(entry.front()).await;
        caller.send("POST", ONCE, "waiting", "body").await;
        sleep(TOO_LATE).await;
        upstream.set_capacity(1, 0);
        let freeing = fakes::instance(&upstream, "status");
        entry.core().apply_instances(fakes::HUB, &[freeing], &[]);
        assert_eq!(caller.answer().await.expect("an answer").status, 503);
        assert_eq!(passed_on(&[&upstream]), 1, "the request that filled it");
    })
    .await;
}

/// Guards against retries that are passed on too late.
#[tokio::test]
async fn test_stop_request_that_was_refused_is_not_sent_again_too_late() {
    let upstreams = [
        Upstream::start("i-1", Behavior::Answer).await,
        Upstream::start("i-2", Behavior::Answer).await,
    ];
    let upstreams: Vec<&Upstream> = upstreams.iter().collect();
    let entry = entry_of_slow_service(&upstreams).await;
    for upstream in &upstreams {
        upstream.set_behavior(Behavior::QueueThenShed);
    }
    during_stop(&entry, async {
        let mut caller = Caller::connect(entry.front()).await;
        caller.send("POST", ONCE, "refused", "body").await;
        sleep(TOO_LATE).await;
        for upstream in &upstreams {
            upstream.send_rest();
        }
        assert_eq!(caller.answer().await.expect("an answer").status, 503);
        assert_eq!(passed_on(&upstreams), 1);
    })
    .await;
}

/// Guards against requests that end without an answer because an instance is slower than it was.
#[tokio::test]
async fn test_stop_running_request_is_answered_at_the_end_of_the_grace_period() {
    let upstream = Upstream::start("i-1", Behavior::Hang).await;
    let settings = Settings {
        stop: Stop {
            linger: Duration::from_millis(300),
            grace: Duration::from_secs(1),
        },
        ..fakes::settings()
    };
    let entry = fakes::configure(fakes::start_with(settings).await, &[&upstream]);
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("POST", ONCE, "r-1", "").await;
    upstream.wait_for_requests(1).await;
    let answer = tokio::select! {
        biased;
        answer = caller.answer() => answer,
        () = entry.shut_down() => None,
    };
    let answer = answer.expect("an answer before the process has stopped");
    assert_eq!(answer.status, 502, "{}", answer.head);
}
