//! What an entry process does with a failure domain that an operator has emptied.

mod fakes;

use base::prelude::*;
use entry::Entry;
use evacuation::EvacuationState;
use fakes::HUB;
use fakes::ONCE;
use fakes::bare;
use fakes::caller::call;
use fakes::instance;
use fakes::table;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::place::Placed;

/// Domains `a` and `b` with an upstream each.
async fn two() -> (Entry, [Upstream; 2]) {
    let entry = bare().await;
    entry.core().set_table(table(1));
    let upstreams = [
        Upstream::start("i-1", Manner::Answer).await,
        Upstream::start("i-2", Manner::Answer).await,
    ];
    let rows = upstreams.iter().zip(["a", "b"]);
    let rows: Vec<Instance> = rows
        .map(|(upstream, domain)| Instance {
            domain: domain.into(),
            ..instance(upstream, "status")
        })
        .collect();
    entry.core().take_instances(HUB, &rows, &[]);
    (entry, upstreams)
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

/// Takes an order as a hub would tell it.
fn order(entry: &Entry, held: &mut EvacuationState, name: &str, evacuated: bool) {
    let order = held.order(&domain(name), evacuated);
    held.apply(&order);
    entry.core().take_evacuations(HUB, &held.to_wire());
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
async fn test_evacuation_domain_gets_nothing_until_it_is_taken_back() {
    let (entry, [one, two]) = two().await;
    let mut held = EvacuationState::default();
    order(&entry, &mut held, "a", true);
    assert_eq!(calls(&entry, 20).await, [200; 20]);
    assert_eq!((one.arrivals().len(), two.arrivals().len()), (0, 20));
    // Taken back, it is used again; a hub that is behind changes nothing.
    let before = held.to_wire();
    order(&entry, &mut held, "a", false);
    entry.core().take_evacuations(HUB, &before);
    order(&entry, &mut held, "b", true);
    assert_eq!(calls(&entry, 20).await, [200; 20]);
    assert_eq!((one.arrivals().len(), two.arrivals().len()), (20, 20));
}

/// Instances that announce themselves while their domain is empty get nothing either.
#[tokio::test]
async fn test_evacuation_holds_for_instances_that_come_later() {
    let (entry, [one, two]) = two().await;
    let mut held = EvacuationState::default();
    order(&entry, &mut held, "a", true);
    let late = Upstream::start("i-3", Manner::Answer).await;
    let row = instance(&late, "status");
    entry.core().take_instances(HUB, &[row], &[]);
    assert_eq!(calls(&entry, 10).await, [200; 10]);
    assert_eq!(two.arrivals().len(), 10);
    assert_eq!((one.arrivals().len(), late.arrivals().len()), (0, 0));
    // The same announcement once more doesn't bring it back.
    let again = Instance {
        sequence: 2,
        phase: Phase::Ready.into(),
        ..instance(&late, "status")
    };
    entry.core().take_instances(HUB, &[again], &[]);
    assert_eq!(calls(&entry, 10).await, [200; 10]);
    assert_eq!(late.arrivals().len(), 0);
}

/// A dispatcher that doesn't know yet grants an instance there; nothing is sent.
#[tokio::test]
async fn test_evacuation_grant_of_a_dispatcher_that_is_behind_is_not_used() {
    let (entry, _upstreams) = two().await;
    let service = ServiceName::new("status").expect("a name");
    let placed = |id: &str| Placed {
        instance: id.into(),
        ..Placed::default()
    };
    let usable = |id: &str| {
        let core = entry.core();
        let granted = core.desk(&service, |desk, now| desk.granted(now, &placed(id)));
        granted.flatten().is_some()
    };
    assert!(usable("i-1") && usable("i-2"));
    order(&entry, &mut EvacuationState::default(), "a", true);
    assert!(!usable("i-1") && usable("i-2"));
}

/// All domains at once: nothing can be served, and callers are told so at once.
#[tokio::test]
async fn test_evacuation_of_all_domains_refuses_at_once() {
    let (entry, upstreams) = two().await;
    let mut held = EvacuationState::default();
    order(&entry, &mut held, "a", true);
    order(&entry, &mut held, "b", true);
    let answer = call(entry.front(), "GET", ONCE, "r-1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(upstreams.iter().all(|u| u.arrivals().is_empty()));
}
