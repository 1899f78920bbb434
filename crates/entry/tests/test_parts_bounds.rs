//! Bounds over all processes at an instance of a service that is divided into parts: cold
//! instances and limits that instances name, while dispatchers leave, return and restart.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::Warmup;
use dispatch::parts;
use dispatch::parts::Division;
use dispatch::parts::Member;
use entry::balancer::Balancer;
use entry::balancer::PartPlan;
use entry::balancer::Selection;
use entry::pool::Pool;
use entry::processes::Process;
use entry::processes::Processes;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use entry::view::InstanceStatus;
use entry::view::Upstream;
use limit::RequestRate;
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

const PROCESSES: u32 = 20;
const SECOND: u64 = 1_000;
/// Length of the simulation in milliseconds.
const DURATION: u64 = 16 * SECOND;
/// Interval at which the list of processes changes.
const CHANGE_INTERVAL: u64 = 4 * SECOND;
/// Time in which all processes learn of a new list, in milliseconds.
const PROPAGATION_TIME: u64 = 600;
/// Length of the windows in which requests to a limited instance are counted.
const WINDOW: u64 = 4 * SECOND;
const WARMUP: Warmup = Warmup {
    rate: 6_000,
    overshoot: 1_200,
    slack: 4,
};
const NEED: Need = Need {
    work: Duration::from_millis(10),
    aim: Duration::from_millis(150),
    crossing: 0.0,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 6,
    pace: 100,
};
/// Number of seeds per test run.
const SEEDS: u64 = 20;

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn service() -> ServiceName {
    ServiceName::new("status").expect("a name")
}

fn domain() -> DomainName {
    DomainName::new("a").expect("a name")
}

fn place(number: u32) -> String {
    format!("10.0.0.{number}:7013")
}

fn upstream(cold: Duration) -> Arc<Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Upstream {
        id: InstanceId::new("i-1").expect("a name"),
        incarnation: 7,
        service: service(),
        address,
        domain: domain(),
        slots: 6,
        cold,
        pool: Pool::new(address),
    })
}

/// What all processes keep together.
#[derive(Clone, Copy, Debug)]
enum Bound {
    Cold,
    Limit(RequestRate),
}

/// A process that starts at `now`, without a list of processes.
fn start(own: u32, bound: Bound, now: u64) -> Balancer {
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: 42,
        entries: PROCESSES,
    };
    let mut balancer = Balancer::new(domain(), &shared, own.into(), at(now));
    let cold = match bound {
        Bound::Cold => Duration::from_mins(1),
        Bound::Limit(_) => Duration::ZERO,
    };
    let upstream = upstream(cold);
    let listed = InstanceStatus {
        phase: Phase::Ready,
        silent: false,
        upstream: &upstream,
    };
    balancer.update(at(now), std::iter::once(listed));
    if let Bound::Limit(rate) = bound {
        balancer.set_limit(at(now), &upstream.run(), Some(rate));
    }
    balancer
}

/// Applies a list of processes, and divides the service by it.
fn apply(balancer: &mut Balancer, own: u32, list: &BTreeSet<u32>, bound: Bound, now: u64) {
    let process = |number: u32| Process {
        address: format!("10.0.0.{number}:80"),
        place: place(number),
        domain: domain().to_string(),
    };
    let processes = Arc::new(Processes {
        own: process(own),
        all: list.iter().copied().map(process).collect(),
        revision: now + 1,
    });
    let all = processes.all.iter().map(|process| parts::Process {
        place: &process.place,
        domain: &process.domain,
    });
    let all: Vec<parts::Process<'_>> = all.collect();
    let members: Vec<Member<'_>> = balancer.members().collect();
    let plan = PartPlan {
        division: Division::new(&service(), &members, &all, 24),
        home: Some(0),
        own: place(own),
        domain: domain(),
    };
    let warmup = matches!(bound, Bound::Cold).then_some(WARMUP);
    balancer.set_warmup(warmup, &processes);
    balancer.set_parts(at(now), Some(plan));
}

/// Sends a request if the balancer selects the instance.
fn send(balancer: &mut Balancer, now: u64) -> bool {
    for (pick, _) in balancer.plan_probes(at(now), &NEED, &[], 0) {
        balancer.record_probe(at(now), pick, Some(IDLE));
    }
    let Selection::Send(chosen) = balancer.choose(at(now), &NEED, &[]) else {
        return false;
    };
    let ticket = balancer.start_attempt(at(now), chosen.choice.pick);
    balancer.finish_attempt(at(now), ticket, OutcomeKind::Ok, Some(IDLE));
    true
}

/// The process that dispatches by this list.
fn dispatcher(list: &BTreeSet<u32>) -> u32 {
    let score = |number: &u32| place::score("status/a/0", &place(*number));
    *list.iter().max_by_key(|number| score(number)).expect("one")
}

/// When requests start at the only instance. Every process has more requests than it may send, in
/// both its roles. The dispatcher leaves the list and returns, and processes restart.
fn simulate(bound: Bound, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let all: BTreeSet<u32> = (0..PROCESSES).collect();
    let mut list = all.clone();
    let mut balancers: Vec<Balancer> = (0..PROCESSES).map(|own| start(own, bound, 0)).collect();
    let mut update_at = vec![0; balancers.len()];
    let mut starts = Vec::new();
    for now in (0..DURATION).step_by(20) {
        if now % CHANGE_INTERVAL == 0 && now > 0 {
            if list == all {
                list.remove(&dispatcher(&list));
            } else {
                list.clone_from(&all);
            }
            for update_at in &mut update_at {
                *update_at = now + rng.random_range(0..PROPAGATION_TIME);
            }
        }
        for own in 0..PROCESSES {
            let index = own as usize;
            if rng.random_bool(0.0005) {
                balancers[index] = start(own, bound, now);
                update_at[index] = now;
            }
            if update_at[index] <= now {
                update_at[index] = u64::MAX;
                apply(&mut balancers[index], own, &list, bound, now);
            }
            if send(&mut balancers[index], now) {
                starts.push(now);
            }
        }
    }
    starts
}

/// Maximum number of starts in any window; `starts` are sorted.
fn max_starts(starts: &[u64], window: u64) -> usize {
    let in_window = |index: usize| {
        let rest = &starts[index..];
        rest.partition_point(|at| *at < starts[index] + window)
    };
    (0..starts.len()).map(in_window).max().unwrap_or_default()
}

/// Guards against a new dispatcher that sends a cold instance its share beside the earlier one's,
/// and against a cold instance that gets nothing because its dispatcher is none of its senders.
#[test]
fn prop_parts_cold_bound_holds_in_sum() {
    fn stays_within_limit(seed: u64) -> bool {
        let starts = simulate(Bound::Cold, seed);
        let limit = usize::try_from(WARMUP.max_per_second()).expect("small");
        let shared = usize::try_from(WARMUP.shared_per_second()).expect("small");
        let most = max_starts(&starts, SECOND);
        // Half of what one list allows is used, whatever leaves and restarts.
        most <= limit && starts.len() >= shared * 16 / 2
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(stays_within_limit as fn(u64) -> bool);
}

/// Guards against two dispatchers that both use a limit, and against a limit that is left unused.
#[test]
fn prop_parts_limit_is_kept_by_all_processes_together() {
    fn stays_within_limit(milli: u16, seed: u64) -> bool {
        let rate = RequestRate::from_milli(500 + u32::from(milli) % 12_000);
        let starts = simulate(Bound::Limit(rate), seed);
        let per_second = f64::from(rate.milli()) / 1_000.0;
        let float = |count: u64| f64::from(u32::try_from(count).expect("small"));
        let allowed = 1.5 * per_second * float(WINDOW / SECOND) + 5.0;
        let used = float(starts.len() as u64);
        // Each takeover leaves a limit unused for up to 1.6 s and one interval between requests:
        // with one each 4 s, and restarts, a third is used from two requests a second on.
        let expected = per_second * float(DURATION / SECOND) / 3.0;
        let is_used = per_second < 2.0 || used >= expected;
        float(max_starts(&starts, WINDOW) as u64) <= allowed && is_used
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(stays_within_limit as fn(u16, u64) -> bool);
}
