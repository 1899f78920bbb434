//! A discrete-event simulation of gateways with the real admission and attempts, and fake
//! upstreams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use admit::Admission;
use admit::Arrival;
use admit::Finish;
use admit::Request;
use admit::Settings;
use admit::Ticket;
use attempt::BudgetSettings;
use attempt::Call;
use attempt::Event;
use attempt::Head;
use attempt::Service;
use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::report::Report;
use crate::report::Setup;

const GATEWAYS: usize = 15;
pub const INSTANCES: usize = 10;
pub const SLOTS: usize = 6;
const SLOTS_PER_GATEWAY: u32 = 4;
pub const SERVICE_TIME: Duration = Duration::from_millis(10);
const NETWORK_DELAY: Duration = Duration::from_micros(500);
const TIMEOUT: Duration = Duration::from_millis(100);
pub const WARM_UP_END: Moment = Moment::from_millis(2_000);
pub const END: Moment = Moment::from_millis(10_000);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    gateway: usize,
    ticket: Ticket,
    number: u8,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Arrived(usize, Job),
    Completed(usize, Job),
    Answer(Job, bool),
    Wake(usize, Ticket),
    Poll(usize),
}

#[derive(Default)]
struct Instance {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

struct Gateway {
    admission: Admission,
    service: Service,
    calls: HashMap<Ticket, Running>,
    deadlines: HashMap<Ticket, Moment>,
    in_flight: [u32; INSTANCES],
    poll_at: Option<Moment>,
}

struct Running {
    call: Call,
    arrived_at: Moment,
    attempts: Vec<(u8, usize)>,
}

pub struct Simulation {
    setup: Setup,
    rng: StdRng,
    now: Moment,
    tickets: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(Moment, u64, SimEvent)>>,
    gateways: Vec<Gateway>,
    instances: Vec<Instance>,
    report: Report,
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let gateway = || {
            let settings = Settings {
                concurrency: 1_000,
                queue: 1_000,
            };
            let mut admission = Admission::with_mode(settings, setup.mode);
            let config = admit::ServiceConfig {
                class: Class::Urgent,
                concurrency: setup.concurrency,
                queue: 200,
                slots: SLOTS_PER_GATEWAY,
            };
            admission.set_service(&name(), config);
            Gateway {
                admission,
                service: Service::new(BudgetSettings::percent(10), 1, Moment::ZERO),
                calls: HashMap::new(),
                deadlines: HashMap::new(),
                in_flight: [0; INSTANCES],
                poll_at: None,
            }
        };
        Self {
            setup,
            rng: StdRng::seed_from_u64(setup.seed),
            now: Moment::ZERO,
            tickets: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        self.schedule(Duration::ZERO, SimEvent::Arrive);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match event {
                SimEvent::Arrive => self.arrive(),
                SimEvent::Arrived(instance, job) => self.receive(instance, job),
                SimEvent::Completed(instance, job) => self.complete(instance, job),
                SimEvent::Answer(job, shed) => self.answer(job, shed),
                SimEvent::Wake(gateway, ticket) => self.step(gateway, ticket, Event::Tick),
                SimEvent::Poll(gateway) => self.poll(gateway),
            }
        }
        self.report
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn is_counted(&self) -> bool {
        self.now >= WARM_UP_END
    }

    fn random_duration(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }

    fn arrive(&mut self) {
        let interval = SERVICE_TIME.div_f64(60.0 * self.setup.load);
        let next = self.random_duration(interval);
        self.schedule(next, SimEvent::Arrive);
        self.tickets += 1;
        let gateway = self.rng.random_range(0..GATEWAYS);
        let request = Request {
            ticket: Ticket(self.tickets),
            service: name(),
            deadline: self.now + TIMEOUT,
        };
        let counted = f64::from(u8::from(self.is_counted()));
        self.report.offered += counted;
        let mut out = Vec::new();
        let admission = &mut self.gateways[gateway].admission;
        match admission.arrive(&request, self.now, &mut out) {
            Arrival::Started => self.start(gateway, request.ticket, request.deadline),
            Arrival::Refused(_) => self.report.refused += counted,
            Arrival::Queued => {
                let deadlines = &mut self.gateways[gateway].deadlines;
                deadlines.insert(request.ticket, request.deadline);
            }
        }
        self.apply_admission(gateway, out);
    }

    fn poll(&mut self, gateway: usize) {
        let mut out = Vec::new();
        self.gateways[gateway].poll_at = None;
        self.gateways[gateway].admission.poll(self.now, &mut out);
        self.apply_admission(gateway, out);
    }

    fn apply_admission(&mut self, gateway: usize, actions: Vec<admit::Action>) {
        for action in actions {
            match action {
                admit::Action::Start(ticket) => {
                    let deadline = self.gateways[gateway].deadlines.remove(&ticket);
                    self.start(gateway, ticket, deadline.unwrap_or(self.now));
                }
                admit::Action::Refuse(ticket, _) => {
                    self.gateways[gateway].deadlines.remove(&ticket);
                    self.report.expired += f64::from(u8::from(self.is_counted()));
                }
            }
        }
        let owner = &mut self.gateways[gateway];
        let next_wakeup = owner.admission.next_wakeup();
        if let Some(at) = next_wakeup.filter(|at| owner.poll_at.is_none_or(|set| *at < set)) {
            owner.poll_at = Some(at);
            self.schedule(at.since(self.now), SimEvent::Poll(gateway));
        }
    }

    fn start(&mut self, gateway: usize, ticket: Ticket, deadline: Moment) {
        let context = attempt::CallContext {
            class: Class::Urgent,
            deadline,
            depth: 0,
        };
        self.report.started += f64::from(u8::from(self.is_counted()));
        let backlogged = self.gateways[gateway].admission.is_backlogged(&name());
        let service = &mut self.gateways[gateway].service;
        service.backlogged = backlogged;
        let mut call = Call::new(context);
        let actions = call.start(service, self.now);
        let running = Running {
            call,
            arrived_at: deadline.before(TIMEOUT),
            attempts: Vec::new(),
        };
        self.gateways[gateway].calls.insert(ticket, running);
        self.apply_attempt(gateway, ticket, actions);
    }

    fn step(&mut self, gateway: usize, ticket: Ticket, event: Event) {
        let owner = &mut self.gateways[gateway];
        let Some(running) = owner.calls.get_mut(&ticket) else {
            return;
        };
        let service = &mut owner.service;
        let actions = running.call.step(event, service, &mut self.rng, self.now);
        self.apply_attempt(gateway, ticket, actions);
    }

    fn apply_attempt(&mut self, gateway: usize, ticket: Ticket, actions: attempt::Actions) {
        for action in actions {
            match action {
                attempt::Action::Start(start) => self.send(gateway, ticket, start.number),
                attempt::Action::Cancel(number) => self.cancel(gateway, ticket, number),
                attempt::Action::Relay { .. } => {
                    self.finish(gateway, ticket, Finish::Answered);
                    return;
                }
                attempt::Action::Fail(failure) => {
                    let shed = failure.reason == attempt::Reason::Shed;
                    let finish = if shed { Finish::Shed } else { Finish::Failed };
                    self.finish(gateway, ticket, finish);
                    return;
                }
                attempt::Action::Break(_) => {}
            }
        }
        let running = self.gateways[gateway].calls.get(&ticket);
        if let Some(at) = running.and_then(|running| running.call.next_wakeup()) {
            self.schedule(at.since(self.now), SimEvent::Wake(gateway, ticket));
        }
    }

    // The power of two choices by requests in flight, among the instances not tried yet.
    fn send(&mut self, gateway: usize, ticket: Ticket, number: u8) {
        self.report.attempts += f64::from(u8::from(self.is_counted()));
        let owner = &mut self.gateways[gateway];
        let Some(running) = owner.calls.get_mut(&ticket) else {
            return;
        };
        let mut pick = || loop {
            let picked = self.rng.random_range(0..INSTANCES);
            if running.attempts.iter().all(|(_, tried)| *tried != picked) {
                return picked;
            }
        };
        let (one, two) = (pick(), pick());
        let lesser = owner.in_flight[two] < owner.in_flight[one];
        let picked = if lesser { two } else { one };
        owner.in_flight[picked] += 1;
        running.attempts.push((number, picked));
        let job = Job {
            gateway,
            ticket,
            number,
        };
        self.schedule(NETWORK_DELAY, SimEvent::Arrived(picked, job));
    }

    fn cancel(&mut self, gateway: usize, ticket: Ticket, number: u8) {
        let running = self.gateways[gateway].calls.get(&ticket);
        let attempts = running.map(|running| running.attempts.as_slice());
        let found = attempts.and_then(|attempts| attempts.iter().find(|(n, _)| *n == number));
        let Some((_, instance)) = found.copied() else {
            return;
        };
        let job = Job {
            gateway,
            ticket,
            number,
        };
        let owner = &mut self.instances[instance];
        owner.waiting.retain(|waiting| *waiting != job);
        self.free(instance, job);
    }

    fn finish(&mut self, gateway: usize, ticket: Ticket, finish: Finish) {
        let owner = &mut self.gateways[gateway];
        let Some(running) = owner.calls.remove(&ticket) else {
            return;
        };
        for (_, instance) in &running.attempts {
            owner.in_flight[*instance] -= 1;
        }
        let elapsed = self.now.since(running.arrived_at);
        let mut out = Vec::new();
        owner.admission.finish(ticket, finish, self.now, &mut out);
        if self.is_counted() {
            let count = match (finish, elapsed <= TIMEOUT) {
                (Finish::Answered, true) => &mut self.report.good,
                (Finish::Answered, false) => &mut self.report.late,
                _ => &mut self.report.failed,
            };
            *count += 1.0;
            if finish == Finish::Answered {
                self.report.latencies.push(elapsed);
            }
        }
        self.apply_admission(gateway, out);
    }

    fn receive(&mut self, instance: usize, job: Job) {
        if !self.gateways[job.gateway].calls.contains_key(&job.ticket) {
            return;
        }
        let owner = &mut self.instances[instance];
        if owner.running.len() < SLOTS {
            self.serve(instance, job);
        } else if owner.waiting.len() < self.setup.backlog {
            owner.waiting.push_back(job);
        } else {
            self.schedule(NETWORK_DELAY, SimEvent::Answer(job, true));
        }
    }

    fn serve(&mut self, instance: usize, job: Job) {
        self.instances[instance].running.push(job);
        let duration = self.random_duration(SERVICE_TIME);
        self.schedule(duration, SimEvent::Completed(instance, job));
    }

    fn complete(&mut self, instance: usize, job: Job) {
        if self.free(instance, job) {
            self.schedule(NETWORK_DELAY, SimEvent::Answer(job, false));
        }
    }

    fn free(&mut self, instance: usize, job: Job) -> bool {
        let owner = &mut self.instances[instance];
        let Some(at) = owner.running.iter().position(|running| *running == job) else {
            return false;
        };
        owner.running.swap_remove(at);
        if let Some(next) = owner.waiting.pop_front() {
            self.serve(instance, next);
        }
        true
    }

    fn answer(&mut self, job: Job, shed: bool) {
        if shed {
            let admission = &mut self.gateways[job.gateway].admission;
            admission.shed(&name(), self.now);
        }
        let head = Head {
            status: if shed { 503 } else { 200 },
            shed,
            ..Head::default()
        };
        self.step(job.gateway, job.ticket, Event::Head(job.number, head));
    }
}

fn name() -> ServiceName {
    ServiceName::new("status").expect("a valid name")
}
