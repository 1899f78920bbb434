//! Random fault schedules; all invariants are checked after every step.
//!
//! A failure prints its seed; `RWR_SEED=<seed>` runs that one schedule.

use std::ops::Range;
use std::time::Duration;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Change;
use consensus::Event;
use consensus::ReplicaId;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;

use crate::cluster::Cluster;
use crate::cluster::Link;
use crate::cluster::member;

/// Steps of one schedule.
const STEPS: usize = 800;
/// Maximum number of messages in transit.
const MAX_IN_TRANSIT: usize = 60;

/// The seed of a schedule. Not shrunk, because a smaller seed gives no simpler schedule.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Parameters of a family of schedules. All have lost, duplicated, delayed and reordered
/// messages.
#[derive(Clone, Copy)]
struct Shape {
    voters: u64,
    acceptance: Acceptance,
    changes: bool,
}

const THREE: Shape = Shape {
    voters: 3,
    acceptance: Acceptance::Majority,
    changes: false,
};
const FIVE: Shape = Shape { voters: 5, ..THREE };
const CHANGING: Shape = Shape {
    changes: true,
    ..THREE
};
const REGIONS: Shape = Shape {
    voters: 6,
    acceptance: Acceptance::EveryRegion,
    changes: true,
};

/// Prints the seed of a failed schedule.
struct Report(u64);

impl Drop for Report {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed schedule: RWR_SEED={}", self.0);
        }
    }
}

fn run(shape: Shape, seed: u64) -> bool {
    let _report = Report(seed);
    let mut cluster = Cluster::new(shape.voters, shape.acceptance, seed);
    cluster.elect();
    for _ in 0..STEPS {
        step(&mut cluster, shape);
    }
    cluster.heal_and_check();
    true
}

fn step(cluster: &mut Cluster, shape: Shape) {
    let ids = cluster.ids();
    let id = ids[cluster.rng.random_range(0..ids.len())];
    match cluster.rng.random_range(0..200) {
        0..90 => (0..ids.len()).for_each(|_| message(cluster)),
        130..149 => pass(cluster, 1..15),
        149..151 => pass(cluster, 100..1500),
        151..166 => propose(cluster, id),
        166..174 => {
            cluster.read(id);
        }
        174..179 => cluster.compact(id),
        179..181 => cluster.crash(id),
        181 if cluster.rng.random() => cluster.host(id).stalled = true,
        181 => cluster.host(id).paused = true,
        182 if cluster.rng.random() => cluster.host(id).link = Link::Mute,
        182 => cluster.host(id).link = Link::Cut,
        183..193 => recover(cluster, id),
        193 => cluster.step(id, Event::Transfer),
        194..198 if shape.changes => change(cluster),
        _ => cluster.sync(id),
    }
}

fn pass(cluster: &mut Cluster, millis: Range<u64>) {
    let millis = cluster.rng.random_range(millis);
    cluster.advance(Duration::from_millis(millis));
}

/// Restarts, resumes or reconnects a replica.
fn recover(cluster: &mut Cluster, id: ReplicaId) {
    let host = cluster.host(id);
    (host.paused, host.stalled) = (false, false);
    host.link = Link::Open;
    cluster.start(id);
}

/// Delivers, loses or duplicates a random message in transit.
fn message(cluster: &mut Cluster) {
    let count = cluster.in_transit.len();
    if count == 0 {
        return pass(cluster, 1..10);
    }
    let at = cluster.rng.random_range(0..count);
    let fate = cluster.rng.random_range(0..20);
    if fate == 0 || count > MAX_IN_TRANSIT {
        cluster.in_transit.swap_remove(at);
    } else if fate == 1 {
        let copy = cluster.in_transit[at].clone();
        cluster.in_transit.push(copy);
    } else {
        cluster.deliver(at);
    }
}

fn propose(cluster: &mut Cluster, id: ReplicaId) {
    let leader = cluster.leader().unwrap_or(id);
    for _ in 0..cluster.rng.random_range(1..4) {
        cluster.propose(leader);
    }
}

/// Adds a new replica, repeats an addition, removes a replica, or evicts or readmits a region.
fn change(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    let newest = cluster.ids().last().expect("a host").0;
    let region = RegionName::new("east").expect("a name");
    let change = match cluster.rng.random_range(0..6) {
        0 if newest < 8 => {
            cluster.add_empty(newest + 1);
            Change::Add(member(newest + 1))
        }
        0 | 1 => Change::Add(member(newest)),
        2 => Change::Remove(ReplicaId(cluster.rng.random_range(1..=newest))),
        3 => Change::Evict(region),
        4 => Change::Readmit(region),
        _ => return,
    };
    cluster.change(leader, change);
}

/// Runs the schedules of one family; `RWR_GEN` selects another set of them.
fn check(schedule: fn(Seed) -> bool, count: u64) {
    let number = |name| {
        let text = std::env::var(name).ok()?;
        text.parse::<u64>().ok()
    };
    if let Some(seed) = number("RWR_SEED") {
        assert!(schedule(Seed(seed)));
        return;
    }
    let rng = Gen::from_size_and_seed(100, number("RWR_GEN").unwrap_or(1));
    let count = number("RWR_SCHEDULES").unwrap_or(count);
    let mut check = QuickCheck::new().rng(rng).tests(count);
    check.quickcheck(schedule);
}

fn three(seed: Seed) -> bool {
    run(THREE, seed.0)
}

fn five(seed: Seed) -> bool {
    run(FIVE, seed.0)
}

fn changing(seed: Seed) -> bool {
    run(CHANGING, seed.0)
}

fn regions(seed: Seed) -> bool {
    run(REGIONS, seed.0)
}

#[test]
fn test_schedules_three_replicas() {
    check(three, 800);
}

#[test]
fn test_schedules_five_replicas() {
    check(five, 400);
}

#[test]
fn test_schedules_changing_group() {
    check(changing, 800);
}

#[test]
fn test_schedules_two_regions() {
    check(regions, 400);
}
