//! The bound on the requests of a workspace over all processes, under faults, and the requests
//! within the quota that are refused.

mod simulation;

use std::time::Duration;

use quota::Bound;
use quota::Limit;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use simulation::Fault;
use simulation::Simulation;

const WINDOW: Duration = Duration::from_secs(5);
/// Time until all processes are listed and buckets are full.
const SETTLE: Duration = Duration::from_secs(6);
const SEEDS: u64 = 60;

const LARGE: Limit = Limit {
    rate: 300_000,
    burst: 300,
};
const MEDIUM: Limit = Limit {
    rate: 40_000,
    burst: 40,
};
const SMALL: Limit = Limit {
    rate: 2_000,
    burst: 2,
};
const LIMITS: [Limit; 3] = [LARGE, MEDIUM, SMALL];

fn seconds(rng: &mut StdRng, min: f64, max: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(min..max))
}

/// Failure domains of random sizes, and a workspace that sends several times its quota.
fn flooded(seed: u64, rng: &mut StdRng) -> (Simulation, Limit, usize) {
    let domains = rng.random_range(1..=4);
    let sizes: Vec<usize> = (0..domains).map(|_| rng.random_range(1..=12)).collect();
    let limit = LIMITS[rng.random_range(0..LIMITS.len())];
    let mut simulation = Simulation::new(seed, &sizes, limit);
    let count: usize = sizes.iter().sum();
    let rate = f64::from(u32::try_from(limit.rate).expect("small")) / 1_000.0;
    simulation.demand = rate * rng.random_range(1.2..6.0);
    simulation.max_queue = seconds(rng, 0.0, 0.6);
    simulation.loss = if rng.random_bool(0.3) { 0.05 } else { 0.0 };
    (simulation, limit, count)
}

/// Lets the workspace pause, so that buckets are full when it sends again, also amid faults.
fn add_pauses(rng: &mut StdRng, simulation: &mut Simulation) {
    let flood = simulation.demand;
    let mut at = Duration::ZERO;
    while at < Duration::from_secs(18) {
        at += seconds(rng, 0.1, 4.0);
        simulation.change_demand(at, 1.0);
        at += seconds(rng, 0.2, 2.5);
        simulation.change_demand(at, flood);
    }
    if rng.random_bool(0.3) {
        let mut target = || simulation.targets[rng.random_range(0..simulation.targets.len())];
        let (most, some) = (target(), target());
        simulation.targets = vec![most, most, some];
    }
}

fn check_bound(simulation: &Simulation, limit: Limit, context: &str) {
    let most = simulation.most_in_window(WINDOW, base::prelude::Moment::ZERO);
    let bound = usize::try_from(Bound::default().requests(limit)).expect("small");
    assert!(most <= bound, "{most} requests of {bound}: {context}");
}

fn run_with_faults(seed: u64, draw: impl Fn(&mut StdRng, &mut Simulation, usize) -> String) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut simulation, limit, count) = flooded(seed, &mut rng);
    simulation.start_demand();
    simulation.run(SETTLE);
    let faults = draw(&mut rng, &mut simulation, count);
    add_pauses(&mut rng, &mut simulation);
    simulation.run(Duration::from_secs(20));
    let context = format!("seed {seed}, {count} processes, {limit:?}, {faults}");
    check_bound(&simulation, limit, &context);
}

/// Guards against tokens that a process grants after others have taken over, or that a restart
/// creates.
#[test]
fn test_bound_holds_while_single_processes_fail() {
    let kinds = [
        Fault::Killed,
        Fault::Frozen,
        Fault::Mute,
        Fault::Deaf,
        Fault::CutOff,
    ];
    for seed in 0..SEEDS {
        run_with_faults(seed, |rng, simulation, count| {
            let mut faults = Vec::new();
            for _ in 0..rng.random_range(1..=4) {
                let index = rng.random_range(0..count);
                let kind = kinds[rng.random_range(0..kinds.len())];
                let (at, length) = (seconds(rng, 0.0, 8.0), seconds(rng, 0.1, 8.0));
                simulation.fault(index, kind, at, length);
                faults.push((index, kind, at, length));
            }
            format!("{faults:?}")
        });
    }
}

/// Guards against a holder that goes on granting all that it could while another has taken over.
/// Most requests come to the failing holder and to a process that asks its successor.
#[test]
fn test_bound_holds_while_a_flooded_holder_fails() {
    let kinds = [Fault::Frozen, Fault::Mute, Fault::Deaf, Fault::CutOff];
    for seed in 0..SEEDS {
        run_with_faults(seed, |rng, simulation, count| {
            let other = rng.random_range(0..count);
            let holder = simulation.holder_by(other);
            simulation.targets = vec![holder, other];
            let mut faults = Vec::new();
            let mut at = seconds(rng, 0.0, 1.0);
            while at < Duration::from_secs(16) {
                let kind = kinds[rng.random_range(0..kinds.len())];
                let length = seconds(rng, 0.1, 7.0);
                simulation.fault(holder, kind, at, length);
                faults.push((kind, at, length));
                at += length + seconds(rng, 0.0, 2.0);
            }
            format!("holder {holder}, {other}: {faults:?}")
        });
    }
}

/// Guards against two holders at once while lists differ, many times in one window.
#[test]
fn test_bound_holds_while_holders_restart_in_turn() {
    for seed in 0..SEEDS {
        run_with_faults(seed, |rng, simulation, count| {
            let (interval, length) = (seconds(rng, 0.3, 1.5), seconds(rng, 0.2, 1.5));
            for round in 0..12 {
                let index = simulation.holder_by(rng.random_range(0..count));
                simulation.fault(index, Fault::Killed, interval * round, length);
            }
            format!("restarts for {length:?} every {interval:?}")
        });
    }
}

/// Guards against both sides of a partition granting the whole share of a domain.
#[test]
fn test_bound_holds_in_a_partition_with_hubs_on_both_sides() {
    for seed in 0..SEEDS {
        run_with_faults(seed, |rng, simulation, count| {
            let share = rng.random_range(0.1..0.9);
            let (at, length) = (seconds(rng, 0.0, 3.0), seconds(rng, 0.5, 9.0));
            for index in 0..count {
                if rng.random_bool(share) {
                    simulation.fault(index, Fault::OtherSide, at, length);
                }
            }
            format!("partition of {share} at {at:?} for {length:?}")
        });
    }
}

/// Guards against full buckets after a restart of all processes.
#[test]
fn test_bound_holds_over_restarts_of_all_processes() {
    for seed in 0..SEEDS {
        run_with_faults(seed, |rng, simulation, count| {
            for round in 0..3 {
                for index in 0..count {
                    let at = Duration::from_secs(3 * round) + seconds(rng, 0.0, 1.0);
                    simulation.fault(index, Fault::Killed, at, seconds(rng, 0.1, 1.0));
                }
            }
            "three restarts of all".to_owned()
        });
    }
}

/// Guards against tokens of an earlier, higher limit.
#[test]
fn test_lower_limit_is_binding_after_one_window() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut simulation, _, count) = flooded(seed, &mut rng);
        simulation.change_limit(SETTLE, SMALL);
        simulation.start_demand();
        simulation.run(SETTLE);
        let from = simulation.now + WINDOW;
        simulation.run(Duration::from_secs(20));
        let most = simulation.most_in_window(WINDOW, from);
        let bound = usize::try_from(Bound::default().requests(SMALL)).expect("small");
        assert!(
            most <= bound,
            "{most} of {bound}: seed {seed}, {count} processes"
        );
    }
}

fn refused_in_normal_operation(seed: u64, sizes: &[usize], limit: Limit, share: f64) -> usize {
    let mut simulation = Simulation::new(seed, sizes, limit);
    simulation.demand = f64::from(u32::try_from(limit.rate).expect("small")) / 1_000.0 * share;
    simulation.even = true;
    simulation.run(SETTLE);
    simulation.start_demand();
    simulation.run(Duration::from_secs(30));
    simulation.refused + simulation.unreachable
}

/// Guards against requests at exactly the quota that are refused, also where the share of a
/// failure domain is less than one request.
#[test]
fn test_requests_at_the_quota_are_not_refused() {
    for seed in 0..3 {
        for limit in LIMITS {
            for sizes in [vec![35, 27, 30], vec![1, 1, 1], vec![5], vec![2, 9, 4, 1]] {
                let refused = refused_in_normal_operation(seed, &sizes, limit, 1.0);
                assert_eq!(refused, 0, "seed {seed}, {sizes:?}, {limit:?}");
            }
        }
    }
}

/// Guards against requests that are refused because a failure domain receives all of them.
#[test]
fn test_requests_of_one_domain_are_not_refused() {
    for seed in 0..20 {
        for limit in LIMITS {
            let mut simulation = Simulation::new(seed, &[3, 3, 3], limit);
            let rate = f64::from(u32::try_from(limit.rate).expect("small")) / 1_000.0;
            simulation.demand = rate;
            simulation.even = true;
            simulation.targets = vec![0, 1, 2];
            simulation.run(SETTLE);
            simulation.start_demand();
            simulation.run(Duration::from_secs(30));
            let refused = simulation.refused + simulation.unreachable;
            assert_eq!(refused, 0, "seed {seed}, {limit:?}");
        }
    }
}

/// Guards against refusals because requests come unevenly, where the mean is well within the quota.
#[test]
fn test_uneven_requests_within_the_quota_are_not_refused() {
    for limit in LIMITS {
        for seed in 0..10 {
            let mut simulation = Simulation::new(seed, &[35, 27, 30], limit);
            let rate = f64::from(u32::try_from(limit.rate).expect("small")) / 1_000.0;
            simulation.demand = rate / 1.6;
            simulation.run(SETTLE);
            simulation.start_demand();
            simulation.run(Duration::from_secs(20));
            let refused = simulation.refused + simulation.unreachable;
            assert_eq!(refused, 0, "seed {seed}, {limit:?}");
        }
    }
}
