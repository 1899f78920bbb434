//! Orders on failure domains, in every order in which a log may take them.

use base::prelude::*;
use evacuation::EvacuationState;
use evacuation::Outcome;
use evacuation::state::MAX_DOMAINS;
use quickcheck::quickcheck;
use wire::hub::Evacuation;

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

/// Makes an order and applies it at once.
fn order(held: &mut EvacuationState, name: &str, evacuated: bool) -> Outcome {
    let order = held.order(&domain(name), evacuated);
    held.apply(&order)
}

fn evacuated(held: &EvacuationState) -> Vec<&str> {
    held.evacuated().map(DomainName::as_str).collect()
}

#[test]
fn test_domains_order_is_in_force_until_it_is_taken_back() {
    let mut held = EvacuationState::default();
    assert_eq!(order(&mut held, "a", true), Outcome::Taken);
    assert_eq!(order(&mut held, "a", true), Outcome::Held);
    assert_eq!(order(&mut held, "b", true), Outcome::Taken);
    assert_eq!(evacuated(&held), ["a", "b"]);
    assert_eq!(order(&mut held, "a", false), Outcome::Taken);
    assert_eq!(order(&mut held, "never-named", false), Outcome::Held);
    assert_eq!(evacuated(&held), ["b"]);
    assert_eq!(held.revision(), 3);
}

/// A hub gave up on an order that stayed in the log's queue; its operator ordered again
/// by way of another hub, and took it back. What comes out of the queue then is late.
#[test]
fn test_domains_order_that_was_overtaken_changes_nothing() {
    let mut held = EvacuationState::default();
    let late = held.order(&domain("a"), true);
    assert_eq!(order(&mut held, "a", true), Outcome::Taken);
    assert_eq!(order(&mut held, "a", false), Outcome::Taken);
    assert_eq!(held.apply(&late), Outcome::Overtaken);
    assert!(evacuated(&held).is_empty());
    // The same the other way round.
    order(&mut held, "a", true);
    let late = held.order(&domain("a"), false);
    order(&mut held, "a", false);
    order(&mut held, "a", true);
    assert_eq!(held.apply(&late), Outcome::Overtaken);
    assert_eq!(evacuated(&held), ["a"]);
}

/// Orders on other domains overtake nothing.
#[test]
fn test_domains_orders_at_once_are_independent() {
    let mut held = EvacuationState::default();
    let orders: Vec<Evacuation> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .iter()
        .map(|name| held.order(&domain(name), true))
        .collect();
    for order in &orders {
        assert_eq!(held.apply(order), Outcome::Taken);
    }
    assert_eq!(held.evacuated().count(), 8);
}

#[test]
fn test_domains_names_are_bounded() {
    let mut held = EvacuationState::default();
    for index in 0..MAX_DOMAINS {
        assert_eq!(
            order(&mut held, &format!("d-{index}"), true),
            Outcome::Taken
        );
    }
    assert_eq!(order(&mut held, "one-more", true), Outcome::Refused);
    assert_eq!(order(&mut held, "d-0", false), Outcome::Taken);
    let odd = Evacuation {
        domain: "no name".into(),
        evacuated: true,
        base: 0,
    };
    assert_eq!(held.apply(&odd), Outcome::Refused);
}

quickcheck! {
    /// Whatever was queued, each order that was answered with "taken" or "held" was in
    /// force at that moment, revisions rise with each change and only then, and the state
    /// comes back from its message as it was.
    fn prop_domains_answered_orders_were_in_force(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut held = EvacuationState::default();
        let mut queued = Vec::new();
        for (which, evacuated, at_once) in steps {
            let name = domain(["a", "b", "c"][usize::from(which % 3)]);
            queued.push(held.order(&name, evacuated));
            if !at_once {
                continue;
            }
            let order = queued.swap_remove(usize::from(which) % queued.len());
            let before = held.clone();
            let outcome = held.apply(&order);
            let changed = held != before;
            let in_force = held.is_evacuated(&domain(&order.domain)) == order.evacuated;
            let answered = matches!(outcome, Outcome::Taken | Outcome::Held);
            let rises = held.revision() == before.revision() + u64::from(changed);
            if answered && !in_force || changed != (outcome == Outcome::Taken) || !rises {
                return false;
            }
        }
        EvacuationState::from_wire(&held.to_wire()) == Ok(held)
    }
}
