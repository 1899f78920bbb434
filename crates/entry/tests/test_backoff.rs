//! Instances that refuse requests and ask for a time without any.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use entry::Entry;
use entry::body::ForwardedBody;
use entry::send;
use entry::send::SendEnd;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::entry;
use fakes::instance;
use fakes::probe;
use fakes::selected;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use wire::hub::Instance;
use wire::hub::Phase;

/// Longer than any test takes.
const LONG_REST: Behavior = Behavior::Rest(503, "600");
/// Time after which a test waits no longer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Interval and number of looks without a new probe after which none is under way.
const QUIET_ROUND: Duration = Duration::from_millis(50);
const QUIET_ROUNDS: usize = 12;
/// Number of requests sent in turn.
const REQUESTS: usize = 40;

async fn start(behaviors: &[Behavior]) -> (Vec<Upstream>, Entry) {
    let mut upstreams = Vec::new();
    for (number, behavior) in (1..).zip(behaviors) {
        upstreams.push(Upstream::start(&format!("i-{number}"), *behavior).await);
    }
    let entry = entry(&upstreams.iter().collect::<Vec<_>>()).await;
    (upstreams, entry)
}

/// Announces `count` more instances, which answer.
async fn add(upstreams: &mut Vec<Upstream>, entry: &Entry, count: usize) {
    for _ in 0..count {
        let id = format!("i-{}", upstreams.len() + 1);
        upstreams.push(Upstream::start(&id, Behavior::Answer).await);
    }
    let rows: Vec<Instance> = upstreams.iter().map(|u| instance(u, "status")).collect();
    entry.core().apply_instances(HUB, &rows, &[]);
}

/// Sends requests in turn, each after the response to the one before.
async fn call_in_turn(front: SocketAddr, path: &str, prefix: &str) -> Vec<Answer> {
    let mut caller = Caller::connect(front).await;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{prefix}-{number}");
        answers.push(caller.call("GET", path, &id, "").await);
    }
    answers
}

fn received(upstream: &Upstream) -> usize {
    upstream.received_requests().len()
}

#[tokio::test]
async fn test_backoff_instance_that_asked_for_it_gets_no_request_and_no_probe() {
    for path in [READ, ONCE] {
        let (mut upstreams, entry) = start(&[LONG_REST]).await;
        call_in_turn(entry.front(), path, "a").await;
        add(&mut upstreams, &entry, 2).await;
        let backed_off = &upstreams[0];
        let probes = backed_off.probes();
        for answer in call_in_turn(entry.front(), path, "b").await {
            assert_eq!(answer.status, 200, "{path}");
        }
        assert_eq!(received(backed_off), 1, "{path}");
        assert_eq!(backed_off.probes(), probes, "{path}");
    }
}

/// Guards against requests that try again where nobody takes any, and against callers who are
/// told to come back before the first rest ends.
#[tokio::test]
async fn test_backoff_of_all_instances_refuses_with_the_end_of_the_first() {
    let rests = [
        Behavior::Rest(503, "900"),
        LONG_REST,
        Behavior::Rest(503, "700"),
    ];
    let (upstreams, entry) = start(&rests).await;
    call_in_turn(entry.front(), READ, "a").await;
    for answer in call_in_turn(entry.front(), READ, "b").await {
        assert_eq!(answer.status, 503);
        let back = answer.header("retry-after").expect("a time to come back");
        let back: f64 = back.parse().expect("a number");
        assert!(back > 500.0, "{back}");
    }
    for upstream in &upstreams {
        assert_eq!(received(upstream), 1);
    }
}

/// Guards against a shorter time that ends a longer one, and against a list of instances that ends
/// any.
#[tokio::test]
async fn test_backoff_outlasts_new_lists_but_not_the_instance() {
    let (upstreams, entry) = start(&[LONG_REST]).await;
    call_in_turn(entry.front(), READ, "a").await;
    let listed = |incarnation, sequence, phase: Phase| Instance {
        incarnation,
        sequence,
        phase: phase.into(),
        ..instance(&upstreams[0], "status")
    };
    let apply = |row| entry.core().apply_instances(HUB, &[row], &[]);
    apply(listed(0, 2, Phase::Draining));
    apply(listed(0, 3, Phase::Ready));
    upstreams[0].set_behavior(Behavior::Answer);
    call_in_turn(entry.front(), READ, "b").await;
    assert_eq!(received(&upstreams[0]), 1);
    apply(listed(1, 1, Phase::Ready));
    for answer in call_in_turn(entry.front(), READ, "c").await {
        assert_eq!(answer.status, 200);
    }
}

/// Guards against requests that are sent although the time has not been understood in full.
#[tokio::test]
async fn test_backoff_that_is_very_long_or_a_fraction_is_kept() {
    for seconds in ["99999999999999999999", "86400.5", "3600"] {
        for status in [503, 429] {
            let (upstreams, entry) = start(&[Behavior::Rest(status, seconds)]).await;
            call_in_turn(entry.front(), READ, "a").await;
            assert_eq!(received(&upstreams[0]), 1, "{status} {seconds}");
        }
    }
}

/// Guards against instances that are lost for good because of a value without a meaning.
#[tokio::test]
async fn test_backoff_of_no_time_or_without_a_number_is_none() {
    for seconds in ["0", "-1", "soon", "Fri, 04 Dec 2026 10:00:00 GMT"] {
        let (upstreams, entry) = start(&[Behavior::Rest(503, seconds)]).await;
        call_in_turn(entry.front(), READ, "a").await;
        upstreams[0].set_behavior(Behavior::Answer);
        let answers = call_in_turn(entry.front(), READ, "b").await;
        assert!(
            answers.iter().any(|answer| answer.status == 200),
            "{seconds}"
        );
    }
}

/// Guards against probes and requests to an instance that asked a probe for rest.
#[tokio::test]
async fn test_backoff_asked_of_a_probe_holds_all() {
    let (upstreams, entry) = start(&[Behavior::Answer]).await;
    upstreams[0].set_health(LONG_REST);
    let core = entry.core();
    let selected = selected(&upstreams[0], &entry);
    for _ in 0..2 {
        probe(&selected, &entry).await;
        let held = async {
            while core.takes_requests(&selected) {
                tokio::task::yield_now().await;
            }
        };
        let held = tokio::time::timeout(PATIENCE, held);
        held.await.expect("the response arrives");
    }
    assert_eq!(upstreams[0].probes(), 1);
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(received(&upstreams[0]), 0);
}

/// Guards against requests that were under way to an instance as it asked another one for rest.
#[tokio::test]
async fn test_backoff_concurrent_requests_stop_once_one_was_turned_away() {
    let (upstreams, entry) = start(&[LONG_REST, LONG_REST, LONG_REST]).await;
    let front = entry.front();
    let calls = (0..30).map(|number| async move {
        let mut caller = Caller::connect(front).await;
        caller.call("GET", READ, &format!("a-{number}"), "").await
    });
    futures::future::join_all(calls).await;
    // Probes that were sent before their instance asked for rest may still be under way.
    wait_for_quiet(&upstreams).await;
    let before: Vec<usize> = upstreams.iter().map(received).collect();
    let probes: Vec<usize> = upstreams.iter().map(Upstream::probes).collect();
    call_in_turn(front, ONCE, "b").await;
    wait_for_quiet(&upstreams).await;
    // Instances that none of the concurrent requests reached may get one now, and a probe before it.
    for ((upstream, before), probes) in upstreams.iter().zip(before).zip(probes) {
        assert_eq!(received(upstream), before.max(1));
        let allowed = probes + usize::from(before == 0);
        assert!(upstream.probes() <= allowed, "{} probes", upstream.probes());
    }
}

/// Waits until no probe has arrived for as many rounds as a probe takes at most, with a margin.
async fn wait_for_quiet(upstreams: &[Upstream]) {
    let mut quiet = 0;
    let mut last = None;
    while quiet < QUIET_ROUNDS {
        tokio::time::sleep(QUIET_ROUND).await;
        let probes: Vec<usize> = upstreams.iter().map(Upstream::probes).collect();
        let probes = Some(probes);
        quiet = if probes == last { quiet + 1 } else { 0 };
        last = probes;
    }
}

/// Guards against an instance that stays without requests after its rest.
#[tokio::test]
async fn test_backoff_ends() {
    let (upstreams, entry) = start(&[Behavior::Rest(503, "0.2")]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("GET", READ, "a", "").await;
    upstreams[0].set_behavior(Behavior::Answer);
    assert_eq!(answer.status, 503);
    for number in 0.. {
        if caller
            .call("GET", READ, &format!("b-{number}"), "")
            .await
            .status
            == 200
        {
            break;
        }
    }
}

/// Guards against sending to an instance that asked for a backoff after it had been selected.
#[tokio::test]
async fn test_backoff_is_checked_right_before_a_request_is_sent() {
    let (upstreams, entry) = start(&[Behavior::Answer]).await;
    let core = entry.core();
    let selected = &selected(&upstreams[0], &entry);
    let request = || Request::new(ForwardedBody::Whole(None));
    let end = send::send(core, selected, request(), "r-1", || {}).await;
    assert!(matches!(end, SendEnd::Response(..)));
    let mut headers = HeaderMap::new();
    headers.insert("retry-after", HeaderValue::from_static("600"));
    core.record_notices(selected, StatusCode::SERVICE_UNAVAILABLE, &headers, "r-0");
    let end = send::send(core, selected, request(), "r-2", || {}).await;
    assert!(matches!(end, SendEnd::Withheld));
    assert_eq!(received(&upstreams[0]), 1);
}
