//! The retries of a service that any number of entry processes spend together, however often they
//! restart.

use std::time::Duration;

use base::prelude::*;
use entry::balancer::Balancer;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const STEP: Duration = Duration::from_millis(100);
/// Number of steps in a budget window.
const WINDOW: usize = 100;
const STEPS: usize = 400;
/// Maximum number of steps until a new process knows how many share the budget.
const MAX_UNKNOWN_STEPS: usize = 8;

/// Entry processes and the retries per window that they share.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    processes: usize,
    base: u32,
}

const FLEETS: [Fleet; 6] = [
    fleet(3, 60),
    fleet(14, 58),
    fleet(121, 210),
    fleet(133, 206),
    fleet(449, 602),
    fleet(449, 60),
];

const fn fleet(processes: usize, base: u32) -> Fleet {
    Fleet { processes, base }
}

impl Fleet {
    /// The budgets as a process sees them that knows of `entries` processes.
    fn shared(self, entries: usize) -> SharedBudgets {
        SharedBudgets {
            retry: Retry {
                percent: 20,
                base: self.base,
                window: STEP * u32::try_from(WINDOW).expect("small"),
            },
            probes: 60,
            entries: u32::try_from(entries).expect("small"),
        }
    }

    fn start(self, rng: &mut SmallRng, step: usize, now: Moment) -> Process {
        let domain = DomainName::new("a").expect("a name");
        Process {
            balancer: Balancer::new(domain, &self.shared(0), rng.random(), now),
            informed_at: step + rng.random_range(0..MAX_UNKNOWN_STEPS),
        }
    }
}

struct Process {
    balancer: Balancer,
    /// The step at which it learns how many processes there are.
    informed_at: usize,
}

/// The requests and retries of each step.
struct Traffic {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Traffic {
    /// The first window whose retries exceed the budget of its requests or of those just before.
    fn find_excess(&self, base: u32) -> Option<String> {
        (WINDOW..STEPS - WINDOW).find_map(|from| {
            let windows = [0, WINDOW / 2, WINDOW].map(|back| sum(&self.requests, from - back));
            let requests = windows.into_iter().max().unwrap_or(0);
            let retries = sum(&self.retries, from);
            let allowed = requests / 5 + u64::from(base);
            let found = format!("step {from}: {retries} retries, {allowed} allowed");
            (retries > allowed).then_some(found)
        })
    }
}

fn sum(steps: &[u64], from: usize) -> u64 {
    steps[from..].iter().take(WINDOW).sum()
}

/// Simulates processes that are killed in series while requests fail in phases.
fn simulate(fleet: Fleet, seed: u64) -> Traffic {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut now = Moment::from_millis(1_000);
    let mut processes: Vec<Process> = (0..fleet.processes)
        .map(|_| fleet.start(&mut rng, 0, now))
        .collect();
    let mut traffic = Traffic {
        requests: vec![0; STEPS],
        retries: vec![0; STEPS],
    };
    let (mut rate, mut failing) = (0.1, 0.5);
    let (mut next_kill, mut killed) = (rng.random_range(0..WINDOW), 0.0);
    for step in 0..STEPS {
        now = now + STEP;
        if step % 25 == 0 {
            rate = rng.random_range(0.02..0.6);
            failing = if rng.random_bool(0.7) { 1.0 } else { 0.02 };
        }
        if step == next_kill {
            // Kills come in series with short pauses, then with long ones.
            next_kill += if rng.random_bool(0.8) {
                rng.random_range(5..30)
            } else {
                killed = rng.random_range(0.2..1.0);
                rng.random_range(30..120)
            };
            for process in &mut processes {
                if rng.random_bool(killed) {
                    *process = fleet.start(&mut rng, step, now);
                }
            }
        }
        for Process {
            balancer,
            informed_at,
        } in &mut processes
        {
            if step == *informed_at {
                balancer.set_shared(&fleet.shared(fleet.processes), now);
            }
            if !rng.random_bool(rate) {
                continue;
            }
            balancer.record_request(now);
            traffic.requests[step] += 1;
            if rng.random_bool(failing) && balancer.try_spend_retry(now) {
                traffic.retries[step] += 1;
            }
        }
    }
    traffic
}

quickcheck! {
    /// Guards against processes that borrow or save more in sum the more of them there are.
    fn prop_retries_of_any_number_of_processes_stay_within_budget(seed: u64) -> TestResult {
        let excess = FLEETS.iter().find_map(|fleet| {
            let found = simulate(*fleet, seed).find_excess(fleet.base)?;
            Some(format!("seed {seed}, {fleet:?}: {found}"))
        });
        excess.map_or_else(TestResult::passed, TestResult::error)
    }
}

/// Guards against processes that each take the whole budget before they know who shares it.
#[test]
fn test_retries_of_processes_that_know_no_others_stay_within_budget() {
    let fleet = fleet(133, 206);
    let mut rng = SmallRng::seed_from_u64(1);
    let start = Moment::from_millis(1_000);
    let mut processes: Vec<Process> = (0..fleet.processes)
        .map(|_| fleet.start(&mut rng, 0, start))
        .collect();
    let (mut requests, mut retries) = (0, 0);
    for step in 1..=50 {
        let now = start + STEP * step;
        for process in &mut processes {
            process.balancer.record_request(now);
            requests += 1;
            retries += u32::from(process.balancer.try_spend_retry(now));
        }
    }
    let allowed = requests / 5 + fleet.base;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}
