//! Requests of many processes to an instance that names a limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use entry::balancer::Balancer;
use entry::balancer::Selection;
use entry::pool::Pool;
use entry::processes::Process;
use entry::processes::Processes;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use entry::view::InstanceStatus;
use entry::view::Upstream;
use limit::RequestRate;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::DomainIndex;
use route::Evidence;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use wire::hub::Phase;

const PROCESSES: u32 = 30;
const SECOND: u64 = 1_000;
/// Length of the simulation in milliseconds.
const DURATION: u64 = 16 * SECOND;
/// Length of the windows in which requests are counted.
const WINDOW: u64 = 4 * SECOND;
/// Time in which all processes learn of a new limit or process list, in milliseconds.
const PROPAGATION_TIME: u64 = 800;
const NEED: Need = Need {
    work: Duration::from_millis(10),
    aim: Duration::from_millis(150),
    crossing: 0.0,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};
/// The report of an idle instance at normal pace.
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 6,
    pace: 100,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn processes(own: u32, all: std::ops::Range<u32>, revision: u64) -> Arc<Processes> {
    let process = |number: u32| Process {
        address: format!("10.0.0.{number}:80"),
        place: String::new(),
        domain: domain(number).into(),
    };
    Arc::new(Processes {
        own: process(own),
        all: all.map(process).collect(),
        revision,
    })
}

fn domain(number: u32) -> &'static str {
    ["a", "b", "c"][number as usize % 3]
}

fn upstream(number: u32) -> Arc<Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Upstream {
        id: InstanceId::new(&format!("i-{number}")).expect("a name"),
        incarnation: 7,
        service: ServiceName::new("status").expect("a name"),
        address,
        domain: DomainName::new(domain(number)).expect("a name"),
        slots: 6,
        cold: Duration::ZERO,
        pool: Pool::new(address),
    })
}

fn balancer(now: Moment, own: u32, instances: u32) -> Balancer {
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: 42,
        entries: PROCESSES,
    };
    let domain = DomainName::new(domain(own)).expect("a name");
    let mut balancer = Balancer::new(domain, &shared, own.into(), now);
    let upstreams: Vec<Arc<Upstream>> = (0..instances).map(upstream).collect();
    let status = |upstream| InstanceStatus {
        phase: Phase::Ready,
        silent: false,
        upstream,
    };
    balancer.update(now, upstreams.iter().map(status));
    balancer
}

fn choose(balancer: &mut Balancer, now: Moment) -> Selection {
    for (pick, _) in balancer.plan_probes(now, &NEED, &[], 0) {
        balancer.record_probe(now, pick, Some(IDLE));
    }
    balancer.choose(now, &NEED, &[])
}

/// Sends a request if the balancer selects an instance. Returns its number.
fn send(balancer: &mut Balancer, now: Moment) -> Option<String> {
    let Selection::Send(chosen) = choose(balancer, now) else {
        return None;
    };
    let ticket = balancer.start_attempt(now, chosen.choice.pick);
    balancer.finish_attempt(now, ticket, OutcomeKind::Ok, Some(IDLE));
    Some(chosen.upstream.id.to_string())
}

/// Maximum number of starts in any window; `starts` are sorted.
fn max_starts(starts: &[u64]) -> usize {
    let in_window = |index: usize| {
        let rest = &starts[index..];
        rest.partition_point(|at| *at < starts[index] + WINDOW)
    };
    (0..starts.len()).map(in_window).max().unwrap_or_default()
}

/// When requests start at the only instance, whose limit all processes know. Every process has
/// more requests than it may send; from time to time, one joins or leaves.
fn simulate(rate: RequestRate, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let run = upstream(0).run();
    let mut balancers: Vec<Balancer> = (0..PROCESSES).map(|own| balancer(at(0), own, 1)).collect();
    for (own, balancer) in (0..).zip(&mut balancers) {
        balancer.set_warmup(None, &processes(own, 0..PROCESSES, 1));
        balancer.set_limit(at(0), &run, Some(rate));
    }
    let mut first = 0;
    let mut update_at = vec![u64::MAX; balancers.len()];
    let mut starts = Vec::new();
    for now in (0..DURATION).step_by(20) {
        if now % (2 * SECOND) == 0 && now > 0 {
            first = (first + 1) % 4;
            let delays = update_at
                .iter()
                .map(|_| rng.random_range(0..PROPAGATION_TIME));
            update_at = delays.map(|delay| now + delay).collect();
        }
        for own in first..PROCESSES {
            let index = own as usize;
            if update_at[index] <= now {
                update_at[index] = u64::MAX;
                balancers[index].set_warmup(None, &processes(own, first..PROCESSES, now));
            }
            if send(&mut balancers[index], at(now)).is_some() {
                starts.push(now);
            }
        }
    }
    starts
}

quickcheck! {
    /// Guards against limits that each process keeps for itself alone.
    fn test_limit_is_kept_by_all_processes_together(milli: u16, seed: u64) -> bool {
        let rate = RequestRate::from_milli(u32::from(milli) % 12_000);
        let starts = simulate(rate, seed);
        let per_second = f64::from(rate.milli()) / 1_000.0;
        let window = f64::from(u32::try_from(WINDOW / SECOND).expect("small"));
        let allowed = 1.5 * per_second * window + 5.0;
        let most = f64::from(u32::try_from(max_starts(&starts)).expect("small"));
        let used = f64::from(u32::try_from(starts.len()).expect("small"));
        let seconds = f64::from(u32::try_from(DURATION / SECOND).expect("small"));
        most <= allowed && (per_second < 0.5 || used >= 0.6 * per_second * seconds)
    }
}

/// Guards against withholding requests from the other instances, and from this one once its limit
/// has ended.
#[test]
fn test_limit_concerns_its_own_instance_only_and_ends() {
    let run = upstream(0).run();
    let mut balancer = balancer(at(0), 0, 3);
    balancer.set_warmup(None, &processes(200, 0..PROCESSES, 1));
    balancer.set_limit(at(0), &run, Some(RequestRate::from_milli(2_000)));
    for now in 0..200 {
        let chosen = send(&mut balancer, at(now * 20));
        assert!(chosen.is_some_and(|id| id != "i-0"));
    }
    balancer.set_limit(at(4_000), &run, None);
    let later = (200..300).filter_map(|now| send(&mut balancer, at(now * 20)));
    assert!(later.into_iter().any(|id| id == "i-0"));
}

/// Guards against requests that wait though no instance takes them in time.
#[test]
fn test_limit_of_all_instances_refuses_at_once() {
    let mut balancer = balancer(at(0), 0, 2);
    balancer.set_warmup(None, &processes(200, 0..PROCESSES, 1));
    for number in 0..2 {
        let run = upstream(number).run();
        balancer.set_limit(at(0), &run, Some(RequestRate::from_milli(2_000)));
    }
    assert!(matches!(choose(&mut balancer, at(10)), Selection::Full));
}

/// Guards against a pace that wastes most of a limit, as requests arrive unevenly.
#[test]
fn test_limit_of_all_instances_is_used_by_uneven_requests() {
    const SENDERS: u32 = 12;
    const INSTANCES: u32 = 9;
    /// Time in milliseconds for which a request looks for an instance.
    const PATIENCE: u64 = 140;
    let rate = RequestRate::from_milli(9_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut balancers: Vec<Balancer> = (0..SENDERS)
        .map(|own| balancer(at(0), own, INSTANCES))
        .collect();
    for (own, balancer) in (0..).zip(&mut balancers) {
        balancer.set_warmup(None, &processes(own, 0..SENDERS, 1));
        for number in 0..INSTANCES {
            balancer.set_limit(at(0), &upstream(number).run(), Some(rate));
        }
    }
    // Nine tenths of what the limits allow, at random moments and processes.
    let demand = DURATION / SECOND * 73;
    let mut arrivals: Vec<(u64, usize)> = (0..demand)
        .map(|_| {
            (
                rng.random_range(0..DURATION),
                rng.random_range(0..SENDERS as usize),
            )
        })
        .collect();
    let mut sent = 0;
    for now in (0..DURATION).step_by(20) {
        arrivals.retain(|(at_ms, process)| {
            if *at_ms > now {
                return true;
            }
            let is_sent = send(&mut balancers[*process], at(now)).is_some();
            sent += u64::from(is_sent);
            !is_sent && now < at_ms + PATIENCE
        });
    }
    assert!(sent * 100 >= demand * 85, "{sent} of {demand} sent");
}
