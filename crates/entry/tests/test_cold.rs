//! What an instance that is cold gets from many processes together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::Warmup;
use entry::desk::Desk;
use entry::desk::Verdict;
use entry::pool::Pool;
use entry::processes::Processes;
use entry::settings::Retry;
use entry::settings::Shared;
use entry::view::Listed;
use entry::view::Upstream;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::DomainIndex;
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
/// How long processes take to hold the same list after a change.
const SPREAD: u64 = 800;
const NEED: Need = Need {
    work: Duration::from_millis(10),
    aim: Duration::from_millis(150),
    crossing: 0.0,
    room: 1.0,
    domain_index: DomainIndex::OWN,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn place(number: u32) -> String {
    format!("10.0.0.{number}:7635")
}

fn processes(own: u32, all: std::ops::Range<u32>, mark: u64) -> Arc<Processes> {
    Arc::new(Processes {
        own: place(own),
        all: all.map(place).collect(),
        mark,
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

fn desk(now: Moment, cold: Duration) -> Desk {
    let shared = Shared {
        retry: Retry::default(),
        probes: 42,
        entries: PROCESSES,
    };
    let domain = DomainName::new("a").expect("a name");
    let mut desk = Desk::new(domain, &shared, 1, now);
    let upstream = upstream(cold);
    let listed = Listed {
        phase: Phase::Ready,
        silent: false,
        upstream: &upstream,
    };
    desk.update(now, std::iter::once(listed));
    desk
}

/// Idle and quick, as an instance that gets little says.
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 2,
    pace: 100,
};

/// Sends one request if the desk lets it, as if it were told that there is room.
fn send(desk: &mut Desk, now: Moment) -> bool {
    for (pick, _) in desk.plan(now, &NEED, &[], 0) {
        desk.probed(now, pick, Some(IDLE));
    }
    let Verdict::Send(chosen) = desk.choose(now, &NEED, &[]) else {
        return false;
    };
    let ticket = desk.started(now, chosen.choice.pick);
    desk.finished(now, ticket, OutcomeKind::Ok, Some(IDLE));
    true
}

/// Most starts in any second; `starts` are in order.
fn busiest(starts: &[u64]) -> usize {
    let mut max_per_second = 0;
    for (index, from) in starts.iter().enumerate() {
        let rest = &starts[index..];
        max_per_second = max_per_second.max(rest.partition_point(|at| *at < from + SECOND));
    }
    max_per_second
}

/// Plays ten seconds of an instance that is cold all the time, while every process has far
/// more requests than it may send, lists change and processes restart.
fn play(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let cold = Duration::from_mins(1);
    let mut first = 0;
    let new = |own: u32, first: u32, mark: u64, now: u64| {
        let mut desk = desk(at(now), cold);
        desk.set_warmup(Some(WARMUP), &processes(own, first..PROCESSES, mark));
        desk
    };
    let mut desks: Vec<Desk> = (0..PROCESSES).map(|own| new(own, 0, 1, 0)).collect();
    let mut due: Vec<u64> = vec![u64::MAX; desks.len()];
    let mut starts = Vec::new();
    for now in (0..10 * SECOND).step_by(20) {
        if now % (3 * SECOND) == 0 && now > 0 {
            first = rng.random_range(0..30);
            due = due
                .iter()
                .map(|_| now + rng.random_range(0..SPREAD))
                .collect();
        }
        for own in 0..PROCESSES {
            let index = usize::try_from(own).expect("small");
            if due[index] <= now {
                due[index] = u64::MAX;
                desks[index].set_warmup(Some(WARMUP), &processes(own, first..PROCESSES, now));
            }
            if rng.random_bool(0.001) {
                desks[index] = new(own, first, now, now);
                due[index] = u64::MAX;
            }
            if send(&mut desks[index], at(now)) {
                starts.push(now);
            }
        }
    }
    starts
}

#[test]
fn test_cold_instance_gets_its_share_and_no_more() {
    let starts = play(1);
    let max_per_second = usize::try_from(WARMUP.max_per_second()).expect("small");
    assert!(
        busiest(&starts) <= max_per_second,
        "{} in a second",
        busiest(&starts)
    );
    // At least half of what it takes by itself.
    assert!(starts.len() >= 29, "{} in ten seconds", starts.len());
}

/// One that says that it is cold, of which nothing was told before, is bounded from then on;
/// one that says that it is warm gets what it can do.
#[test]
fn test_cold_is_what_the_instance_says() {
    let mut desk = desk(at(0), Duration::ZERO);
    desk.set_warmup(Some(WARMUP), &processes(200, 0..PROCESSES, 1));
    let now = at(5 * SECOND);
    assert!(send(&mut desk, now), "warm");
    let pick = desk.picks(&["i-1".into()])[0];
    desk.set_cold_remaining(now, pick, Duration::from_secs(3));
    assert!(!send(&mut desk, now + Duration::from_secs(1)), "no keeper");
    assert!(send(&mut desk, now + Duration::from_secs(3)), "warm again");
}

/// Where nothing says what cold instances take, they are slower and nothing else.
#[test]
fn test_cold_without_a_bound_is_sent_to() {
    let mut desk = desk(at(0), Duration::from_mins(1));
    desk.set_warmup(None, &processes(0, 0..PROCESSES, 1));
    assert!(send(&mut desk, at(5 * SECOND)));
}

/// Seeds of one run of the tests; each plays ten seconds of 117 processes.
const SEEDS: u64 = 12;

#[test]
fn prop_cold_bound_holds_in_sum() {
    fn holds(seed: u64) -> bool {
        busiest(&play(seed)) <= usize::try_from(WARMUP.max_per_second()).expect("small")
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(holds as fn(u64) -> bool);
}
