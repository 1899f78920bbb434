//! Selection of dispatchers, the circuit breaker, grants and the dispatcher's role.

use base::prelude::*;
use dispatch::CircuitBreaker;
use dispatch::DispatcherLocation;
use dispatch::DispatcherRole;
use dispatch::Grants;
use dispatch::dispatcher;
use quickcheck::quickcheck;
use std::collections::BTreeSet;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn service(number: u32) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("a name")
}

fn hosts(count: u32) -> Vec<String> {
    (0..count).map(|n| format!("10.0.0.{n}:7013")).collect()
}

fn dispatcher_of(number: u32, hosts: &[String]) -> Option<&str> {
    dispatcher(&service(number), hosts.iter().map(String::as_str))
}

#[test]
fn test_dispatcher_services_spread_over_the_hosts() {
    let hosts = hosts(17);
    let used: BTreeSet<&str> = (0..100).filter_map(|n| dispatcher_of(n, &hosts)).collect();
    assert!(used.len() >= 15, "{} of 17", used.len());
    assert_eq!(dispatcher_of(1, &[]), None);
}

quickcheck! {
    /// The order of the hosts and the removal of others don't matter.
    fn prop_dispatcher_moves_only_when_it_leaves(number: u32, leaver: u8) -> bool {
        let all = hosts(17);
        let first = dispatcher_of(number, &all);
        let mut remaining = all.clone();
        let leaver = remaining.remove(usize::from(leaver) % 17);
        remaining.reverse();
        let second = dispatcher_of(number, &remaining);
        first == Some(leaver.as_str()) || first == second
    }
}

#[test]
fn test_breaker_opens_without_answers() {
    let mut breaker = CircuitBreaker::default();
    assert!(breaker.allow_request(at(0)));
    // Requests are allowed until the timeout since the first one.
    assert!(breaker.allow_request(at(59)));
    assert!(!breaker.allow_request(at(60)));
    assert!(!breaker.allow_request(at(300)));
    assert!(breaker.is_open());
    breaker.failed(at(100));
    breaker.failed(at(160));
    // Requests are allowed again 250 ms after the last failure.
    assert!(!breaker.allow_request(at(409)));
    assert!(breaker.allow_request(at(410)));
    breaker.answered(at(412));
    assert!(!breaker.is_open() && breaker.allow_request(at(413)));
}

#[test]
fn test_breaker_any_answer_keeps_it_closed() {
    let mut breaker = CircuitBreaker::default();
    for step in 0..100 {
        assert!(breaker.allow_request(at(step * 30)), "step {step}");
        if step > 0 {
            breaker.answered(at(step * 30 + 1));
        }
    }
    // The first request was never answered and is cancelled by its caller.
    breaker.cancelled();
    assert!(breaker.allow_request(at(60_000)));
}

#[test]
fn test_grants_expire() {
    let mut grants = Grants::with_first_id(70);
    let one = grants.grant(at(100), "one");
    let two = grants.grant(at(200), "two");
    assert_eq!((one, two, grants.len()), (70, 71, 2));
    assert_eq!(grants.take(two), Some("two"));
    assert_eq!(grants.take(two), None);
    assert!(grants.take_expired(at(99)).is_empty());
    assert_eq!(grants.take_expired(at(100)), ["one"]);
    // A grant that is returned after its expiry is ignored.
    assert_eq!(grants.take(one), None);
    assert!(grants.is_empty());
}

#[test]
fn test_role_new_dispatcher_waits_before_spending() {
    let mut dispatcher_role = DispatcherRole::default();
    dispatcher_role.set(at(0), DispatcherLocation::Remote);
    dispatcher_role.set(at(100), DispatcherLocation::Local);
    dispatcher_role.set(at(300), DispatcherLocation::Local);
    assert!(!dispatcher_role.may_spend_shared(at(399)));
    assert!(dispatcher_role.may_spend_shared(at(400)));
    dispatcher_role.set(at(500), DispatcherLocation::Remote);
    assert!(!dispatcher_role.may_spend_shared(at(900)));
    dispatcher_role.set(at(1_000), DispatcherLocation::Local);
    assert!(!dispatcher_role.may_spend_shared(at(1_299)));
    // After a restart of all processes there is no previous dispatcher.
    let mut dispatcher_role = DispatcherRole::default();
    dispatcher_role.set(at(0), DispatcherLocation::Local);
    assert!(dispatcher_role.may_spend_shared(at(0)));
}
