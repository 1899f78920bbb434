//! Requests that crash the instances that run them, and those that only resemble them.

mod fakes;

use entry::Entry;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::entry;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;
use quarantine::Fingerprint;
use quarantine::Head;
use wire::hub::Suspect;
use wire::hub::Suspects;

/// Where the fake callers call from.
const CALLER: &str = "127.0.0.1";
/// How long a hub says that a request is refused.
const REFUSED_MS: u64 = 90_000;

fn fingerprint(method: &str, path: &str, body: &str) -> Fingerprint {
    Fingerprint::new(Head::new(CALLER, method, HOST, path), [body.as_bytes()])
}

/// A hub tells that the request is refused.
fn refuse(entry: &Entry, request: Fingerprint) {
    let told = Suspects {
        revision: 1,
        rows: vec![Suspect {
            request: Some(request.into()),
            refused_ms: REFUSED_MS,
        }],
    };
    entry.core().take_suspects(HUB, &told);
}

async fn crashing(count: usize) -> (Vec<Upstream>, Entry) {
    let mut upstreams = Vec::new();
    for number in 0..count {
        upstreams.push(Upstream::start(&format!("i-{number}"), Manner::Crash).await);
    }
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let entry = entry(&all).await;
    (upstreams, entry)
}

fn arrivals(upstreams: &[Upstream]) -> usize {
    upstreams.iter().map(|u| u.arrivals().len()).sum()
}

async fn post(entry: &Entry, id: &str, body: &str) -> Answer {
    let mut caller = Caller::connect(entry.front()).await;
    caller.call("POST", ONCE, id, body).await
}

#[tokio::test]
async fn test_quarantine_request_is_refused_unrun_with_when_to_come_back() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    refuse(&entry, fingerprint("GET", READ, ""));
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!((answer.status, &*answer.body), (503, "quarantined"));
    let back: f64 = answer
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .expect("seconds");
    assert!(back > 60.0 && back <= 90.0, "{back}");
    assert!(upstream.arrivals().is_empty());
}

/// Path, query, method, body and caller are those of another request.
#[tokio::test]
async fn test_quarantine_requests_that_resemble_it_are_served() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    refuse(&entry, fingerprint("POST", ONCE, "bad"));
    assert_eq!(post(&entry, "r-1", "bad").await.status, 503);
    assert_eq!(post(&entry, "r-2", "good").await.status, 200);
    assert_eq!(post(&entry, "r-3", "").await.status, 200);
    let mut caller = Caller::connect(entry.front()).await;
    let path = format!("{ONCE}?a");
    assert_eq!(caller.call("POST", &path, "r-4", "bad").await.status, 200);
    assert_eq!(caller.call("PUT", ONCE, "r-5", "bad").await.status, 200);
    let mut other = Caller::connect_from([127, 0, 0, 2], entry.front()).await;
    assert_eq!(other.call("POST", ONCE, "r-6", "bad").await.status, 200);
    let bodies: Vec<Vec<u8>> = upstream.arrivals().into_iter().map(|a| a.body).collect();
    assert_eq!(bodies, [&b"good"[..], b"", b"bad", b"bad", b"bad"]);
}

/// What its body is shows only at its end, so nothing of it is passed on before.
#[tokio::test]
async fn test_quarantine_body_that_comes_in_parts_is_told_by_all_of_it() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = entry(&[&upstream]).await;
    refuse(&entry, fingerprint("POST", ONCE, "the body"));
    for (id, end, status) in [("r-1", "body", 503), ("r-2", "bodY", 200)] {
        let mut caller = Caller::connect(entry.front()).await;
        let head = format!(
            "POST {ONCE} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
             rwr-deadline-ms: 20000\r\ncontent-length: 8\r\n\r\nthe "
        );
        caller.raw(head.as_bytes()).await;
        caller.raw(end.as_bytes()).await;
        assert_eq!(caller.answer().await.expect("an answer").status, status);
    }
    assert_eq!(upstream.heads(), 1);
}

/// Waits until so many crashes have been counted.
async fn counted(entry: &Entry, count: u64) {
    let mut events = entry.core().events.subscribe();
    let reached = events.wait_for(|number| *number >= count);
    reached.await.expect("the process lives");
}

/// No hub answers this process. Its first request reaches two instances, the second one a
/// third, and a fourth only where that crash is seen late.
#[tokio::test]
async fn test_quarantine_process_alone_refuses_after_the_third_instance() {
    let (upstreams, entry) = crashing(6).await;
    for (id, crashes) in [("r-1", 2), ("r-2", 3)] {
        let answer = call(entry.front(), "GET", READ, id).await;
        assert_eq!(answer.status, 502);
        counted(&entry, crashes).await;
    }
    let before = arrivals(&upstreams);
    assert!(before <= 4, "{before}");
    assert_eq!(call(entry.front(), "GET", READ, "r-3").await.status, 503);
    assert_eq!(arrivals(&upstreams), before);
}

/// A request that may run once comes again under new ids, each time at one instance.
#[tokio::test]
async fn test_quarantine_request_that_runs_once_is_counted_each_time() {
    let (upstreams, entry) = crashing(6).await;
    let request = fingerprint("POST", ONCE, "bad");
    for number in 0..3 {
        let answer = post(&entry, &format!("r-{number}"), "bad").await;
        assert_eq!(answer.status, 502);
        counted(&entry, number + 1).await;
    }
    assert!(entry.core().refused(request).is_some());
    assert_eq!(post(&entry, "r-4", "bad").await.status, 503);
    assert_eq!(arrivals(&upstreams), 3);
}

/// Two instances crashed beside a request that isn't the cause, and a third one answers it.
#[tokio::test]
async fn test_quarantine_request_that_is_answered_is_acquitted() {
    let (mut upstreams, entry) = crashing(2).await;
    assert_eq!(call(entry.front(), "GET", READ, "r-1").await.status, 502);
    counted(&entry, 2).await;
    let well = Upstream::start("i-well", Manner::Answer).await;
    let row = fakes::instance(&well, "status");
    entry.core().take_instances(HUB, &[row], &[]);
    assert_eq!(call(entry.front(), "GET", READ, "r-2").await.status, 200);
    assert!(
        !entry
            .core()
            .tracks_path(Head::new(CALLER, "GET", HOST, READ))
    );
    upstreams.push(well);
}

/// The answers were lost, and the instances run on.
#[tokio::test]
async fn test_quarantine_lost_answers_are_no_crashes() {
    let upstreams = [
        Upstream::start("i-1", Manner::Close).await,
        Upstream::start("i-2", Manner::Truncate).await,
    ];
    let entry = entry(&[&upstreams[0], &upstreams[1]]).await;
    for number in 0..4 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{number}")).await;
        assert_eq!(answer.status, 502);
    }
    assert!(
        !entry
            .core()
            .tracks_path(Head::new(CALLER, "GET", HOST, READ))
    );
}
