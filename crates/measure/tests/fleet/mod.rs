//! A simulation of gateways with probe limiters under random changes and faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use measure::ProbeLimiter;
use measure::Registry;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const LEASE: Duration = Duration::from_secs(3);
pub const STEP: Duration = Duration::from_millis(20);

const HOSTS: usize = 6;
// Two processes of each host name.
const PROCESSES: usize = HOSTS * 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterKind {
    Real,
    // Each gateway has a bucket that is full at the start and filled at the whole budget.
    Naive,
}

struct Naive {
    level: f64,
    filled_at: Moment,
}

struct Process {
    host: usize,
    up: bool,
    partitioned: bool,
    // Time at which the process's clock starts.
    origin: Moment,
    // Rate of the process's clock, in thousandths.
    clock_rate: u64,
    limiter: ProbeLimiter,
    naive: Naive,
}

// The bound at one step, from the versions that may be in use.
struct Bound {
    // Probes allowed since the start, at the largest budget.
    total: f64,
    gateways: BTreeSet<HostName>,
}

pub struct Excess {
    count: u32,
    span: Duration,
    max: f64,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { count, span, max } = self;
        write!(f, "{count} probes in {span:?}, at most {max:.2} allowed")
    }
}

pub struct Fleet {
    kind: LimiterKind,
    faults: bool,
    rng: StdRng,
    now: Moment,
    // Accepted versions with their times, oldest first.
    versions: Vec<(Moment, Arc<Registry>)>,
    processes: Vec<Process>,
    bounds: Vec<Bound>,
    // Step and time of each probe.
    probes: Vec<(usize, Moment)>,
}

impl Fleet {
    pub fn new(kind: LimiterKind, seed: u64) -> Self {
        let processes = (0..PROCESSES).map(|index| process(index / 2, Moment::ZERO, 1000));
        Self {
            kind,
            faults: true,
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            versions: vec![(Moment::ZERO, Arc::new(registry(1, &[0, 1, 2], 2_000)))],
            processes: processes.collect(),
            bounds: Vec::new(),
            probes: Vec::new(),
        }
    }

    // A fleet without changes, faults and clock differences.
    pub fn steady(gateways: usize, budget: u32) -> Self {
        let hosts: Vec<usize> = (0..gateways).collect();
        let mut fleet = Self::new(LimiterKind::Real, 0);
        fleet.faults = false;
        fleet.versions = vec![(Moment::ZERO, Arc::new(registry(1, &hosts, budget)))];
        fleet.processes = hosts
            .iter()
            .map(|host| process(*host, Moment::ZERO, 1000))
            .collect();
        fleet.processes.iter_mut().for_each(|p| p.up = true);
        fleet.assign_holders();
        fleet
    }

    pub fn times(&self) -> impl Iterator<Item = Moment> {
        self.probes.iter().map(|(_, at)| *at)
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.faults {
            self.change_catalogue();
            self.change_processes();
        }
        self.distribute_catalogue();
        self.record_bound();
        self.probe();
    }

    fn change_catalogue(&mut self) {
        if !self.rng.random_bool(0.004) {
            return;
        }
        // Some changes come in bursts, so that versions are skipped.
        for _ in 0..self.rng.random_range(1..4) {
            let mut hosts: Vec<usize> = (0..HOSTS).collect();
            hosts.retain(|_| self.rng.random_bool(0.5));
            let budget = self.rng.random_range(0..8) * 1_000;
            let version = self.last().version + 1;
            let next = Arc::new(registry(version, &hosts, budget));
            self.versions.push((self.now, next));
        }
    }

    fn change_processes(&mut self) {
        for index in 0..self.processes.len() {
            if self.rng.random_bool(0.002) {
                let old = &self.processes[index];
                let (host, was_up) = (old.host, old.up);
                let clock_rate = self.rng.random_range(990..=1010);
                self.processes[index] = process(host, self.now, clock_rate);
                self.processes[index].up = !was_up;
                self.assign_holders();
            }
            if self.rng.random_bool(0.003) {
                self.processes[index].partitioned ^= true;
            }
        }
    }

    // Gives the right to probe to the first process of each host that is up.
    fn assign_holders(&mut self) {
        let mut hosts = BTreeSet::new();
        for process in &mut self.processes {
            let now = process.clock(self.now);
            let is_holder = process.up && hosts.insert(process.host);
            process.limiter.set_holder(is_holder, now);
        }
    }

    // A process that isn't partitioned requests the catalogue and receives a version that was
    // current at the request or later.
    fn distribute_catalogue(&mut self) {
        for index in 0..self.processes.len() {
            let requests = !self.faults || self.rng.random_bool(0.2);
            if !self.processes[index].up || self.processes[index].partitioned || !requests {
                continue;
            }
            let max_age = if self.faults { 400 } else { 1 };
            let age = Duration::from_millis(self.rng.random_range(0..max_age));
            let requested_at = self.now.before(age);
            let first = self
                .versions
                .iter()
                .rposition(|(at, _)| *at <= requested_at);
            let picked = self
                .rng
                .random_range(first.unwrap_or(0)..self.versions.len());
            let registry = self.versions[picked].1.clone();
            self.processes[index].receive(registry, requested_at, self.now);
        }
    }

    fn record_bound(&mut self) {
        let from = self.now.before(LEASE + LEASE / 25 + STEP);
        let ends = self.versions.iter().skip(1).map(|(at, _)| Some(*at));
        let used = self.versions.iter().zip(ends.chain([None]));
        let used = used.filter(|(_, end)| end.is_none_or(|end| end >= from));
        let mut gateways = BTreeSet::new();
        let mut budget = 0;
        for ((_, registry), _) in used {
            gateways.extend(registry.gateways.iter().cloned());
            budget = budget.max(registry.budgets[&service()]);
        }
        let before = self.bounds.last().map_or(0.0, |bound| bound.total);
        // Clock rates differ by up to 1 % from the true rate.
        let total = before + f64::from(budget) / 1_000.0 * STEP.as_secs_f64() * 1.01;
        self.bounds.push(Bound { total, gateways });
    }

    // Every process tries to send a probe at every step.
    fn probe(&mut self) {
        let step = self.bounds.len() - 1;
        let budget = self.last().budgets[&service()];
        for process in self.processes.iter_mut().filter(|process| process.up) {
            let now = process.clock(self.now);
            let sent = match self.kind {
                LimiterKind::Real => process.limiter.spend(&service(), &instance(), now).is_ok(),
                LimiterKind::Naive => process.naive.spend(budget, now),
            };
            if sent {
                self.probes.push((step, self.now));
            }
        }
    }

    fn last(&self) -> &Registry {
        &self.versions.last().expect("there is a first version").1
    }

    // The first window with more probes than the bound.
    pub fn excess(&self) -> Option<Excess> {
        (0..self.probes.len()).find_map(|first| self.excess_from(first))
    }

    fn excess_from(&self, first: usize) -> Option<Excess> {
        let (begin, from) = self.probes[first];
        let mut seen = begin;
        let mut gateways = self.bounds[begin].gateways.clone();
        for (count, (step, until)) in (1..).zip(&self.probes[first..]) {
            while seen < *step {
                seen += 1;
                gateways.extend(self.bounds[seen].gateways.iter().cloned());
            }
            let bursts = u32::try_from(gateways.len()).unwrap_or(u32::MAX);
            let rate = self.bounds[*step].total - self.bounds[begin].total;
            let max = rate + f64::from(bursts) + 1e-6;
            if f64::from(count) > max {
                let span = until.since(from);
                return Some(Excess { count, span, max });
            }
        }
        None
    }
}

impl Process {
    fn clock(&self, at: Moment) -> Moment {
        let nanos = at.since(self.origin).as_nanos() * u128::from(self.clock_rate) / 1000;
        Moment::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn receive(&mut self, registry: Arc<Registry>, requested_at: Moment, now: Moment) {
        if requested_at < self.origin {
            return;
        }
        let (sent, now) = (self.clock(requested_at), self.clock(now));
        let version = registry.version;
        self.limiter.update_registry(registry, now);
        self.limiter.confirm(version, sent, now);
        self.limiter.add(&service(), &instance(), now);
    }
}

impl Naive {
    fn spend(&mut self, budget: u32, now: Moment) -> bool {
        let earned = now.since(self.filled_at).as_secs_f64() * f64::from(budget) / 1_000.0;
        self.level = (self.level + earned).min(1.0);
        self.filled_at = now;
        let is_full = self.level >= 1.0;
        if is_full {
            self.level -= 1.0;
        }
        is_full
    }
}

fn process(host: usize, origin: Moment, clock_rate: u64) -> Process {
    let anchor = Duration::from_nanos(origin.nanos());
    Process {
        host,
        up: false,
        partitioned: false,
        origin,
        clock_rate,
        limiter: ProbeLimiter::new(name(host), LEASE, anchor),
        naive: Naive {
            level: 1.0,
            filled_at: Moment::ZERO,
        },
    }
}

fn registry(version: u64, hosts: &[usize], budget: u32) -> Registry {
    Registry {
        version,
        gateways: hosts.iter().map(|host| name(*host)).collect(),
        budgets: BTreeMap::from([(service(), budget)]),
    }
}

fn name(host: usize) -> HostName {
    HostName::new(&format!("gateway-{host:02}")).expect("a valid name")
}

pub fn service() -> ServiceName {
    ServiceName::new("drawings").expect("a valid name")
}

pub fn instance() -> InstanceId {
    InstanceId::new("drawings-1").expect("a valid name")
}
