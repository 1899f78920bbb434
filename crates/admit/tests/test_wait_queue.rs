//! The order in which waiting requests are served.

use admit::WaitQueue;
use base::prelude::*;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn test_wait_queue_most_urgent_first_and_newest_among_equals() {
    let mut waiting = WaitQueue::default();
    for (priority, owner) in [(1, "a"), (0, "b"), (1, "c"), (0, "d")] {
        waiting.push(priority, at(100), owner);
    }
    let order: Vec<&str> = std::iter::from_fn(|| waiting.pop(at(0))).collect();
    assert_eq!(order, ["d", "b", "c", "a"]);
}

#[test]
fn test_wait_queue_drops_expired_requests() {
    let mut waiting = WaitQueue::default();
    waiting.push(0, at(50), "short");
    waiting.push(1, at(200), "long");
    assert_eq!(waiting.len(at(0)), 2);
    assert_eq!(waiting.len(at(100)), 1);
    assert_eq!(waiting.pop(at(100)), Some("long"));
    assert!(waiting.is_empty());
}
