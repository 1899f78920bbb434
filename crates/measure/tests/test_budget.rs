//! Guards against an instance receiving more probes from all gateways than its budget, over
//! random schedules.

mod fleet;

use std::time::Duration;

use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::fleet::Fleet;
use crate::fleet::LimiterKind;

const STEPS: u32 = 2_000;

fn run(kind: LimiterKind, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(kind, seed);
    for _ in 0..STEPS {
        fleet.step();
    }
    fleet
}

fn holds(seed: u64) -> TestResult {
    match run(LimiterKind::Real, seed).excess() {
        Some(excess) => TestResult::error(format!("seed {seed}: {excess}")),
        None => TestResult::passed(),
    }
}

#[test]
fn test_budget_random_schedules() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn test_budget_baseline_exceeds() {
    for seed in 0..20 {
        assert!(
            run(LimiterKind::Naive, seed).excess().is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn test_budget_is_used() {
    let fleets = (0..20).map(|seed| run(LimiterKind::Real, seed));
    let spent: usize = fleets.map(|fleet| fleet.times().count()).sum();
    assert!(spent > 100, "{spent} probes in 20 schedules");
}

#[test]
fn test_budget_steady_slots_apart() {
    // Any window of length T contains at most `budget * T + 2` probes.
    let period = Duration::from_millis(500);
    for gateways in [1, 2, 7, 15] {
        let mut fleet = Fleet::steady(gateways, 2_000);
        for _ in 0..STEPS {
            fleet.step();
        }
        let times: Vec<_> = fleet.times().collect();
        assert!(times.len() >= 40, "{gateways}: {} probes", times.len());
        for (first, from) in times.iter().enumerate() {
            for (count, until) in (1_u32..).zip(&times[first..]) {
                let span = until.since(*from);
                let min_span = period * count.saturating_sub(2);
                assert!(min_span <= span, "{gateways}: {count} in {span:?}");
            }
        }
    }
}
