//! Evacuation of failure domains by an operator.

mod fakes;

use base::prelude::*;
use entry::Entry;
use evacuation::EvacuationState;
use fakes::HUB;
use fakes::ONCE;
use fakes::caller::call;
use fakes::instance;
use fakes::start_unconfigured;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::place::Placed;

/// An entry process with an upstream in each of the domains `a` and `b`.
async fn two_domains() -> (Entry, [Upstream; 2]) {
    let entry = start_unconfigured().await;
    entry.core().set_table(table(1));
    let upstreams = [
        Upstream::start("i-1", Behavior::Answer).await,
        Upstream::start("i-2", Behavior::Answer).await,
    ];
    let instances = upstreams.iter().zip(["a", "b"]);
    let instances: Vec<Instance> = instances
        .map(|(upstream, domain)| Instance {
            domain: domain.into(),
            ..instance(upstream, "status")
        })
        .collect();
    entry.core().apply_instances(HUB, &instances, &[]);
    (entry, upstreams)
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

/// Applies an order as reported by a hub.
fn apply_order(entry: &Entry, evacuations: &mut EvacuationState, name: &str, evacuated: bool) {
    let order = evacuations.order(&domain(name), evacuated);
    evacuations.apply(&order);
    entry.core().apply_evacuations(HUB, &evacuations.to_wire());
}

async fn calls(entry: &Entry, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let id = format!("r-{number}");
        statuses.push(call(entry.front(), "GET", ONCE, &id).await.status);
    }
    statuses
}

#[tokio::test]
async fn test_evacuation_domain_gets_nothing_until_revoked() {
    let (entry, [one, two]) = two_domains().await;
    let mut evacuations = EvacuationState::default();
    apply_order(&entry, &mut evacuations, "a", true);
    assert_eq!(calls(&entry, 20).await, [200; 20]);
    assert_eq!(
        (one.received_requests().len(), two.received_requests().len()),
        (0, 20)
    );
    // A revoked evacuation no longer applies, and an outdated report of it is ignored.
    let before = evacuations.to_wire();
    apply_order(&entry, &mut evacuations, "a", false);
    entry.core().apply_evacuations(HUB, &before);
    apply_order(&entry, &mut evacuations, "b", true);
    assert_eq!(calls(&entry, 20).await, [200; 20]);
    assert_eq!(
        (one.received_requests().len(), two.received_requests().len()),
        (20, 20)
    );
}

/// Guards against using instances that are announced during the evacuation of their domain.
#[tokio::test]
async fn test_evacuation_applies_to_instances_announced_later() {
    let (entry, [one, two]) = two_domains().await;
    let mut evacuations = EvacuationState::default();
    apply_order(&entry, &mut evacuations, "a", true);
    let late = Upstream::start("i-3", Behavior::Answer).await;
    let announced = instance(&late, "status");
    entry.core().apply_instances(HUB, &[announced], &[]);
    assert_eq!(calls(&entry, 10).await, [200; 10]);
    assert_eq!(two.received_requests().len(), 10);
    assert_eq!(
        (
            one.received_requests().len(),
            late.received_requests().len()
        ),
        (0, 0)
    );
    // A newer announcement doesn't lift the evacuation.
    let again = Instance {
        sequence: 2,
        phase: Phase::Ready.into(),
        ..instance(&late, "status")
    };
    entry.core().apply_instances(HUB, &[again], &[]);
    assert_eq!(calls(&entry, 10).await, [200; 10]);
    assert_eq!(late.received_requests().len(), 0);
}

/// Guards against using the grant of a dispatcher that doesn't know of the evacuation yet.
#[tokio::test]
async fn test_evacuation_grant_of_a_dispatcher_that_is_behind_is_not_used() {
    let (entry, _upstreams) = two_domains().await;
    let service = ServiceName::new("status").expect("a name");
    let placed = |id: &str| Placed {
        instance: id.into(),
        ..Placed::default()
    };
    let usable = |id: &str| {
        let core = entry.core();
        let accept_grant = core.balancer(&service, |balancer, now| {
            balancer.accept_grant(now, &placed(id))
        });
        accept_grant.flatten().is_some()
    };
    assert!(usable("i-1") && usable("i-2"));
    apply_order(&entry, &mut EvacuationState::default(), "a", true);
    assert!(!usable("i-1") && usable("i-2"));
}

/// Guards against requests that wait although every domain is evacuated.
#[tokio::test]
async fn test_evacuation_of_all_domains_refuses_at_once() {
    let (entry, upstreams) = two_domains().await;
    let mut evacuations = EvacuationState::default();
    apply_order(&entry, &mut evacuations, "a", true);
    apply_order(&entry, &mut evacuations, "b", true);
    let answer = call(entry.front(), "GET", ONCE, "r-1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(upstreams.iter().all(|u| u.received_requests().is_empty()));
}
