//! Changes since a cursor, found by their numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use quickcheck::quickcheck;
use registry::Registry;
use registry::TOMBSTONE_RETENTION;
use wire::hub::Instance;
use wire::hub::Phase;

/// How long a lease lasts.
const LEASE: Duration = Duration::from_secs(5);

/// What happens to one of a few instances.
fn step(registry: &mut Registry, now: &mut Moment, (what, which, sequence): (u8, u8, u8)) {
    let instance = |phase: Phase| Instance {
        id: format!("i-{}", which % 5),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: phase.into(),
        sequence: u64::from(sequence % 16),
        incarnation: u64::from(sequence / 64),
        ..Instance::default()
    };
    match what % 8 {
        0..3 => {
            registry.apply(*now, instance(Phase::Ready));
        }
        3 => registry.renew_lease(*now, &instance(Phase::Ready)),
        4 => {
            registry.apply(*now, instance(Phase::Draining));
        }
        5 => {
            registry.apply(*now, instance(Phase::Gone));
        }
        6 => {
            *now = *now + Duration::from_secs(u64::from(sequence));
            registry.expire_leases(*now, LEASE);
        }
        _ => {
            *now = *now + TOMBSTONE_RETENTION * u32::from(sequence % 2);
            registry.remove_expired(*now);
        }
    }
}

quickcheck! {
    /// Guards against changes that a watcher isn't told of: a copy that takes the changes since its
    /// cursor, after each few steps, has every instance as the registry has it.
    fn test_changes_since_cursor_complete_a_copy(steps: Vec<(u8, u8, u8)>, every: u8) -> bool {
        let mut registry = Registry::default();
        let mut now = Moment::from_millis(1);
        let mut copy: BTreeMap<String, Instance> = BTreeMap::new();
        let mut cursor = 0;
        let every = usize::from(every % 7) + 1;
        for (number, one) in steps.into_iter().enumerate() {
            step(&mut registry, &mut now, one);
            if number % every != 0 {
                continue;
            }
            let liveness = registry.liveness_changed_since(cursor);
            for hearing in &liveness {
                let current = registry.all_with_liveness().into_iter().find(|i| i.id == hearing.id);
                assert_eq!(current.map(|i| i.heard), Some(hearing.heard));
            }
            let delta = registry.delta_since(cursor);
            assert_eq!(
                registry.changed_since(cursor).len(),
                delta.instances.len() + delta.liveness.len()
            );
            assert!(liveness.len() >= delta.liveness.len());
            for hearing in delta.liveness {
                copy.get_mut(&hearing.id).expect("known").heard = hearing.heard;
            }
            copy.extend(delta.instances.into_iter().map(|one| (one.id.clone(), one)));
            cursor = registry.cursor();
            for instance in registry.all_with_liveness() {
                let copied = &copy[&instance.id];
                let expected = Instance {
                    sequence: copied.sequence,
                    ..instance
                };
                if *copied != expected {
                    return false;
                }
            }
        }
        true
    }
}
