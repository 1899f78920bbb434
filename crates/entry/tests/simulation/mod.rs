//! A simulation of balancers and instances, without a network and from a seed.
//!
//! The pace of an instance changes at intervals, and an almost full instance is slower. Requests
//! arrive at random times, each at a random process, whose balancer handles it as in the real
//! process: it probes, sends, waits, is handed a free slot, or gives up.
#![allow(dead_code, reason = "each test binary uses its own part")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admit::Waiting;
use base::prelude::*;
use dispatch::DispatcherLocation;
use dispatch::parts;
use dispatch::parts::Division;
use dispatch::parts::PartId;
use entry::balancer::Balancer;
use entry::balancer::Offer;
use entry::balancer::PartPlan;
use entry::balancer::SelectedInstance;
use entry::balancer::Selection;
use entry::balancer::preferred;
use entry::pool::Pool;
use entry::search::SearchScope;
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

/// Time for which the dispatcher of a part holds a request, as in the real process.
const MAX_HOLD: u64 = 30_000;
/// Number of parts that one search asks, as in the real process.
const MAX_ANSWERS: usize = 3;
/// Maximum number of instances in a part.
const MAX_DISPATCHED: usize = 24;

/// Who chooses instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each process for its own requests.
    Alone,
    /// One process for all requests.
    Dispatcher,
    /// The dispatcher of each part.
    Parts,
}

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
    /// Failure domains of instances and processes.
    pub domains: usize,
    /// Probes that each instance may get per second from all processes.
    pub probes: u32,
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
    /// Messages to dispatchers of parts per request, without releases.
    pub asked: f64,
    /// Requests that are sent to another failure domain.
    pub crossed: f64,
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
    slot: Option<oneshot::Receiver<Offer>>,
    done: bool,
    /// The process that chooses the instance.
    chooser: usize,
    /// The scope of its choice.
    scope: SearchScope,
    /// The ticket of the request's own process, if another one chose the instance.
    own_ticket: Option<Ticket>,
    /// The parts that were asked.
    tried: Vec<PartId>,
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
    asked: u64,
    crossed: u64,
    outcomes: [u64; 3],
}

fn at(micros: u64) -> Moment {
    Moment::from_millis(1_000) + Duration::from_micros(micros)
}

fn domain(case: Case, index: usize) -> DomainName {
    DomainName::new(&format!("d{}", index % case.domains)).expect("a name")
}

/// The address of a process for placement requests.
fn place(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + process as u16))
}

fn upstream(case: Case, index: usize) -> Arc<Upstream> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Arc::new(Upstream {
        id: InstanceId::new(&index.to_string()).expect("a name"),
        incarnation: 0,
        service: ServiceName::new("s").expect("a name"),
        address,
        domain: domain(case, index),
        slots: case.slots,
        cold: Duration::ZERO,
        pool: Pool::new(address),
    })
}

/// Divides the service of a balancer into parts.
fn plan(case: Case, balancer: &Balancer, own: usize) -> PartPlan {
    let service = ServiceName::new("s").expect("a name");
    let all = (0..case.processes).map(|n| (place(n).to_string(), domain(case, n)));
    let all: Vec<(String, DomainName)> = all.collect();
    let processes = all.iter().map(|(place, domain)| parts::Process {
        place,
        domain: domain.as_str(),
    });
    let processes: Vec<parts::Process<'_>> = processes.collect();
    let members: Vec<parts::Member<'_>> = balancer.members().collect();
    let division = Division::new(&service, &members, &processes, MAX_DISPATCHED);
    PartPlan {
        home: parts::home(&service, processes[own], &processes, &division),
        division,
        own: processes[own].place.to_owned(),
        domain: domain(case, own),
    }
}

/// Simulates a case.
pub fn simulate(case: Case, way: Way, seed: u64) -> SimulationResult {
    let upstreams: Vec<Arc<Upstream>> = (0..case.instances)
        .map(|index| upstream(case, index))
        .collect();
    let processes = if way == Way::Dispatcher {
        1
    } else {
        case.processes
    };
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: case.probes,
        entries: u32::try_from(case.processes).expect("few"),
    };
    let balancer = |n: usize| {
        let mut balancer = Balancer::new(domain(case, n), &shared, seed * 100 + n as u64, at(0));
        let statuses = upstreams.iter().map(|upstream| InstanceStatus {
            phase: Phase::Ready,
            silent: false,
            upstream,
        });
        balancer.update(at(0), statuses);
        match way {
            Way::Alone => {}
            Way::Dispatcher => balancer.set_dispatcher_location(at(0), DispatcherLocation::Local),
            Way::Parts => {
                let plan = plan(case, &balancer, n);
                balancer.set_parts(at(0), Some(plan));
            }
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
        asked: 0,
        crossed: 0,
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
                chooser: process,
                scope: SearchScope::default(),
                own_ticket: None,
                tried: Vec::new(),
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
            asked: self.asked as f64 / all,
            crossed: self.crossed as f64 / all,
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
        let process = self.jobs[job].process;
        if !self.balancers[process].has_parts() {
            let hold = self.remaining_wait(job).min(SEARCH_INTERVAL);
            if !self.search_once(job, hold) {
                self.refuse(job);
            }
            return;
        }
        while self.select_part(job) {
            let hold = self.remaining_wait(job).min(MAX_HOLD);
            if self.search_once(job, hold) {
                return;
            }
        }
        // None grants an instance: search again while there is time.
        self.jobs[job].tried.clear();
        if self.remaining_wait(job) == 0 {
            self.refuse(job);
        } else {
            self.events
                .push(Reverse((self.now + 1, Event::Search(job))));
        }
    }

    fn refuse(&mut self, job: usize) {
        self.jobs[job].done = true;
        self.outcomes[2] += 1;
    }

    /// Selects the next part to ask; false if enough were asked.
    fn select_part(&mut self, job: usize) -> bool {
        let (process, tried) = (self.jobs[job].process, &self.jobs[job].tried);
        if tried.len() >= MAX_ANSWERS {
            return false;
        }
        let target = self.balancers[process].next_part(at(self.now), tried, 0.0);
        let Some(target) = target else { return false };
        let chooser = target.address;
        let chooser = chooser.map_or(process, |place| usize::from(place.port()) - 10_000);
        self.asked += u64::from(chooser != process);
        let connected = self.connected(process, &target.id);
        let job = &mut self.jobs[job];
        job.scope.connected = self.balancers[chooser].picks(&connected);
        job.scope.part = Some(target.id.clone());
        job.tried.push(target.id);
        job.chooser = chooser;
        true
    }

    /// Ids of a few instances of the part to which the process has idle connections.
    fn connected(&self, process: usize, part: &PartId) -> Vec<String> {
        let division = self.balancers[process].division().expect("parts");
        let position = division.position(part);
        let upstreams = self.upstreams.iter().enumerate();
        let connected = upstreams.filter(|(index, upstream)| {
            let used = self.last_used.get(&(process, *index));
            division.position_of(&upstream.id) == position
                && used.is_some_and(|at| self.now - at < KEEP_ALIVE)
        });
        let ids = connected.map(|(_, upstream)| upstream.id.to_string());
        let instances = position.map(|position| division.parts()[position].instances);
        preferred(ids.collect(), instances.unwrap_or_default())
    }

    /// Searches once by the process that chooses; the request is sent, or waits for `hold`.
    /// Returns false if it is neither.
    fn search_once(&mut self, job: usize, hold: u64) -> bool {
        let (chooser, need, now) = (self.jobs[job].chooser, self.need(job), at(self.now));
        let scope = self.jobs[job].scope.clone();
        for round in 0.. {
            let asked = self.balancers[chooser].scoped(at(self.now), &scope, |balancer| {
                balancer.plan_probes(now, &need, &[], round)
            });
            let asked = asked.expect("a part");
            if asked.is_empty() {
                break;
            }
            for (pick, upstream) in asked {
                self.probes += 1;
                let instance = self.index_of(&upstream);
                self.connect(chooser, instance);
                let report = self.report(instance);
                self.balancers[chooser].record_probe(now, pick, Some(report));
            }
        }
        let selection = self.balancers[chooser].scoped(at(self.now), &scope, |balancer| {
            balancer.choose(now, &need, &[])
        });
        let has_time = self.remaining_wait(job) > 0;
        let selection = selection.expect("a part");
        self.record_answer(job, matches!(selection, Selection::Send(_)));
        match selection {
            Selection::Send(chosen) => self.send(job, &chosen),
            Selection::Slow(chosen) if !has_time => self.send(job, &chosen),
            Selection::Slow(_) | Selection::Wait if has_time => self.wait_for_capacity(job, hold),
            _ => return false,
        }
        true
    }

    /// Records the load of the part that a request asked.
    fn record_answer(&mut self, job: usize, granted: bool) {
        let Job {
            process, chooser, ..
        } = self.jobs[job];
        if let Some(part) = &self.jobs[job].scope.part {
            let load = self.balancers[chooser].part_load(at(self.now), part);
            self.balancers[process].record_part_answer(at(self.now), part, load, granted);
        }
    }

    fn wait_for_capacity(&mut self, job: usize, duration: u64) {
        let until = self.now + duration;
        let chooser = self.jobs[job].chooser;
        let (now, waiting) = (at(self.now), Waiting::new(0, at(until)));
        let offer = self.balancers[chooser].wait_for_capacity(now, waiting);
        self.jobs[job].slot = Some(offer);
        self.events.push(Reverse((until, Event::Search(job))));
    }

    fn send(&mut self, job: usize, chosen: &SelectedInstance) {
        let Job {
            process, chooser, ..
        } = self.jobs[job];
        let ticket = self.balancers[chooser].start_attempt(at(self.now), chosen.choice.pick);
        if chooser != process {
            let own = &mut self.balancers[process];
            let pick = own.picks(&[chosen.upstream.id.to_string()])[0];
            self.jobs[job].own_ticket = Some(own.start_attempt(at(self.now), pick));
        }
        let instance = self.index_of(&chosen.upstream);
        self.crossed += u64::from(chosen.upstream.domain != domain(self.case, process));
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
        let Job {
            instance,
            process,
            chooser,
            ..
        } = self.jobs[job];
        self.instances[instance].busy -= 1;
        let in_time = self.now - self.jobs[job].arrived_at <= self.case.aim;
        self.outcomes[usize::from(!in_time)] += 1;
        self.jobs[job].done = true;
        let ticket = self.jobs[job].ticket.take().expect("it was sent");
        let report = self.report(instance);
        self.balancers[chooser].finish_attempt(at(self.now), ticket, OutcomeKind::Ok, Some(report));
        if let Some(own) = self.jobs[job].own_ticket.take() {
            self.balancers[process].finish_attempt(
                at(self.now),
                own,
                OutcomeKind::Ok,
                Some(report),
            );
        }
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
            let Some(Ok(Offer::Slot(pick))) = slot else {
                continue;
            };
            self.jobs[job].slot = None;
            let (chooser, need) = (self.jobs[job].chooser, self.need(job));
            let scope = self.jobs[job].scope.clone();
            let selection = self.balancers[chooser].scoped(at(self.now), &scope, |balancer| {
                balancer.choose_instance(at(self.now), &need, pick)
            });
            match selection.expect("a part") {
                Selection::Send(chosen) if !self.jobs[job].done => self.send(job, &chosen),
                _ => {}
            }
        }
    }
}
