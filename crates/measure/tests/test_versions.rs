//! Guards against exceeding the budget while gateways use different catalogue versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use measure::Denied;
use measure::ProbeLimiter;
use measure::Registry;

const LEASE: Duration = Duration::from_secs(3);
const BUDGET: u32 = 100_000;

// In each millisecond from `from` to `until`, the gateway receives that `version` is current.
struct Confirmations {
    gateway: usize,
    from: u64,
    until: u64,
    version: u64,
}

struct Case {
    name: &'static str,
    // The gateways of versions 1, 2, ...
    versions: &'static [&'static [usize]],
    confirmations: Vec<Confirmations>,
    // Minimum number of probes in the whole run, so that sending none doesn't pass.
    min_probes: usize,
}

fn confirmations(gateway: usize, from: u64, until: u64, version: u64) -> Confirmations {
    Confirmations {
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
            confirmations: vec![
                confirmations(0, 0, 10_000, 1),
                confirmations(1, 10_001, 20_000, 2),
                confirmations(0, 19_000, 20_000, 2),
            ],
            min_probes: 900,
        },
        Case {
            name: "a gateway is replaced by another while it is cut off",
            versions: &[&[0], &[1]],
            confirmations: vec![
                confirmations(0, 0, 10_000, 1),
                confirmations(1, 10_001, 20_000, 2),
            ],
            min_probes: 1_100,
        },
        Case {
            // Gateway 1 never receives version 2, in which its share is a third.
            name: "a version is skipped",
            versions: &[&[0, 1], &[0, 1, 2], &[1, 2]],
            confirmations: vec![
                confirmations(0, 0, 10_000, 1),
                confirmations(1, 0, 10_000, 1),
                confirmations(0, 10_001, 12_900, 2),
                confirmations(2, 10_001, 12_900, 2),
                confirmations(1, 12_901, 20_000, 3),
            ],
            min_probes: 900,
        },
        Case {
            name: "one of two leaves and comes back",
            versions: &[&[0, 1], &[0], &[0, 1]],
            confirmations: vec![
                confirmations(0, 0, 8_000, 1),
                confirmations(1, 0, 8_000, 1),
                confirmations(0, 8_001, 14_000, 2),
                confirmations(0, 14_001, 20_000, 3),
                confirmations(1, 14_001, 20_000, 3),
            ],
            min_probes: 1_000,
        },
    ]
}

fn run(case: &Case) -> Vec<u64> {
    let mut limiters: Vec<ProbeLimiter> = (0..3).map(limiter).collect();
    let mut probes = Vec::new();
    for at in 0..20_000 {
        let now = Moment::from_millis(at);
        for confirmation in case
            .confirmations
            .iter()
            .filter(|c| c.from <= at && at <= c.until)
        {
            let limiter = &mut limiters[confirmation.gateway];
            limiter.update_registry(registry(case, confirmation.version), now);
            limiter.confirm(confirmation.version, now, now);
        }
        for limiter in &mut limiters {
            if limiter.spend(&service(), &instance(), now).is_ok() {
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
        let max_bursts = gateways.map_or(0, |max| max + 1);
        for (first, from) in probes.iter().enumerate() {
            for (count, until) in (1..).zip(&probes[first..]) {
                let span = usize::try_from(until - from).unwrap();
                let max_probes = span / 10 + 1 + max_bursts;
                assert!(count <= max_probes, "{}: {count} in {span} ms", case.name);
            }
        }
        assert!(
            probes.len() >= case.min_probes,
            "{}: {}",
            case.name,
            probes.len()
        );
    }
}

#[test]
fn test_versions_denials() {
    let case = &cases()[0];
    let mut limiter = limiter(0);
    let spend = |limiter: &mut ProbeLimiter, at| limiter.spend(&service(), &instance(), at);
    let at = Moment::from_millis;
    assert_eq!(spend(&mut limiter, at(0)), Err(Denied::Fenced));
    limiter.update_registry(registry(case, 1), at(0));
    limiter.confirm(2, at(0), at(0));
    assert_eq!(spend(&mut limiter, at(0)), Err(Denied::Fenced));
    limiter.confirm(1, at(0), at(0));
    assert_eq!(spend(&mut limiter, at(1)), Err(Denied::Settling));
    assert_eq!(spend(&mut limiter, at(3_000)), Err(Denied::Fenced));
    limiter.confirm(1, at(4_000), at(4_000));
    assert!(matches!(
        spend(&mut limiter, at(4_000)),
        Err(Denied::Early(_))
    ));
    limiter.set_holder(false, at(4_100));
    assert_eq!(spend(&mut limiter, at(4_100)), Err(Denied::NotHolder));
    limiter.set_holder(true, at(4_200));
    limiter.remove(&service(), &instance());
    assert_eq!(spend(&mut limiter, at(4_200)), Err(Denied::UnknownInstance));
}

#[test]
fn test_versions_early_moment_suffices() {
    let case = &cases()[3];
    let mut limiter = limiter(1);
    limiter.update_registry(registry(case, 1), Moment::ZERO);
    let mut now = Moment::from_millis(3_100);
    for _ in 0..50 {
        limiter.confirm(1, now, now);
        if let Err(Denied::Early(at)) = limiter.spend(&service(), &instance(), now) {
            now = at;
            limiter.confirm(1, now, now);
            assert_eq!(limiter.spend(&service(), &instance(), now), Ok(()));
        }
    }
}

fn limiter(rank: usize) -> ProbeLimiter {
    let mut limiter = ProbeLimiter::new(name(rank), LEASE, Duration::ZERO);
    limiter.set_holder(true, Moment::ZERO);
    limiter.add(&service(), &instance(), Moment::ZERO);
    limiter
}

fn registry(case: &Case, version: u64) -> Arc<Registry> {
    let hosts = case.versions[usize::try_from(version - 1).unwrap()];
    Arc::new(Registry {
        version,
        gateways: hosts.iter().map(|host| name(*host)).collect(),
        budgets: BTreeMap::from([(service(), BUDGET)]),
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
