//! Orders on failure domains, applied in any sequence that the log may produce.

use base::prelude::*;
use evacuation::EvacuationState;
use evacuation::Outcome;
use evacuation::state::MAX_DOMAINS;
use quickcheck::quickcheck;
use wire::hub::Evacuation;

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

/// Creates an order and applies it.
fn order(state: &mut EvacuationState, name: &str, evacuated: bool) -> Outcome {
    let order = state.order(&domain(name), evacuated);
    state.apply(&order)
}

fn evacuated(state: &EvacuationState) -> Vec<&str> {
    state.evacuated().map(DomainName::as_str).collect()
}

#[test]
fn test_domains_order_applies_until_revoked() {
    let mut state = EvacuationState::default();
    assert_eq!(order(&mut state, "a", true), Outcome::Taken);
    assert_eq!(order(&mut state, "a", true), Outcome::Held);
    assert_eq!(order(&mut state, "b", true), Outcome::Taken);
    assert_eq!(evacuated(&state), ["a", "b"]);
    assert_eq!(order(&mut state, "a", false), Outcome::Taken);
    assert_eq!(order(&mut state, "never-named", false), Outcome::Held);
    assert_eq!(evacuated(&state), ["b"]);
    assert_eq!(state.revision(), 3);
}

/// Guards against a late order from the log's queue undoing a newer one.
#[test]
fn test_domains_overtaken_order_changes_nothing() {
    let mut state = EvacuationState::default();
    let late = state.order(&domain("a"), true);
    assert_eq!(order(&mut state, "a", true), Outcome::Taken);
    assert_eq!(order(&mut state, "a", false), Outcome::Taken);
    assert_eq!(state.apply(&late), Outcome::Overtaken);
    assert!(evacuated(&state).is_empty());
    // The same with the values swapped.
    order(&mut state, "a", true);
    let late = state.order(&domain("a"), false);
    order(&mut state, "a", false);
    order(&mut state, "a", true);
    assert_eq!(state.apply(&late), Outcome::Overtaken);
    assert_eq!(evacuated(&state), ["a"]);
}

/// Orders on other domains don't overtake an order.
#[test]
fn test_domains_concurrent_orders_on_other_domains() {
    let mut state = EvacuationState::default();
    let orders: Vec<Evacuation> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .iter()
        .map(|name| state.order(&domain(name), true))
        .collect();
    for order in &orders {
        assert_eq!(state.apply(order), Outcome::Taken);
    }
    assert_eq!(state.evacuated().count(), 8);
}

#[test]
fn test_domains_names_are_bounded() {
    let mut state = EvacuationState::default();
    for index in 0..MAX_DOMAINS {
        assert_eq!(
            order(&mut state, &format!("d-{index}"), true),
            Outcome::Taken
        );
    }
    assert_eq!(order(&mut state, "one-more", true), Outcome::Refused);
    assert_eq!(order(&mut state, "d-0", false), Outcome::Taken);
    let odd = Evacuation {
        domain: "no name".into(),
        evacuated: true,
        base: 0,
    };
    assert_eq!(state.apply(&odd), Outcome::Refused);
}

quickcheck! {
    /// An order that is answered with "taken" or "held" is in force at that moment, revisions
    /// rise with each change only, and the state survives encoding.
    fn prop_domains_answered_orders_were_in_force(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut state = EvacuationState::default();
        let mut queued = Vec::new();
        for (which, evacuated, at_once) in steps {
            let name = domain(["a", "b", "c"][usize::from(which % 3)]);
            queued.push(state.order(&name, evacuated));
            if !at_once {
                continue;
            }
            let order = queued.swap_remove(usize::from(which) % queued.len());
            let before = state.clone();
            let outcome = state.apply(&order);
            let changed = state != before;
            let in_force = state.is_evacuated(&domain(&order.domain)) == order.evacuated;
            let answered = matches!(outcome, Outcome::Taken | Outcome::Held);
            let rises = state.revision() == before.revision() + u64::from(changed);
            if answered && !in_force || changed != (outcome == Outcome::Taken) || !rises {
                return false;
            }
        }
        EvacuationState::from_wire(&state.to_wire()) == Ok(state)
    }
}
