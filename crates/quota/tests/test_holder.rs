//! The token buckets of one process.

use std::time::Duration;

use base::prelude::*;
use quota::Acquired;
use quota::Bound;
use quota::Holder;
use quota::Limit;
use quota::Shares;
use quota::Tokens;

const LIMIT: Limit = Limit {
    rate: 10_000,
    burst: 10,
};
const SHARES: Shares = Shares {
    count: 1,
    spare: Tokens::ZERO,
};
const OWN: &str = "own";

fn workspace() -> WorkspaceName {
    WorkspaceName::new("ledger").expect("a name")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn list(members: &[&str]) -> Vec<String> {
    members.iter().map(ToString::to_string).collect()
}

/// A holder that has been listed alone since 1 s, by hubs that answer.
fn listed_until(end: u64) -> Holder {
    let mut holder = Holder::new(OWN.to_owned(), at(1_000));
    holder.set_list(at(1_000), &list(&[OWN]), SHARES);
    for now in (1_000..=end).step_by(100) {
        holder.hub_answered(at(now));
    }
    holder
}

/// Takes up to `count` permits. Returns their number, and when to come back.
fn take(holder: &mut Holder, now: u64, count: u32) -> (u32, Duration) {
    match holder.acquire(at(now), &workspace(), LIMIT, count, OWN) {
        Acquired::Permits {
            granted,
            retry_after,
            ..
        } => (granted, retry_after),
        Acquired::NotHolder => panic!("it is the holder"),
    }
}

/// Guards against tokens that two holders grant while lists differ.
#[test]
fn test_holder_new_holder_grants_nothing_at_first() {
    let mut holder = listed_until(1_400);
    let (granted, retry_after) = take(&mut holder, 1_400, 1);
    assert_eq!(granted, 0);
    assert!(retry_after >= Duration::from_millis(100));
}

/// Guards against a bucket that accrues only from its first request on.
#[test]
fn test_holder_has_accrued_before_the_first_request() {
    let mut holder = listed_until(5_000);
    assert_eq!(take(&mut holder, 5_000, 20).0, 10);
}

/// Guards against permits without a list, as after a restart of all processes.
#[test]
fn test_holder_without_a_list_grants_nothing() {
    let mut holder = Holder::new(OWN.to_owned(), at(1_000));
    holder.hub_answered(at(9_000));
    let acquired = holder.acquire(at(9_000), &workspace(), LIMIT, 1, OWN);
    assert_eq!(acquired, Acquired::NotHolder);
}

/// Guards against tokens that others have granted while the process was frozen.
#[test]
fn test_holder_is_empty_after_a_freeze() {
    let mut holder = listed_until(5_000);
    assert_eq!(take(&mut holder, 5_000, 1).0, 1);
    assert_eq!(take(&mut holder, 6_100, 1).0, 0);
}

/// Guards against tokens that another holder has granted meanwhile.
#[test]
fn test_holder_is_empty_after_another_was_the_holder() {
    let other = (0..).map(|number| format!("other-{number}"));
    let is_first = |other: &String| {
        let members = [OWN.to_owned(), other.clone()];
        place::rank("ledger", other, &members) == Some(0)
    };
    let other = other.into_iter().find(is_first).expect("one");
    let mut holder = listed_until(5_000);
    assert_eq!(take(&mut holder, 5_000, 1).0, 1);
    holder.set_list(at(5_100), &list(&[OWN, &other]), SHARES);
    let acquired = holder.acquire(at(5_100), &workspace(), LIMIT, 1, OWN);
    assert_eq!(acquired, Acquired::NotHolder);
    holder.set_list(at(5_200), &list(&[OWN]), SHARES);
    assert_eq!(take(&mut holder, 5_200, 1).0, 0);
}

/// Guards against tokens of an earlier, higher burst.
#[test]
fn test_holder_lower_burst_cuts_tokens() {
    let mut holder = listed_until(5_000);
    take(&mut holder, 5_000, 0);
    let lower = Limit { burst: 2, ..LIMIT };
    let acquired = holder.acquire(at(5_000), &workspace(), lower, 10, OWN);
    assert!(matches!(acquired, Acquired::Permits { granted: 2, .. }));
}

/// Guards against tokens that are created by a transfer.
#[test]
fn test_holder_transfer_deducts_what_it_sends() {
    let mut holder = listed_until(5_000);
    let half = Tokens::from_micros(500_000);
    let sent = holder.transfer(at(5_000), &workspace(), LIMIT, half, Tokens::ZERO);
    assert_eq!(sent, Some(half));
    assert_eq!(take(&mut holder, 5_000, 20).0, 9);
}

/// Guards against returned permits that exceed the burst.
#[test]
fn test_holder_returned_permits_stay_within_the_burst() {
    let mut holder = listed_until(5_000);
    holder.give_back(at(5_000), &workspace(), LIMIT, 50);
    assert_eq!(take(&mut holder, 5_000, 50).0, 10);
}

/// Guards against memory for each workspace that was ever used, and against eviction that creates
/// tokens.
#[test]
fn test_holder_evicts_full_buckets_only() {
    let slow = Limit { rate: 1, burst: 10 };
    let mut holder = listed_until(5_000);
    take(&mut holder, 5_000, 10);
    holder.acquire(
        at(5_000),
        &WorkspaceName::new("slow").expect("a name"),
        slow,
        1,
        OWN,
    );
    for now in (5_000..70_000).step_by(500) {
        holder.hub_answered(at(now));
    }
    holder.evict(at(70_000), |_| Some(LIMIT));
    assert_eq!(holder.len(), 1);
    assert_eq!(take(&mut holder, 70_000, 50).0, 10);
}

/// Guards against settings whose shares exceed the bound without a warning.
#[test]
fn test_bound_that_is_too_tight_is_noticed() {
    let tight = Bound {
        overshoot: 0,
        slack: 0,
        ..Bound::default()
    };
    assert!(Bound::default().is_kept(LIMIT, 3));
    assert!(!tight.is_kept(LIMIT, 3));
}

/// Guards against half a second without any permit after a restart of the whole system.
#[test]
fn test_holder_accrues_at_once_after_a_restart_of_the_system() {
    let mut holder = Holder::new(OWN.to_owned(), at(1_000));
    holder.set_list(at(1_000), &list(&[OWN]), SHARES);
    assert_eq!(take(&mut holder, 1_100, 1).0, 0);
    holder.set_system_restarted(at(1_100));
    assert_eq!(take(&mut holder, 1_300, 5).0, 2);
}

/// Guards against late requests that take the tokens of those that can be answered in time.
#[test]
fn test_holder_late_requests_leave_half_of_the_bucket() {
    let mut holder = listed_until(5_000);
    let late = holder.acquire_late(at(5_000), &workspace(), LIMIT, 20, OWN);
    assert!(
        matches!(late, Acquired::Permits { granted: 5, .. }),
        "{late:?}"
    );
    assert_eq!(take(&mut holder, 5_000, 20).0, 5);
}
