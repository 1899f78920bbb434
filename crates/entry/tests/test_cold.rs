//! The load that many processes together put on a cold instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::Warmup;
use entry::balancer::Balancer;
use entry::balancer::Selection;
use entry::pool::Pool;
use entry::processes::Process;
use entry::processes::Processes;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use entry::view::InstanceStatus;
use entry::view::Upstream;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::DomainIndex;
use route::Evidence;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use wire::hub::Phase;

const PROCESSES: u32 = 117;
const WARMUP: Warmup = Warmup {
    rate: 5_800,
    overshoot: 1_500,
    slack: 8,
};
const SECOND: u64 = 1_000;
/// Time in which all processes learn of a new process list, in milliseconds.
const PROPAGATION_TIME: u64 = 800;
const NEED: Need = Need {
    work: Duration::from_millis(10),
    aim: Duration::from_millis(150),
    crossing: 0.0,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn place(number: u32) -> String {
    format!("10.0.0.{number}:7635")
}

fn process(number: u32) -> Process {
    Process {
        address: format!("10.0.0.{number}:80"),
        place: place(number),
        domain: "a".into(),
    }
}

fn processes(own: u32, all: std::ops::Range<u32>, revision: u64) -> Arc<Processes> {
    Arc::new(Processes {
        own: process(own),
        all: all.map(process).collect(),
        revision,
    })
}

fn upstream(cold: Duration) -> Arc<Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Upstream {
        id: InstanceId::new("i-1").expect("a name"),
        incarnation: 0,
        service: ServiceName::new("revoche").expect("a name"),
        address,
        domain: DomainName::new("a").expect("a name"),
        slots: 2,
        cold,
        pool: Pool::new(address),
    })
}

fn balancer(now: Moment, cold: Duration) -> Balancer {
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: 42,
        entries: PROCESSES,
    };
    let domain = DomainName::new("a").expect("a name");
    let mut balancer = Balancer::new(domain, &shared, 1, now);
    let upstream = upstream(cold);
    let listed = InstanceStatus {
        phase: Phase::Ready,
        silent: false,
        upstream: &upstream,
    };
    balancer.update(now, std::iter::once(listed));
    balancer
}

/// The report of an idle instance at normal pace.
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 2,
    pace: 100,
};

/// Sends a request if the balancer selects an instance; probes report an idle one.
fn send(balancer: &mut Balancer, now: Moment) -> bool {
    for (pick, _) in balancer.plan_probes(now, &NEED, &[], 0) {
        balancer.record_probe(now, pick, Some(IDLE));
    }
    let Selection::Send(chosen) = balancer.choose(now, &NEED, &[]) else {
        return false;
    };
    let ticket = balancer.start_attempt(now, chosen.choice.pick);
    balancer.finish_attempt(now, ticket, OutcomeKind::Ok, Some(IDLE));
    true
}

/// Maximum number of starts in any second; `starts` are sorted.
fn max_starts_per_second(starts: &[u64]) -> usize {
    let mut max_starts = 0;
    for (index, from) in starts.iter().enumerate() {
        let rest = &starts[index..];
        max_starts = max_starts.max(rest.partition_point(|at| *at < from + SECOND));
    }
    max_starts
}

/// Simulates ten seconds of a cold instance. Every process has more requests than it may send,
/// process lists change, and processes restart.
fn simulate(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let cold = Duration::from_mins(1);
    let mut first = 0;
    let new = |own: u32, first: u32, revision: u64, now: u64| {
        let mut balancer = balancer(at(now), cold);
        balancer.set_warmup(Some(WARMUP), &processes(own, first..PROCESSES, revision));
        balancer
    };
    let mut balancers: Vec<Balancer> = (0..PROCESSES).map(|own| new(own, 0, 1, 0)).collect();
    let mut update_at: Vec<u64> = vec![u64::MAX; balancers.len()];
    let mut starts = Vec::new();
    for now in (0..10 * SECOND).step_by(20) {
        if now % (3 * SECOND) == 0 && now > 0 {
            first = rng.random_range(0..30);
            update_at = update_at
                .iter()
                .map(|_| now + rng.random_range(0..PROPAGATION_TIME))
                .collect();
        }
        for own in 0..PROCESSES {
            let index = usize::try_from(own).expect("small");
            if update_at[index] <= now {
                update_at[index] = u64::MAX;
                balancers[index].set_warmup(Some(WARMUP), &processes(own, first..PROCESSES, now));
            }
            if rng.random_bool(0.001) {
                balancers[index] = new(own, first, now, now);
                update_at[index] = u64::MAX;
            }
            if send(&mut balancers[index], at(now)) {
                starts.push(now);
            }
        }
    }
    starts
}

#[test]
fn test_cold_instance_gets_its_share_and_no_more() {
    let starts = simulate(1);
    let limit = usize::try_from(WARMUP.max_per_second()).expect("small");
    assert!(
        max_starts_per_second(&starts) <= limit,
        "{} in a second",
        max_starts_per_second(&starts)
    );
    // At least half of the instance's rate.
    assert!(starts.len() >= 29, "{} in ten seconds", starts.len());
}

/// Guards against ignoring what an instance reports about being cold, in either direction.
#[test]
fn test_cold_is_what_the_instance_says() {
    let mut balancer = balancer(at(0), Duration::ZERO);
    balancer.set_warmup(Some(WARMUP), &processes(200, 0..PROCESSES, 1));
    let now = at(5 * SECOND);
    assert!(send(&mut balancer, now), "warm");
    let pick = balancer.picks(&["i-1".into()])[0];
    balancer.record_cold(now, pick, Duration::from_secs(3));
    assert!(
        !send(&mut balancer, now + Duration::from_secs(1)),
        "no share"
    );
    assert!(
        send(&mut balancer, now + Duration::from_secs(3)),
        "warm again"
    );
}

/// Guards against withholding requests from cold instances of a service without a limit.
#[test]
fn test_cold_instance_without_limit_gets_requests() {
    let mut balancer = balancer(at(0), Duration::from_mins(1));
    balancer.set_warmup(None, &processes(0, 0..PROCESSES, 1));
    assert!(send(&mut balancer, at(5 * SECOND)));
}

/// Number of seeds per test run; each simulates ten seconds of 117 processes.
const SEEDS: u64 = 12;

#[test]
fn prop_cold_bound_holds_in_sum() {
    fn stays_within_limit(seed: u64) -> bool {
        max_starts_per_second(&simulate(seed))
            <= usize::try_from(WARMUP.max_per_second()).expect("small")
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(stays_within_limit as fn(u64) -> bool);
}
