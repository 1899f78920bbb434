//! The retries of a service that all entry processes spend together.

use std::time::Duration;

use base::prelude::*;
use entry::balancer::Balancer;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const PROCESSES: usize = 16;
/// Number of steps in a schedule.
const STEPS: usize = 600;
const STEP: Duration = Duration::from_millis(100);
const WINDOW: usize = 100;

fn shared() -> SharedBudgets {
    SharedBudgets {
        retry: Retry {
            percent: 20,
            base: 60,
            window: STEP * u32::try_from(WINDOW).expect("small"),
        },
        probes: 60,
        entries: u32::try_from(PROCESSES).expect("small"),
    }
}

fn balancer(now: Moment) -> Balancer {
    let domain = DomainName::new("a").expect("a name");
    Balancer::new(domain, &shared(), 1, now)
}

/// The requests and retries of each step.
struct Traffic {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// Simulates traffic that moves between processes and changes in volume, phases in which all
/// requests or hardly any fail, and occasional restarts of all processes.
fn simulate(seed: u64) -> Traffic {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut now = Moment::from_millis(1_000);
    let mut balancers: Vec<Balancer> = (0..PROCESSES).map(|_| balancer(now)).collect();
    let mut shares = [1.0_f64; PROCESSES];
    let (mut volume, mut failing) = (30.0, 0.5);
    let mut traffic = Traffic {
        requests: vec![0; STEPS],
        retries: vec![0; STEPS],
    };
    for step in 0..STEPS {
        now = now + STEP;
        if step % 25 == 0 {
            volume = rng.random_range(2.0..40.0);
            failing = if rng.random_bool(0.5) { 1.0 } else { 0.02 };
            shares = std::array::from_fn(|_| rng.random::<f64>().powi(4));
        }
        if rng.random_bool(0.004) {
            balancers = (0..PROCESSES).map(|_| balancer(now)).collect();
        }
        let total: f64 = shares.iter().sum();
        for (balancer, share) in balancers.iter_mut().zip(shares) {
            let mean = volume * share / total;
            let extra = u32::from(rng.random_bool(mean.fract()));
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a small positive number"
            )]
            let count = mean.trunc() as u32 + extra;
            for _ in 0..count {
                balancer.record_request(now);
                traffic.requests[step] += 1;
                if rng.random_bool(failing) && balancer.try_spend_retry(now) {
                    traffic.retries[step] += 1;
                }
            }
        }
    }
    traffic
}

fn sum(steps: &[u64], from: usize) -> u64 {
    steps[from..].iter().take(WINDOW).sum()
}

/// The first window whose retries exceed the budget of its requests or of those just before.
fn find_excess(traffic: &Traffic) -> Option<String> {
    (WINDOW..STEPS - WINDOW).find_map(|from| {
        let before = [0, WINDOW / 2, WINDOW].map(|back| sum(&traffic.requests, from - back));
        let requests = before.into_iter().max().unwrap_or(0);
        let retries = sum(&traffic.retries, from);
        let allowed = requests / 5 + 60;
        let found = format!("step {from}: {retries} retries, {allowed} allowed");
        (retries > allowed).then_some(found)
    })
}

quickcheck! {
    /// Guards against processes that together exceed the retry budget in some window.
    fn prop_balancer_retries_of_all_processes_stay_within_budget(seed: u64) -> quickcheck::TestResult {
        match find_excess(&simulate(seed)) {
            None => quickcheck::TestResult::passed(),
            Some(found) => quickcheck::TestResult::error(format!("seed {seed}: {found}")),
        }
    }
}

/// Guards against a budget that is left mostly unused while all requests fail.
#[test]
fn test_balancer_retries_use_most_of_budget() {
    let now = Moment::from_millis(1_000);
    let mut balancer = balancer(now);
    let mut paid = 0;
    for step in 0..1_000 {
        let now = now + STEP / 4 * step;
        balancer.record_request(now);
        paid += u32::from(balancer.try_spend_retry(now));
    }
    assert!((165..=200).contains(&paid), "{paid} of 1000");
}
