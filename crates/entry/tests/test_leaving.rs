//! Instances that say in their responses that they are shutting down.

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

/// Number of requests sent in turn.
const REQUESTS: usize = 20;

async fn call_in_turn(front: SocketAddr, prefix: &str) -> Vec<Answer> {
    let mut caller = Caller::connect(front).await;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{prefix}-{number}");
        answers.push(caller.call("GET", READ, &id, "").await);
    }
    answers
}

/// Starts an entry process whose only instance behaves like this, and sends requests.
async fn start_leaving(behavior: Behavior) -> (Upstream, Entry) {
    let upstream = Upstream::start("i-1", behavior).await;
    let entry = entry(&[&upstream]).await;
    call_in_turn(entry.front(), "a").await;
    (upstream, entry)
}

fn received(upstream: &Upstream) -> usize {
    upstream.received_requests().len()
}

/// Guards against requests to an instance that has said in a response to one that it leaves.
#[tokio::test]
async fn test_leaving_instance_gets_nothing_after_any_response_that_says_so() {
    let behaviors = [
        Behavior::Leave,
        Behavior::ShedAndLeave,
        Behavior::InterimLeave,
    ];
    for behavior in behaviors {
        let (leaving, entry) = start_leaving(behavior).await;
        leaving.set_behavior(Behavior::Answer);
        let probes = leaving.probes();
        let staying = Upstream::start("i-2", Behavior::Answer).await;
        let rows = [&leaving, &staying].map(|upstream| instance(upstream, "status"));
        entry.core().apply_instances(HUB, &rows, &[]);
        for answer in call_in_turn(entry.front(), "b").await {
            assert_eq!(answer.status, 200, "{behavior:?}");
        }
        assert_eq!(received(&leaving), 1, "{behavior:?}");
        assert_eq!(leaving.probes(), probes, "{behavior:?}");
    }
}

/// Guards against a response of another request that takes an instance out of use.
#[tokio::test]
async fn test_leaving_in_response_of_another_request_is_not_believed() {
    let upstream = Upstream::start("i-1", Behavior::WrongIdAndLeave).await;
    let entry = entry(&[&upstream]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("POST", ONCE, "a", "").await;
    assert_eq!(answer.status, 502);
    upstream.set_behavior(Behavior::Answer);
    for answer in call_in_turn(entry.front(), "b").await {
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a response that isn't passed on because its instance leaves, and against
/// requests that are refused late or without a time to come back as all instances leave at once.
#[tokio::test]
async fn test_leaving_of_all_instances_refuses_at_once() {
    let upstreams = [
        Upstream::start("i-1", Behavior::Leave).await,
        Upstream::start("i-2", Behavior::Leave).await,
    ];
    let entry = entry(&upstreams.iter().collect::<Vec<_>>()).await;
    let answers = call_in_turn(entry.front(), "a").await;
    let answered = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(answered, 2);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(upstreams.each_ref().map(received), [1, 1]);
}

/// Guards against a hub's list, which may be older, that brings the instance back; only a new
/// incarnation does.
#[tokio::test]
async fn test_leaving_outlasts_new_lists_but_not_the_incarnation() {
    let (upstream, entry) = start_leaving(Behavior::Leave).await;
    let apply = |incarnation, sequence, phase: Phase| {
        let row = Instance {
            incarnation,
            sequence,
            phase: phase.into(),
            ..instance(&upstream, "status")
        };
        entry.core().apply_instances(HUB, &[row], &[]);
    };
    for (sequence, phase) in [(2, Phase::Ready), (3, Phase::Draining), (4, Phase::Ready)] {
        apply(0, sequence, phase);
        for answer in call_in_turn(entry.front(), "b").await {
            assert_eq!(answer.status, 503);
        }
    }
    assert_eq!(received(&upstream), 1);
    upstream.set_behavior(Behavior::Answer);
    apply(1, 1, Phase::Ready);
    for answer in call_in_turn(entry.front(), "c").await {
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a rest whose end brings an instance back that has said that it leaves.
#[tokio::test]
async fn test_leaving_outlasts_a_rest() {
    let (upstream, entry) = start_leaving(Behavior::RestAndLeave).await;
    let mut caller = Caller::connect(entry.front()).await;
    upstream.set_behavior(Behavior::Answer);
    let rested = tokio::time::Instant::now() + std::time::Duration::from_millis(100);
    while tokio::time::Instant::now() < rested {
        let answer = caller.call("GET", READ, "r-1", "").await;
        assert_eq!(answer.status, 503);
    }
    assert_eq!(received(&upstream), 1);
}
