//! Gateways that know different versions for a while: fault cases in a table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use measure::Denied;
use measure::ProbeLimiter;
use measure::Registry;

const LEASE: Duration = Duration::from_secs(3);
const MILLIS: u32 = 100_000;

// The gateway hears in each millisecond from `from` to `until` that `version` is current.
struct Hears {
    gateway: usize,
    from: u64,
    until: u64,
    version: u64,
}

struct Case {
    name: &'static str,
    // The gateways of versions 1, 2, ...
    versions: &'static [&'static [usize]],
    hears: Vec<Hears>,
    // Least probes in the whole run, so that silence doesn't pass.
    fewest: usize,
}

fn hears(gateway: usize, from: u64, until: u64, version: u64) -> Hears {
    Hears {
        gateway,
        from,
        until,
        version,
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "a gateway is added while another is cut off",
            versions: &[&[0], &[0, 1]],
            hears: vec![
                hears(0, 0, 10_000, 1),
                hears(1, 10_001, 20_000, 2),
                hears(0, 19_000, 20_000, 2),
            ],
            fewest: 900,
        },
        Case {
            name: "a gateway is replaced by another while it is cut off",
            versions: &[&[0], &[1]],
            hears: vec![hears(0, 0, 10_000, 1), hears(1, 10_001, 20_000, 2)],
            fewest: 1_100,
        },
        Case {
            // Gateway 1 never learns that version 2 left it a third.
            name: "a version is skipped",
            versions: &[&[0, 1], &[0, 1, 2], &[1, 2]],
            hears: vec![
                hears(0, 0, 10_000, 1),
                hears(1, 0, 10_000, 1),
                hears(0, 10_001, 12_900, 2),
                hears(2, 10_001, 12_900, 2),
                hears(1, 12_901, 20_000, 3),
            ],
            fewest: 900,
        },
        Case {
            name: "one of two leaves and comes back",
            versions: &[&[0, 1], &[0], &[0, 1]],
            hears: vec![
                hears(0, 0, 8_000, 1),
                hears(1, 0, 8_000, 1),
                hears(0, 8_001, 14_000, 2),
                hears(0, 14_001, 20_000, 3),
                hears(1, 14_001, 20_000, 3),
            ],
            fewest: 1_000,
        },
    ]
}

fn run(case: &Case) -> Vec<u64> {
    let mut meters: Vec<ProbeLimiter> = (0..3).map(meter).collect();
    let mut probes = Vec::new();
    for at in 0..20_000 {
        let now = Moment::from_millis(at);
        for told in case.hears.iter().filter(|h| h.from <= at && at <= h.until) {
            let meter = &mut meters[told.gateway];
            meter.update_registry(registry(case, told.version), now);
            meter.confirm(told.version, now, now);
        }
        for meter in &mut meters {
            if meter.spend(&service(), &instance(), now).is_ok() {
                probes.push(at);
            }
        }
    }
    probes
}

#[test]
fn test_versions_sum_holds() {
    for case in cases() {
        let probes = run(&case);
        let gateways = case.versions.iter().flat_map(|hosts| hosts.iter()).max();
        let bursts = gateways.map_or(0, |most| most + 1);
        for (first, from) in probes.iter().enumerate() {
            for (count, until) in (1..).zip(&probes[first..]) {
                let span = usize::try_from(until - from).unwrap();
                let most = span / 10 + 1 + bursts;
                assert!(count <= most, "{}: {count} in {span} ms", case.name);
            }
        }
        assert!(
            probes.len() >= case.fewest,
            "{}: {}",
            case.name,
            probes.len()
        );
    }
}

#[test]
fn test_versions_denials() {
    let case = &cases()[0];
    let mut meter = meter(0);
    let spend = |meter: &mut ProbeLimiter, at| meter.spend(&service(), &instance(), at);
    let at = Moment::from_millis;
    assert_eq!(spend(&mut meter, at(0)), Err(Denied::Fenced));
    meter.update_registry(registry(case, 1), at(0));
    meter.confirm(2, at(0), at(0));
    assert_eq!(spend(&mut meter, at(0)), Err(Denied::Fenced));
    meter.confirm(1, at(0), at(0));
    assert_eq!(spend(&mut meter, at(1)), Err(Denied::Settling));
    assert_eq!(spend(&mut meter, at(3_000)), Err(Denied::Fenced));
    meter.confirm(1, at(4_000), at(4_000));
    assert!(matches!(
        spend(&mut meter, at(4_000)),
        Err(Denied::Early(_))
    ));
    meter.set_holder(false, at(4_100));
    assert_eq!(spend(&mut meter, at(4_100)), Err(Denied::NotHolder));
    meter.set_holder(true, at(4_200));
    meter.remove(&service(), &instance());
    assert_eq!(spend(&mut meter, at(4_200)), Err(Denied::UnknownInstance));
}

#[test]
fn test_versions_early_moment_suffices() {
    let case = &cases()[3];
    let mut meter = meter(1);
    meter.update_registry(registry(case, 1), Moment::ZERO);
    let mut now = Moment::from_millis(3_100);
    for _ in 0..50 {
        meter.confirm(1, now, now);
        if let Err(Denied::Early(at)) = meter.spend(&service(), &instance(), now) {
            now = at;
            meter.confirm(1, now, now);
            assert_eq!(meter.spend(&service(), &instance(), now), Ok(()));
        }
    }
}

fn meter(rank: usize) -> ProbeLimiter {
    let mut meter = ProbeLimiter::new(name(rank), LEASE, Duration::ZERO);
    meter.set_holder(true, Moment::ZERO);
    meter.add(&service(), &instance(), Moment::ZERO);
    meter
}

fn registry(case: &Case, version: u64) -> Arc<Registry> {
    let hosts = case.versions[usize::try_from(version - 1).unwrap()];
    Arc::new(Registry {
        version,
        gateways: hosts.iter().map(|host| name(*host)).collect(),
        budgets: BTreeMap::from([(service(), MILLIS)]),
    })
}

fn name(rank: usize) -> HostName {
    HostName::new(&format!("gateway-{rank:02}")).expect("a valid name")
}

fn service() -> ServiceName {
    ServiceName::new("drawings").expect("a valid name")
}

fn instance() -> InstanceId {
    InstanceId::new("drawings-1").expect("a valid name")
}
