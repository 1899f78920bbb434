//! The order and the shares of a queue that is fair between workspaces.

use std::collections::HashMap;

use admit::FairQueue;
use admit::WaitQueue;
use admit::Waiting;
use base::prelude::*;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn of(workspace: &str, weight: f64) -> Waiting {
    Waiting {
        workspace: WorkspaceName::new(workspace).ok(),
        weight,
        ..Waiting::new(0, at(10_000))
    }
}

/// Guards against a changed order in deployments without workspaces.
#[test]
fn test_fair_queue_equals_wait_queue_without_workspaces() {
    fn schedule(seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut fair, mut plain) = (FairQueue::default(), WaitQueue::default());
        let mut now = 0;
        for number in 0..300 {
            now += rng.random_range(0..40);
            if rng.random_range(0..5) < 3 {
                let priority = rng.random_range(0..3) + 1_000 * rng.random_range(0..2);
                let deadline = at(now + rng.random_range(0..200));
                fair.push(at(now), Waiting::new(priority, deadline), number);
                plain.push(priority, deadline, number);
            } else if fair.pop(at(now)) != plain.pop(at(now)) {
                return false;
            }
            if fair.len(at(now)) != plain.len(at(now)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(schedule as fn(u64) -> bool);
}

/// Guards against a workspace that takes the slots of others by sending more than they do, also
/// where requests are queued anew every few milliseconds.
#[test]
fn test_fair_queue_shares_slots_by_weight() {
    let mut queue = FairQueue::default();
    let mut served: HashMap<&str, u32> = HashMap::new();
    for turn in 0..600 {
        let now = at(turn * 10);
        for (workspace, weight, count) in [("flood", 1.0, 20), ("usual", 1.0, 3), ("large", 3.0, 6)]
        {
            for _ in 0..count {
                let waiting = Waiting {
                    deadline: now + std::time::Duration::from_millis(10),
                    ..of(workspace, weight)
                };
                queue.push(now, waiting, workspace);
            }
        }
        for _ in 0..2 {
            *served
                .entry(queue.pop(now).expect("some wait"))
                .or_default() += 1;
        }
    }
    let share = |workspace| f64::from(served[workspace]) / 1_200.0;
    for (workspace, due) in [("flood", 0.2), ("usual", 0.2), ("large", 0.6)] {
        assert!((share(workspace) - due).abs() < 0.01, "{served:?}");
    }
}

/// Guards against a workspace that gets slots without waiting beside the slots that it waits for.
#[test]
fn test_fair_queue_charges_requests_that_did_not_wait() {
    let mut queue = FairQueue::default();
    for number in 0..6 {
        queue.push(at(0), of("a", 1.0), ("a", number));
        queue.push(at(0), of("b", 1.0), ("b", number));
    }
    assert!(!queue.goes_first(at(0), &of("a", 1.0)));
    for _ in 0..3 {
        queue.charge(at(0), &of("a", 1.0));
    }
    assert!(queue.goes_first(at(0), &of("a", 1.0)));
    assert!(!queue.goes_first(at(0), &of("b", 1.0)));
    let next = std::iter::from_fn(|| queue.pop(at(0))).map(|(workspace, _)| workspace);
    let order: String = next.take(8).collect();
    assert_eq!(order, "bbbababa");
}

/// Guards against a flood that goes before more urgent requests, or late requests before others.
#[test]
fn test_fair_queue_urgency_goes_before_fairness() {
    let mut queue = FairQueue::default();
    for (priority, workspace) in [
        (1_016, "late"),
        (17, "second"),
        (16, "first"),
        (16, "first"),
    ] {
        let waiting = Waiting {
            priority,
            ..of(workspace, 1.0)
        };
        queue.push(at(0), waiting, workspace);
    }
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop(at(0))).collect();
    assert_eq!(order, ["first", "first", "second", "late"]);
}

/// Guards against requests that come back and are overtaken by new ones of their workspace.
#[test]
fn test_fair_queue_returning_requests_go_before_new_ones() {
    let mut queue = FairQueue::default();
    for (returning, name) in [(true, "old"), (true, "back"), (false, "new")] {
        let waiting = Waiting {
            returning,
            ..of("a", 1.0)
        };
        queue.push(at(0), waiting, name);
    }
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop(at(0))).collect();
    assert_eq!(order, ["back", "old", "new"]);
}

/// Guards against holding requests that can't be served in time, and against refusing others.
#[test]
fn test_fair_queue_least_urgent_yields_when_the_queue_is_too_long() {
    let mut queue = FairQueue::default();
    let push = |queue: &mut FairQueue<&str>, priority, patience, name| {
        let waiting = Waiting {
            priority,
            patience_end: at(patience),
            ..Waiting::new(priority, at(10_000))
        };
        queue.push(at(0), waiting, name);
    };
    // At 10 slots per second, the third request in the queue gets one after 300 ms.
    push(&mut queue, 5, 250, "low");
    push(&mut queue, 3, 250, "middle");
    assert!(queue.take_hopeless(at(0), 10.0).is_empty());
    push(&mut queue, 1, 250, "high");
    assert_eq!(queue.take_hopeless(at(0), 10.0), ["low"]);
    push(&mut queue, 9, 250, "last");
    assert_eq!(queue.take_hopeless(at(0), 10.0), ["last"]);
    push(&mut queue, 9, 400, "patient");
    assert!(queue.take_hopeless(at(0), 10.0).is_empty());
    assert_eq!(queue.len(at(0)), 3);
}

/// Guards against an idle service that refuses its only waiting request.
#[test]
fn test_fair_queue_first_request_is_never_hopeless() {
    let mut queue = FairQueue::default();
    queue.push(at(0), Waiting::new(0, at(1)), "only");
    assert!(queue.take_hopeless(at(0), 0.1).is_empty());
}
