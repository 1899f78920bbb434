//! A simulation of balancers and instances, without a network and from a seed.
//!
//! The pace of an instance changes at intervals, and an almost full instance is slower. Requests
//! arrive at random times, each at a random process, whose balancer handles it as in the real
//! process: it probes, sends, waits, is handed a free slot, or gives up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::DispatcherLocation;
use entry::balancer::Balancer;
use entry::balancer::SelectedInstance;
use entry::balancer::Selection;
use entry::pool::Pool;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use entry::view::InstanceStatus;
use entry::view::Upstream;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::DomainIndex;
use route::Evidence;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Pick;
use route::Ticket;
use tokio::sync::oneshot;
use wire::hub::Phase;

/// Interval at which a waiting request searches again, as in the real process.
const SEARCH_INTERVAL: u64 = 40_000;
/// Keep-alive time of an idle connection.
const KEEP_ALIVE: u64 = 8_500_000;
/// Multiple of the typical work that must remain of the aim for a request to wait, as in the
/// real process.
const WORK_MARGIN: f64 = 1.3;

/// A service and its callers. All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub instances: usize,
    pub slots: u32,
    pub work: u64,
    pub aim: u64,
    /// The duration for which a pace is constant, the share of slow intervals, and their
    /// slowdown.
    pub pace_interval: u64,
    pub slow_share: f64,
    pub slowdown: f64,
    pub processes: usize,
    pub calls: f64,
    pub seconds: u64,
}

/// The results of a simulation, as shares of all requests.
#[derive(Clone, Copy, Debug)]
pub struct SimulationResult {
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// Probes per instance and second.
    pub probes: f64,
    /// Opened connections per request.
    pub opened: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Search(usize),
    End(usize),
}

struct SimulatedInstance {
    busy: u32,
    queue: VecDeque<usize>,
    seed: u64,
}

struct Job {
    process: usize,
    arrived_at: u64,
    work: f64,
    instance: usize,
    ticket: Option<Ticket>,
    slot: Option<oneshot::Receiver<Pick>>,
    done: bool,
}

struct Simulation {
    case: Case,
    rng: SmallRng,
    balancers: Vec<Balancer>,
    instances: Vec<SimulatedInstance>,
    upstreams: Vec<Arc<Upstream>>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    now: u64,
    probes: u64,
    /// When a process last used its connection to an instance.
    last_used: HashMap<(usize, usize), u64>,
    opened: u64,
    outcomes: [u64; 3],
}

fn at(micros: u64) -> Moment {
    Moment::from_millis(1_000) + Duration::from_micros(micros)
}

fn upstream(index: usize) -> Arc<Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Upstream {
        id: InstanceId::new(&index.to_string()).expect("a name"),
        incarnation: 0,
        service: ServiceName::new("s").expect("a name"),
        address,
        domain: DomainName::new("a").expect("a name"),
        slots: 1,
        cold: Duration::ZERO,
        pool: Pool::new(address),
    })
}

/// Simulates a case. With `dispatched`, one process dispatches all requests.
pub fn simulate(case: Case, dispatched: bool, seed: u64) -> SimulationResult {
    let upstreams: Vec<Arc<Upstream>> = (0..case.instances)
        .map(|index| {
            let mut upstream = upstream(index);
            Arc::get_mut(&mut upstream).expect("new").slots = case.slots;
            upstream
        })
        .collect();
    let processes = if dispatched { 1 } else { case.processes };
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: 60,
        entries: u32::try_from(case.processes).expect("few"),
    };
    let balancer = |n: usize| {
        let domain = DomainName::new("a").expect("a name");
        let mut balancer = Balancer::new(domain, &shared, seed * 100 + n as u64, at(0));
        let statuses = upstreams.iter().map(|upstream| InstanceStatus {
            phase: Phase::Ready,
            silent: false,
            upstream,
        });
        balancer.update(at(0), statuses);
        if dispatched {
            balancer.set_dispatcher_location(at(0), DispatcherLocation::Local);
        }
        balancer
    };
    let mut simulation = Simulation {
        balancers: (0..processes).map(balancer).collect(),
        instances: (0..case.instances as u64)
            .map(|n| SimulatedInstance {
                busy: 0,
                queue: VecDeque::new(),
                seed: seed * 1_000 + n,
            })
            .collect(),
        rng: SmallRng::seed_from_u64(seed),
        upstreams,
        jobs: Vec::new(),
        events: BinaryHeap::new(),
        now: 0,
        probes: 0,
        last_used: HashMap::new(),
        opened: 0,
        outcomes: [0; 3],
        case,
    };
    simulation.run()
}

impl Simulation {
    fn run(&mut self) -> SimulationResult {
        let end = self.case.seconds * 1_000_000;
        let mut next = 0.0;
        while next < end as f64 {
            let process = self.rng.random_range(0..self.balancers.len());
            // The sum of uniform values approximates a normal distribution.
            let spread: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum::<f64>() - 2.0;
            self.jobs.push(Job {
                process,
                arrived_at: next as u64,
                work: self.case.work as f64 * (0.5 * spread).exp(),
                instance: 0,
                ticket: None,
                slot: None,
                done: false,
            });
            let job = self.jobs.len() - 1;
            self.events.push(Reverse((next as u64, Event::Arrive(job))));
            next -= (1.0 - self.rng.random::<f64>()).ln() / self.case.calls * 1e6;
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive(job) | Event::Search(job) => self.search(job),
                Event::End(job) => self.end(job),
            }
        }
        let all = self.jobs.len() as f64;
        let [in_time, late, refused] = self.outcomes.map(|count| count as f64 / all);
        let instance_seconds = (self.case.instances as u64 * self.case.seconds) as f64;
        SimulationResult {
            in_time,
            late,
            refused,
            probes: self.probes as f64 / instance_seconds,
            opened: self.opened as f64 / all,
        }
    }

    fn pace(&self, instance: usize) -> f64 {
        let pace_interval = self.now / self.case.pace_interval;
        let seed = self.instances[instance].seed.wrapping_mul(1_000_003) + pace_interval;
        let slow = SmallRng::seed_from_u64(seed).random::<f64>() < self.case.slow_share;
        if slow { self.case.slowdown } else { 1.0 }
    }

    fn report(&self, instance: usize) -> LoadReport {
        LoadReport {
            running: self.instances[instance].busy,
            waiting: self.instances[instance].queue.len() as u32,
            slots: self.case.slots,
            pace: (self.pace(instance) * 100.0) as u32,
        }
    }

    fn need(&self, job: usize) -> Need {
        let spent = self.now - self.jobs[job].arrived_at;
        Need {
            work: Duration::from_micros(self.case.work),
            aim: Duration::from_micros(self.case.aim.saturating_sub(spent).max(self.case.aim / 4)),
            crossing: 0.0,
            max_occupancy: 1.0,
            domain_index: DomainIndex::OWN,
            evidence: Evidence::Any,
        }
    }

    /// How long the request may still wait for a free slot.
    fn remaining_wait(&self, job: usize) -> u64 {
        let margin = (self.case.work as f64 * WORK_MARGIN) as u64;
        let spent = self.now - self.jobs[job].arrived_at;
        self.case.aim.saturating_sub(margin).saturating_sub(spent)
    }

    fn index_of(&self, upstream: &Upstream) -> usize {
        let found = self.upstreams.iter().position(|u| u.id == upstream.id);
        found.expect("one of them")
    }

    fn search(&mut self, job: usize) {
        if self.jobs[job].done || self.jobs[job].ticket.is_some() {
            return;
        }
        let (process, need, now) = (self.jobs[job].process, self.need(job), at(self.now));
        for round in 0.. {
            let asked = self.balancers[process].plan_probes(now, &need, &[], round);
            if asked.is_empty() {
                break;
            }
            for (pick, upstream) in asked {
                self.probes += 1;
                let instance = self.index_of(&upstream);
                self.connect(process, instance);
                let report = self.report(instance);
                self.balancers[process].record_probe(now, pick, Some(report));
            }
        }
        let remaining_wait = self.remaining_wait(job);
        match self.balancers[process].choose(now, &need, &[]) {
            Selection::Send(chosen) => self.send(job, &chosen),
            Selection::Slow(chosen) if remaining_wait == 0 => self.send(job, &chosen),
            Selection::Slow(_) | Selection::Wait if remaining_wait > 0 => {
                self.wait_for_capacity(job, remaining_wait.min(SEARCH_INTERVAL));
            }
            _ => {
                self.jobs[job].done = true;
                self.outcomes[2] += 1;
            }
        }
    }

    fn wait_for_capacity(&mut self, job: usize, duration: u64) {
        let until = self.now + duration;
        let process = self.jobs[job].process;
        self.jobs[job].slot = Some(self.balancers[process].wait_for_capacity(0, at(until)));
        self.events.push(Reverse((until, Event::Search(job))));
    }

    fn send(&mut self, job: usize, chosen: &SelectedInstance) {
        let process = self.jobs[job].process;
        let ticket = self.balancers[process].start_attempt(at(self.now), chosen.choice.pick);
        let instance = self.index_of(&chosen.upstream);
        self.connect(process, instance);
        self.jobs[job].ticket = Some(ticket);
        self.jobs[job].instance = instance;
        self.instances[instance].queue.push_back(job);
        self.start_queued(instance);
    }

    /// Uses the process's connection to an instance, or opens one if none is alive.
    fn connect(&mut self, process: usize, instance: usize) {
        let before = self.last_used.insert((process, instance), self.now);
        let is_alive = before.is_some_and(|at| self.now - at < KEEP_ALIVE);
        self.opened += u64::from(!is_alive);
    }

    /// Starts requests that are queued at the instance while it has free slots.
    fn start_queued(&mut self, instance: usize) {
        while self.instances[instance].busy < self.case.slots {
            let Some(job) = self.instances[instance].queue.pop_front() else {
                return;
            };
            self.instances[instance].busy += 1;
            let full = f64::from(self.instances[instance].busy) > 0.8 * f64::from(self.case.slots);
            let slowdown = if full { 1.7 } else { 1.0 };
            let duration = self.jobs[job].work * self.pace(instance) * slowdown;
            self.events
                .push(Reverse((self.now + duration as u64, Event::End(job))));
        }
    }

    fn end(&mut self, job: usize) {
        let (instance, process) = (self.jobs[job].instance, self.jobs[job].process);
        self.instances[instance].busy -= 1;
        let in_time = self.now - self.jobs[job].arrived_at <= self.case.aim;
        self.outcomes[usize::from(!in_time)] += 1;
        self.jobs[job].done = true;
        let ticket = self.jobs[job].ticket.take().expect("it was sent");
        let report = self.report(instance);
        self.balancers[process].finish_attempt(at(self.now), ticket, OutcomeKind::Ok, Some(report));
        self.start_queued(instance);
        self.offer_slots();
    }

    /// Sends the requests that were handed a free slot.
    fn offer_slots(&mut self) {
        for job in 0..self.jobs.len() {
            let slot = self.jobs[job]
                .slot
                .as_mut()
                .map(oneshot::Receiver::try_recv);
            let Some(Ok(pick)) = slot else { continue };
            self.jobs[job].slot = None;
            let (process, need) = (self.jobs[job].process, self.need(job));
            let selection = self.balancers[process].choose_instance(at(self.now), &need, pick);
            match selection {
                Selection::Send(chosen) if !self.jobs[job].done => self.send(job, &chosen),
                _ => {}
            }
        }
    }
}
