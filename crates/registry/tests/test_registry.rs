//! Announcements that come late, twice, and out of order.

use base::prelude::*;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use registry::Registry;
use registry::Taken;
use wire::hub::Instance;
use wire::hub::Phase;

const NOW: Moment = Moment::from_millis(1);

fn at(sequence: u64, phase: Phase) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: phase.into(),
        sequence,
        ..Instance::default()
    }
}

/// A notice of leaving names nothing but the id.
fn gone() -> Instance {
    Instance {
        id: "i-1".into(),
        phase: Phase::Gone.into(),
        ..Instance::default()
    }
}

fn phase(registry: &Registry) -> Option<Phase> {
    registry.get("i-1").map(Instance::phase)
}

#[test]
fn test_registry_takes_what_is_new_and_ignores_what_is_old() {
    let cases = [
        (
            "first",
            vec![at(1, Phase::Ready)],
            Taken::Changed,
            Phase::Ready,
        ),
        (
            "heartbeat",
            vec![at(1, Phase::Ready), at(2, Phase::Ready)],
            Taken::Known,
            Phase::Ready,
        ),
        (
            "drain",
            vec![at(1, Phase::Ready), at(2, Phase::Draining)],
            Taken::Changed,
            Phase::Draining,
        ),
        (
            "late heartbeat after a drain",
            vec![at(3, Phase::Draining), at(2, Phase::Ready)],
            Taken::Stale,
            Phase::Draining,
        ),
        (
            "leaving without a drain",
            vec![at(1, Phase::Ready), gone()],
            Taken::Changed,
            Phase::Gone,
        ),
        (
            "leaving twice",
            vec![at(1, Phase::Ready), gone(), gone()],
            Taken::Known,
            Phase::Gone,
        ),
        (
            "late heartbeat after leaving",
            vec![at(1, Phase::Ready), gone(), at(9, Phase::Ready)],
            Taken::Stale,
            Phase::Gone,
        ),
        (
            "leaving before it was ever announced",
            vec![gone(), at(1, Phase::Ready)],
            Taken::Stale,
            Phase::Gone,
        ),
    ];
    for (name, steps, expected, last) in cases {
        let mut registry = Registry::default();
        let taken: Vec<Taken> = steps.into_iter().map(|i| registry.take(NOW, i)).collect();
        assert_eq!(taken.last(), Some(&expected), "{name}");
        assert_eq!(phase(&registry), Some(last), "{name}");
    }
}

#[test]
fn test_registry_tells_what_changed_since() {
    let mut registry = Registry::default();
    registry.take(NOW, at(1, Phase::Ready));
    let seen = registry.cursor();
    registry.take(NOW, at(2, Phase::Ready));
    assert!(registry.since(seen).is_empty());
    registry.take(NOW, at(3, Phase::Draining));
    assert_eq!(registry.since(seen).len(), 1);
    assert_eq!(registry.since(0).len(), 1);
}

#[test]
fn test_registry_holds_what_it_was_told() {
    let mut registry = Registry::default();
    assert!(!registry.holds(&at(1, Phase::Ready)));
    registry.take(NOW, at(1, Phase::Ready));
    assert!(registry.holds(&at(5, Phase::Ready)));
    assert!(!registry.holds(&at(5, Phase::Draining)));
    registry.take(NOW, gone());
    assert!(registry.holds(&gone()));
}

quickcheck! {
    /// Whatever comes in whatever order, a phase never goes back, and two hubs that
    /// heard the same announcements agree on it.
    fn prop_registry_phases_rise_and_agree(steps: Vec<(u8, u8)>) -> TestResult {
        if steps.is_empty() {
            return TestResult::discard();
        }
        let announcements: Vec<Instance> = steps
            .iter()
            .map(|(sequence, phase)| match phase % 8 {
                0 => gone(),
                1 => at((*sequence).into(), Phase::Draining),
                _ => at((*sequence).into(), Phase::Ready),
            })
            .collect();
        let mut forward = Registry::default();
        let mut last = Phase::Unspecified;
        for announcement in &announcements {
            forward.take(NOW, announcement.clone());
            let now = phase(&forward).unwrap_or_default();
            if now < last {
                return TestResult::failed();
            }
            last = now;
        }
        let mut backward = Registry::default();
        for announcement in announcements.iter().rev() {
            backward.take(NOW, announcement.clone());
        }
        let left = announcements.contains(&gone());
        let agree = phase(&forward) == phase(&backward);
        TestResult::from_bool(!left || agree)
    }
}
