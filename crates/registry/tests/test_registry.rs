//! Applying delayed, duplicated and reordered announcements.

use std::time::Duration;

use base::prelude::*;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use registry::AnnouncementError;
use registry::ApplyOutcome;
use registry::Registry;
use registry::check;
use registry::pack;
use registry::unpack;
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

/// An announcement with phase `Gone` has no field but the id.
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
fn test_registry_applies_new_and_ignores_old_announcements() {
    let cases = [
        (
            "first",
            vec![at(1, Phase::Ready)],
            ApplyOutcome::Changed,
            Phase::Ready,
        ),
        (
            "heartbeat",
            vec![at(1, Phase::Ready), at(2, Phase::Ready)],
            ApplyOutcome::Known,
            Phase::Ready,
        ),
        (
            "drain",
            vec![at(1, Phase::Ready), at(2, Phase::Draining)],
            ApplyOutcome::Changed,
            Phase::Draining,
        ),
        (
            "late heartbeat after a drain",
            vec![at(3, Phase::Draining), at(2, Phase::Ready)],
            ApplyOutcome::Stale,
            Phase::Draining,
        ),
        (
            "gone without a drain",
            vec![at(1, Phase::Ready), gone()],
            ApplyOutcome::Changed,
            Phase::Gone,
        ),
        (
            "gone twice",
            vec![at(1, Phase::Ready), gone(), gone()],
            ApplyOutcome::Known,
            Phase::Gone,
        ),
        (
            "late heartbeat after gone",
            vec![at(1, Phase::Ready), gone(), at(9, Phase::Ready)],
            ApplyOutcome::Stale,
            Phase::Gone,
        ),
        (
            "gone before the first announcement",
            vec![gone(), at(1, Phase::Ready)],
            ApplyOutcome::Stale,
            Phase::Gone,
        ),
    ];
    for (name, steps, expected, last) in cases {
        let mut registry = Registry::default();
        let outcomes: Vec<ApplyOutcome> =
            steps.into_iter().map(|i| registry.apply(NOW, i)).collect();
        assert_eq!(outcomes.last(), Some(&expected), "{name}");
        assert_eq!(phase(&registry), Some(last), "{name}");
    }
}

#[test]
fn test_registry_returns_changes_since_cursor() {
    let mut registry = Registry::default();
    registry.apply(NOW, at(1, Phase::Ready));
    let seen = registry.cursor();
    registry.apply(NOW, at(2, Phase::Ready));
    assert!(registry.changed_since(seen).is_empty());
    registry.apply(NOW, at(3, Phase::Draining));
    assert_eq!(registry.changed_since(seen).len(), 1);
    assert_eq!(registry.changed_since(0).len(), 1);
}

#[test]
fn test_registry_knows_applied_announcements() {
    let mut registry = Registry::default();
    assert!(!registry.is_known(&at(1, Phase::Ready)));
    registry.apply(NOW, at(1, Phase::Ready));
    assert!(registry.is_known(&at(5, Phase::Ready)));
    assert!(!registry.is_known(&at(5, Phase::Draining)));
    registry.apply(NOW, gone());
    assert!(registry.is_known(&gone()));
}

/// An announcement of an incarnation.
fn of_incarnation(incarnation: u64, sequence: u64, phase: Phase) -> Instance {
    Instance {
        incarnation,
        ..at(sequence, phase)
    }
}

#[test]
fn test_registry_later_incarnation_replaces_earlier_one() {
    use Phase::Draining;
    use Phase::Gone;
    use Phase::Ready;
    let cases = [
        (
            "sequence starts anew",
            vec![of_incarnation(1, 9, Ready), of_incarnation(2, 1, Ready)],
            ApplyOutcome::Changed,
            (2, Ready),
        ),
        (
            "after a drain",
            vec![of_incarnation(1, 9, Draining), of_incarnation(2, 1, Ready)],
            ApplyOutcome::Changed,
            (2, Ready),
        ),
        (
            "after it is gone",
            vec![
                of_incarnation(1, 9, Ready),
                of_incarnation(1, 0, Gone),
                of_incarnation(2, 1, Ready),
            ],
            ApplyOutcome::Changed,
            (2, Ready),
        ),
        (
            "late announcement of the earlier one",
            vec![of_incarnation(2, 1, Ready), of_incarnation(1, 9, Draining)],
            ApplyOutcome::Stale,
            (2, Ready),
        ),
        (
            "earlier one gone late",
            vec![of_incarnation(2, 1, Ready), of_incarnation(1, 0, Gone)],
            ApplyOutcome::Stale,
            (2, Ready),
        ),
        (
            "gone without incarnation",
            vec![of_incarnation(2, 1, Ready), gone()],
            ApplyOutcome::Changed,
            (2, Gone),
        ),
        (
            "announcement without incarnation",
            vec![of_incarnation(2, 1, Ready), at(9, Draining)],
            ApplyOutcome::Stale,
            (2, Ready),
        ),
        (
            "incarnation after none",
            vec![at(9, Draining), of_incarnation(1, 1, Ready)],
            ApplyOutcome::Changed,
            (1, Ready),
        ),
        (
            "later one gone first",
            vec![
                of_incarnation(1, 9, Ready),
                of_incarnation(2, 0, Gone),
                of_incarnation(2, 1, Ready),
            ],
            ApplyOutcome::Stale,
            (2, Gone),
        ),
    ];
    for (name, steps, expected, last) in cases {
        let mut registry = Registry::default();
        let outcomes: Vec<ApplyOutcome> =
            steps.into_iter().map(|i| registry.apply(NOW, i)).collect();
        assert_eq!(outcomes.last(), Some(&expected), "{name}");
        let instance = registry.get("i-1").expect("an instance");
        assert_eq!((instance.incarnation, instance.phase()), last, "{name}");
    }
}

/// An announcement must not move an instance to another service.
#[test]
fn test_registry_instance_stays_with_its_service() {
    let mut registry = Registry::default();
    registry.apply(NOW, at(1, Phase::Ready));
    let other = Instance {
        service: "other".into(),
        ..at(2, Phase::Ready)
    };
    assert_eq!(registry.apply(NOW, other), ApplyOutcome::Stale);
    assert_eq!(registry.get("i-1").map(|i| &*i.service), Some("status"));
}

#[test]
fn test_registry_ignores_invalid_announcements() {
    let ready = at(1, Phase::Ready);
    let address = |text: &str| Instance {
        address: text.into(),
        ..ready.clone()
    };
    let cases = [
        (
            "no id",
            Instance {
                id: String::new(),
                ..ready.clone()
            },
        ),
        (
            "invalid id",
            Instance {
                id: "a b".into(),
                ..ready.clone()
            },
        ),
        (
            "no service",
            Instance {
                service: String::new(),
                ..ready.clone()
            },
        ),
        (
            "no failure domain",
            Instance {
                domain: String::new(),
                ..ready.clone()
            },
        ),
        ("no address", address("")),
        ("address without a port", address("127.0.0.1")),
        ("port 0", address("127.0.0.1:0")),
        ("host name", address("localhost:80")),
        ("unspecified address", address("0.0.0.0:80")),
        (
            "no slot",
            Instance {
                slots: 0,
                ..ready.clone()
            },
        ),
        (
            "too many slots",
            Instance {
                slots: u32::MAX,
                ..ready.clone()
            },
        ),
        (
            "no phase",
            Instance {
                phase: 0,
                ..ready.clone()
            },
        ),
        (
            "unknown phase",
            Instance {
                phase: 17,
                ..ready.clone()
            },
        ),
    ];
    for (name, bad) in cases {
        let mut registry = Registry::default();
        registry.apply(NOW, ready.clone());
        assert_eq!(registry.apply(NOW, bad), ApplyOutcome::Unusable, "{name}");
        assert_eq!(registry.all().collect::<Vec<_>>(), [&ready], "{name}");
    }
    assert_eq!(check(&gone()), Ok(()));
    assert_eq!(
        check(&Instance { slots: 0, ..ready }),
        Err(AnnouncementError::Slots(0))
    );
}

quickcheck! {
    /// In any order of announcements, the incarnation never goes back and the phase only with a
    /// later incarnation, and opposite orders agree on the incarnation and on `Gone`.
    fn prop_registry_incarnations_rise_and_agree(steps: Vec<(u8, u8, u8)>) -> bool {
        let announcements: Vec<Instance> = steps
            .iter()
            .map(|(incarnation, sequence, phase)| {
                let incarnation = u64::from(incarnation % 4) + 1;
                match phase % 8 {
                    0 => of_incarnation(incarnation, 0, Phase::Gone),
                    1 => of_incarnation(incarnation, (*sequence).into(), Phase::Draining),
                    _ => of_incarnation(incarnation, (*sequence).into(), Phase::Ready),
                }
            })
            .collect();
        let mut forward = Registry::default();
        let mut last = (0, Phase::Unspecified);
        for announcement in &announcements {
            forward.apply(NOW, announcement.clone());
            let now = forward.get("i-1").map(|i| (i.incarnation, i.phase()));
            if now < Some(last) {
                return false;
            }
            last = now.unwrap_or(last);
        }
        let mut backward = Registry::default();
        for announcement in announcements.iter().rev() {
            backward.apply(NOW, announcement.clone());
        }
        let newest = announcements.iter().map(|i| i.incarnation).max().unwrap_or_default();
        let is_gone = announcements.contains(&of_incarnation(newest, 0, Phase::Gone));
        let last = |registry: &Registry| registry.get("i-1").map(|i| (i.incarnation, i.phase()));
        let agree = [&forward, &backward].iter().all(|registry| {
            last(registry).is_none_or(|(incarnation, phase)| {
                incarnation == newest && (phase == Phase::Gone) == is_gone
            })
        });
        agree && forward.all().count() == usize::from(!steps.is_empty())
    }

    /// In any order of announcements, the phase never goes back, and opposite orders agree on
    /// `Gone`.
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
            forward.apply(NOW, announcement.clone());
            let now = phase(&forward).unwrap_or_default();
            if now < last {
                return TestResult::failed();
            }
            last = now;
        }
        let mut backward = Registry::default();
        for announcement in announcements.iter().rev() {
            backward.apply(NOW, announcement.clone());
        }
        let is_gone = announcements.contains(&gone());
        let agree = phase(&forward) == phase(&backward);
        TestResult::from_bool(!is_gone || agree)
    }
}

#[test]
fn test_registry_packed_list_is_small() {
    let instances: Vec<Instance> = (0..500_u32)
        .map(|i| Instance {
            id: format!(
                "i-{:010x}",
                u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24
            ),
            address: format!("10.{}.64.{}:8400", i % 3, i % 250),
            sequence: u64::from(i % 40),
            incarnation: 1_787_360_900_000 + u64::from(i) * 137,
            ..at(1, Phase::Ready)
        })
        .collect();
    let packed = pack(instances.clone()).expect("packs");
    assert!(packed.len() < 13_000, "{} bytes", packed.len());
    assert_eq!(unpack(&packed).expect("unpacks"), instances);
    assert!(unpack(&packed[..packed.len() / 2]).is_err());
    assert!(unpack(b"other").is_err());
}

/// Renewed and expired leases must reach watchers without counting as changed instances.
#[test]
fn test_registry_tracks_liveness_by_lease() {
    const LEASE: Duration = Duration::from_secs(5);
    let later = |secs| NOW + Duration::from_secs(secs);
    let mut registry = Registry::default();
    let ready = of_incarnation(1, 3, Phase::Ready);
    registry.apply(NOW, ready.clone());
    let live = |registry: &Registry| registry.all_with_liveness().iter().all(|i| i.heard);
    assert!(!live(&registry));
    let seen = registry.cursor();
    registry.renew_lease(NOW, &ready);
    assert!(live(&registry) && registry.changed_since(seen).len() == 1);
    let seen = registry.cursor();
    registry.renew_lease(later(4), &ready);
    registry.expire_leases(later(8), LEASE);
    assert!(live(&registry) && registry.changed_since(seen).is_empty());
    registry.expire_leases(later(9), LEASE);
    assert!(!live(&registry) && registry.changed_since(seen).len() == 1);
    // An announcement of an earlier incarnation doesn't renew the lease.
    registry.renew_lease(later(9), &of_incarnation(0, 9, Phase::Ready));
    assert!(!live(&registry));
    registry.renew_lease(later(10), &ready);
    assert!(live(&registry));
    // The lease doesn't carry over to the next incarnation.
    registry.apply(later(11), of_incarnation(2, 1, Phase::Ready));
    assert!(!live(&registry));
    assert_eq!(
        registry.apply(later(11), of_incarnation(2, 2, Phase::Ready)),
        ApplyOutcome::Known
    );
}
