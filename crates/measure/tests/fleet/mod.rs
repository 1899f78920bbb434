//! Gateways with meters under a random schedule of changes and faults.

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
pub enum MeterKind {
    Product,
    // A bucket a gateway with the whole budget, full at the start.
    Naive,
}

struct Naive {
    level: f64,
    filled: Moment,
}

struct Process {
    host: usize,
    up: bool,
    cut: bool,
    // The process's clock has its own origin and pace, in parts of a thousand.
    origin: Moment,
    pace: u64,
    meter: ProbeLimiter,
    naive: Naive,
}

// One step: the largest budget and the gateways of the versions that may be in use.
struct Allowed {
    // Probes allowed since the start.
    total: f64,
    gateways: BTreeSet<HostName>,
}

pub struct Excess {
    count: u32,
    span: Duration,
    most: f64,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { count, span, most } = self;
        write!(f, "{count} probes in {span:?}, at most {most:.2} allowed")
    }
}

pub struct Fleet {
    kind: MeterKind,
    faults: bool,
    rng: StdRng,
    now: Moment,
    // Accepted versions with the time of each, oldest first.
    versions: Vec<(Moment, Arc<Registry>)>,
    processes: Vec<Process>,
    allowed: Vec<Allowed>,
    // Step and time of each probe.
    probes: Vec<(usize, Moment)>,
}

impl Fleet {
    pub fn new(kind: MeterKind, seed: u64) -> Self {
        let processes = (0..PROCESSES).map(|index| process(index / 2, Moment::ZERO, 1000));
        Self {
            kind,
            faults: true,
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            versions: vec![(Moment::ZERO, Arc::new(registry(1, &[0, 1, 2], 2_000)))],
            processes: processes.collect(),
            allowed: Vec::new(),
            probes: Vec::new(),
        }
    }

    // Nothing changes or fails, and clocks agree.
    pub fn steady(gateways: usize, millis: u32) -> Self {
        let hosts: Vec<usize> = (0..gateways).collect();
        let mut fleet = Self::new(MeterKind::Product, 0);
        fleet.faults = false;
        fleet.versions = vec![(Moment::ZERO, Arc::new(registry(1, &hosts, millis)))];
        fleet.processes = hosts
            .iter()
            .map(|host| process(*host, Moment::ZERO, 1000))
            .collect();
        fleet.processes.iter_mut().for_each(|p| p.up = true);
        fleet.share_holders();
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
        self.spread();
        self.allow();
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
            let millis = self.rng.random_range(0..8) * 1_000;
            let version = self.last().version + 1;
            let next = Arc::new(registry(version, &hosts, millis));
            self.versions.push((self.now, next));
        }
    }

    fn change_processes(&mut self) {
        for index in 0..self.processes.len() {
            if self.rng.random_bool(0.002) {
                let old = &self.processes[index];
                let (host, was_up) = (old.host, old.up);
                let pace = self.rng.random_range(990..=1010);
                self.processes[index] = process(host, self.now, pace);
                self.processes[index].up = !was_up;
                self.share_holders();
            }
            if self.rng.random_bool(0.003) {
                self.processes[index].cut ^= true;
            }
        }
    }

    // The right to probe goes to the first process of a host that is up.
    fn share_holders(&mut self) {
        let mut held = BTreeSet::new();
        for process in &mut self.processes {
            let now = process.clock(self.now);
            let holds = process.up && held.insert(process.host);
            process.meter.set_holder(holds, now);
        }
    }

    // A process that isn't cut asks, and hears what was current when it asked or later.
    fn spread(&mut self) {
        for index in 0..self.processes.len() {
            let asks = !self.faults || self.rng.random_bool(0.2);
            if !self.processes[index].up || self.processes[index].cut || !asks {
                continue;
            }
            let most = if self.faults { 400 } else { 1 };
            let back = Duration::from_millis(self.rng.random_range(0..most));
            let asked = self.now.before(back);
            let first = self.versions.iter().rposition(|(at, _)| *at <= asked);
            let picked = self
                .rng
                .random_range(first.unwrap_or(0)..self.versions.len());
            let registry = self.versions[picked].1.clone();
            self.processes[index].hear(registry, asked, self.now);
        }
    }

    fn allow(&mut self) {
        let since = self.now.before(LEASE + LEASE / 25 + STEP);
        let ends = self.versions.iter().skip(1).map(|(at, _)| Some(*at));
        let used = self.versions.iter().zip(ends.chain([None]));
        let used = used.filter(|(_, end)| end.is_none_or(|end| end >= since));
        let mut gateways = BTreeSet::new();
        let mut millis = 0;
        for ((_, registry), _) in used {
            gateways.extend(registry.gateways.iter().cloned());
            millis = millis.max(registry.budgets[&service()]);
        }
        let before = self.allowed.last().map_or(0.0, |allowed| allowed.total);
        // The pace of clocks lies up to a hundredth from the true one.
        let total = before + f64::from(millis) / 1_000.0 * STEP.as_secs_f64() * 1.01;
        self.allowed.push(Allowed { total, gateways });
    }

    // A surge: every process wants a probe at every step.
    fn probe(&mut self) {
        let step = self.allowed.len() - 1;
        let budget = self.last().budgets[&service()];
        for process in self.processes.iter_mut().filter(|process| process.up) {
            let now = process.clock(self.now);
            let sent = match self.kind {
                MeterKind::Product => process.meter.spend(&service(), &instance(), now).is_ok(),
                MeterKind::Naive => process.naive.spend(budget, now),
            };
            if sent {
                self.probes.push((step, self.now));
            }
        }
    }

    fn last(&self) -> &Registry {
        &self.versions.last().expect("there is a first version").1
    }

    // The first window found that holds more than the bound proved.
    pub fn excess(&self) -> Option<Excess> {
        (0..self.probes.len()).find_map(|first| self.excess_from(first))
    }

    fn excess_from(&self, first: usize) -> Option<Excess> {
        let (begin, from) = self.probes[first];
        let mut seen = begin;
        let mut gateways = self.allowed[begin].gateways.clone();
        for (count, (step, until)) in (1..).zip(&self.probes[first..]) {
            while seen < *step {
                seen += 1;
                gateways.extend(self.allowed[seen].gateways.iter().cloned());
            }
            let bursts = u32::try_from(gateways.len()).unwrap_or(u32::MAX);
            let rate = self.allowed[*step].total - self.allowed[begin].total;
            let most = rate + f64::from(bursts) + 1e-6;
            if f64::from(count) > most {
                let span = until.since(from);
                return Some(Excess { count, span, most });
            }
        }
        None
    }
}

impl Process {
    fn clock(&self, at: Moment) -> Moment {
        let nanos = at.since(self.origin).as_nanos() * u128::from(self.pace) / 1000;
        Moment::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn hear(&mut self, registry: Arc<Registry>, asked: Moment, now: Moment) {
        if asked < self.origin {
            return;
        }
        let (sent, now) = (self.clock(asked), self.clock(now));
        let version = registry.version;
        self.meter.update_registry(registry, now);
        self.meter.confirm(version, sent, now);
        self.meter.add(&service(), &instance(), now);
    }
}

impl Naive {
    fn spend(&mut self, millis: u32, now: Moment) -> bool {
        let earned = now.since(self.filled).as_secs_f64() * f64::from(millis) / 1_000.0;
        self.level = (self.level + earned).min(1.0);
        self.filled = now;
        let is_full = self.level >= 1.0;
        if is_full {
            self.level -= 1.0;
        }
        is_full
    }
}

fn process(host: usize, origin: Moment, pace: u64) -> Process {
    let anchor = Duration::from_nanos(origin.nanos());
    Process {
        host,
        up: false,
        cut: false,
        origin,
        pace,
        meter: ProbeLimiter::new(name(host), LEASE, anchor),
        naive: Naive {
            level: 1.0,
            filled: Moment::ZERO,
        },
    }
}

fn registry(version: u64, hosts: &[usize], millis: u32) -> Registry {
    Registry {
        version,
        gateways: hosts.iter().map(|host| name(*host)).collect(),
        budgets: BTreeMap::from([(service(), millis)]),
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
