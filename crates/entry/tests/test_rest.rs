//! Instances that refuse requests and ask for a time without any.

mod fakes;

use std::net::SocketAddr;

use entry::Entry;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::entry;
use fakes::instance;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use wire::hub::Instance;
use wire::hub::Phase;

/// Longer than any test takes.
const LONG_REST: Behavior = Behavior::Rest(503, "600");
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
async fn test_rest_instance_that_asked_for_it_gets_no_request_and_no_probe() {
    for path in [READ, ONCE] {
        let (upstreams, entry) = start(&[LONG_REST, Behavior::Answer, Behavior::Answer]).await;
        let resting = &upstreams[0];
        let mut caller = Caller::connect(entry.front()).await;
        for number in 0.. {
            if received(resting) > 0 {
                break;
            }
            caller.call("GET", path, &format!("a-{number}"), "").await;
        }
        let probes = resting.probes();
        for answer in call_in_turn(entry.front(), path, "b").await {
            assert_eq!(answer.status, 200, "{path}");
        }
        assert_eq!(received(resting), 1, "{path}");
        assert_eq!(resting.probes(), probes, "{path}");
    }
}

/// Guards against requests that try again where nobody takes any, and against callers who are
/// told to come back before the first rest ends.
#[tokio::test]
async fn test_rest_of_all_instances_refuses_with_the_end_of_the_first() {
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
async fn test_rest_outlasts_new_lists_but_not_the_instance() {
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
async fn test_rest_that_is_very_long_or_a_fraction_is_kept() {
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
async fn test_rest_of_no_time_or_without_a_number_is_none() {
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

/// Guards against probes to an instance that asked a probe for rest.
#[tokio::test]
async fn test_rest_asked_of_a_probe_holds_requests_too() {
    let (upstreams, entry) = start(&[Behavior::Answer, Behavior::Answer]).await;
    upstreams[0].set_health(LONG_REST);
    while upstreams[0].probes() == 0 {
        call_in_turn(entry.front(), READ, "a").await;
    }
    // The probe may end after the request for which it was sent.
    call_in_turn(entry.front(), READ, "b").await;
    let (requests, probes) = (received(&upstreams[0]), upstreams[0].probes());
    for answer in call_in_turn(entry.front(), READ, "c").await {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        (received(&upstreams[0]), upstreams[0].probes()),
        (requests, probes)
    );
}

/// Guards against requests that were under way to an instance as it asked another one for rest.
#[tokio::test]
async fn test_rest_concurrent_requests_stop_once_one_was_turned_away() {
    let (upstreams, entry) = start(&[LONG_REST, LONG_REST, LONG_REST]).await;
    let front = entry.front();
    let calls = (0..30).map(|number| async move {
        let mut caller = Caller::connect(front).await;
        caller.call("GET", READ, &format!("a-{number}"), "").await
    });
    futures::future::join_all(calls).await;
    let before: Vec<usize> = upstreams.iter().map(received).collect();
    let probes: Vec<usize> = upstreams.iter().map(Upstream::probes).collect();
    call_in_turn(front, ONCE, "b").await;
    // Instances that none of the concurrent requests reached may get one now.
    for (upstream, before) in upstreams.iter().zip(before) {
        assert_eq!(received(upstream), before.max(1));
    }
    for (upstream, probes) in upstreams.iter().zip(probes) {
        assert!(upstream.probes() <= probes + 1);
    }
}

/// Guards against an instance that stays without requests after its rest.
#[tokio::test]
async fn test_rest_ends() {
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
