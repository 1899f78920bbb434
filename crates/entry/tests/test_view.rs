//! Reports of several hubs about the same instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use entry::view::Instances;
use wire::hub::Instance;
use wire::hub::Phase;

fn hub(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 7012))
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

fn announcement(incarnation: u64, sequence: u64, heard: bool) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: Phase::Ready.into(),
        incarnation,
        sequence,
        heard,
        ..Instance::default()
    }
}

fn silent(instances: &Instances) -> Vec<bool> {
    instances
        .of_service(&service("status"))
        .map(|l| l.silent)
        .collect()
}

#[test]
fn test_view_instance_is_silent_while_no_hub_receives_heartbeats() {
    let mut instances = Instances::default();
    let changed = vec![service("status")];
    assert_eq!(instances.apply(hub(1), &announcement(1, 1, false)), changed);
    assert_eq!(silent(&instances), [true]);
    assert_eq!(instances.apply(hub(2), &announcement(1, 2, true)), changed);
    assert_eq!(silent(&instances), [false]);
    // Missing heartbeats at another hub don't matter.
    assert!(
        instances
            .apply(hub(1), &announcement(1, 1, false))
            .is_empty()
    );
    assert!(
        instances
            .apply(hub(1), &announcement(1, 3, true))
            .is_empty()
    );
    assert!(
        instances
            .apply(hub(2), &announcement(1, 3, false))
            .is_empty()
    );
    assert_eq!(silent(&instances), [false]);
    // The only hub that receives heartbeats is lost.
    let live_hubs = BTreeSet::from([hub(2)]);
    assert_eq!(instances.retain_reporting_hubs(&live_hubs), changed);
    assert_eq!(silent(&instances), [true]);
}

#[test]
fn test_view_new_incarnation_is_silent_until_heartbeat() {
    let mut instances = Instances::default();
    instances.apply(hub(1), &announcement(1, 9, true));
    instances.apply(hub(2), &announcement(2, 1, false));
    assert_eq!(silent(&instances), [true]);
    instances.apply(hub(1), &announcement(2, 2, true));
    assert_eq!(silent(&instances), [false]);
    // An outdated report from a hub that doesn't know the new incarnation yet.
    instances.apply(hub(2), &announcement(1, 10, true));
    let newest = instances
        .of_service(&service("status"))
        .next()
        .expect("listed");
    assert_eq!(newest.upstream.incarnation, 2);
}
