//! Some gateways' choosers share a handful of fakes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use route::Instance;
use route::Outcome;
use route::OutcomeKind;
use route::Phase;
use route::Pick;
use route::Policy;
use route::ProbeResult;
use route::Settings;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::fake;
use crate::fake::Fake;
use crate::fake::Time;

/// Calls of one run, and those at its start that aren't counted.
const CALLS: usize = 40_000;
const WARM_UP: usize = 4_000;
/// Time between two looks of a gateway for a probe worth sending.
const LOOK: Duration = Duration::from_millis(20);

/// A service.
pub struct Shape {
    /// For the table.
    pub name: &'static str,
    /// Instances.
    pub instances: usize,
    /// Mean time of a request's work.
    pub work: Duration,
    /// Time that a probe takes a slot.
    pub probe: Duration,
}

impl Shape {
    /// Ferrovie's status queries.
    pub const FERROVIE: Self = Self {
        name: "ferrovie",
        instances: 10,
        work: Duration::from_millis(5),
        probe: Duration::from_micros(200),
    };
    /// The Trust's drawings.
    pub const TRUST: Self = Self {
        name: "trust",
        instances: 6,
        work: Duration::from_millis(20),
        probe: Duration::from_millis(5),
    };
    /// A service of the target size with more instances than most.
    pub const LARGE: Self = Self {
        name: "large",
        instances: 40,
        work: Duration::from_millis(10),
        probe: Duration::from_millis(1),
    };
}

/// What one run showed.
pub struct Figures {
    /// Calls counted.
    pub calls: usize,
    /// Latencies.
    pub p50: Duration,
    /// Latencies.
    pub p99: Duration,
    /// Latencies.
    pub p999: Duration,
    /// Probes that gateways wanted, a second and instance.
    pub probes: f64,
    /// Sum over gateways of the most attempts at once at an instance, the mean of all instances.
    pub connections: f64,
}

struct Gateway {
    chooser: Chooser,
    in_flight: Vec<u32>,
    peak: Vec<u32>,
}

struct World {
    time: Time,
    shape: Shape,
    fakes: Vec<Fake>,
    gateways: Vec<RefCell<Gateway>>,
    latencies: RefCell<Vec<Duration>>,
    probes: RefCell<u32>,
}

/// Runs a service at `load` of its capacity through so many gateways.
pub fn run(shape: &Shape, load: f64, gateways: usize, seed: u64) -> Figures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, drive(shape, load, gateways, seed))
}

async fn drive(shape: &Shape, load: f64, gateways: usize, seed: u64) -> Figures {
    let world = Rc::new(World::new(shape, gateways, seed));
    let mut random = SmallRng::seed_from_u64(seed);
    let slots = f64::from(fake::SLOTS) * f64::from(u32::try_from(shape.instances).expect("few"));
    let capacity = slots * fake::mean_speed() / shape.work.as_secs_f64();
    let gap = 1.0 / (capacity * load);
    let probing: Vec<_> = (0..gateways)
        .map(|g| spawn_local(probe(world.clone(), g)))
        .collect();
    let mut calls = Vec::new();
    let mut due = 0.0;
    for i in 0..CALLS {
        due += gap * fake::exponential(&mut random);
        let wait = Moment::from_nanos(0) + Duration::from_secs_f64(due);
        world.time.sleep(wait.since(world.time.now())).await;
        let gateway = random.random_range(0..gateways);
        let work = shape.work.mul_f64(fake::exponential(&mut random));
        calls.push(spawn_local(call(
            world.clone(),
            gateway,
            work,
            i >= WARM_UP,
        )));
    }
    let span = world.time.now().since(Moment::ZERO).as_secs_f64();
    for call in calls {
        call.await.expect("the call ends");
    }
    for task in probing {
        task.abort();
    }
    world.figures(span)
}

async fn call(world: Rc<World>, gateway: usize, work: Duration, counted: bool) {
    let began = world.time.now();
    let (ticket, instance) = {
        let mut gateway = world.gateways[gateway].borrow_mut();
        let Some(choice) = gateway.chooser.choose(began, &[]) else {
            return;
        };
        let instance = index(&gateway.chooser, choice.pick);
        gateway.count(instance);
        (gateway.chooser.started(began, choice.pick), instance)
    };
    let report = world.fakes[instance].serve(work).await;
    let now = world.time.now();
    let latency = now.since(began);
    let outcome = Outcome {
        kind: OutcomeKind::Ok,
        latency,
        report: Some(report),
    };
    let mut gateway = world.gateways[gateway].borrow_mut();
    gateway.in_flight[instance] -= 1;
    gateway.chooser.finished(now, ticket, outcome);
    if counted {
        world.latencies.borrow_mut().push(latency);
    }
}

/// Sends every probe that the chooser holds worth its cost.
async fn probe(world: Rc<World>, gateway: usize) {
    loop {
        world.time.sleep(LOOK).await;
        let now = world.time.now();
        let pick = world.gateways[gateway]
            .borrow_mut()
            .chooser
            .probe(now, |_| true);
        let Some(pick) = pick else { continue };
        *world.probes.borrow_mut() += 1;
        let instance = index(&world.gateways[gateway].borrow().chooser, pick);
        let report = world.fakes[instance].serve(world.shape.probe).await;
        let now = world.time.now();
        let mut gateway = world.gateways[gateway].borrow_mut();
        gateway.chooser.probed(now, pick, ProbeResult::Load(report));
    }
}

fn index(chooser: &Chooser, pick: Pick) -> usize {
    let id = chooser.id(pick).expect("an instance");
    id.as_str().parse().expect("its number")
}

impl Gateway {
    fn new(shape: &Shape, seed: u64) -> Self {
        let row = |i: usize| Instance {
            id: InstanceId::new(&i.to_string()).expect("a name"),
            incarnation: 0,
            domain: DomainName::new("d").expect("a name"),
            slots: fake::SLOTS,
            phase: Phase::Ready,
        };
        let rows: Vec<Instance> = (0..shape.instances).map(row).collect();
        let mut chooser = Chooser::new(Policy::LeastWait, Settings::default(), seed);
        chooser.update(Moment::ZERO, &rows);
        Self {
            chooser,
            in_flight: vec![0; shape.instances],
            peak: vec![0; shape.instances],
        }
    }

    fn count(&mut self, instance: usize) {
        self.in_flight[instance] += 1;
        self.peak[instance] = self.peak[instance].max(self.in_flight[instance]);
    }
}

impl World {
    fn new(shape: &Shape, gateways: usize, seed: u64) -> Self {
        let time = Time::start();
        let number = |i: usize| u64::try_from(i).expect("few");
        let fakes = (0..shape.instances).map(|i| Fake::new(time, seed * 1000 + number(i)));
        let gateway = |i| RefCell::new(Gateway::new(shape, seed * 77 + number(i)));
        Self {
            time,
            shape: Shape { ..*shape },
            fakes: fakes.collect(),
            gateways: (0..gateways).map(gateway).collect(),
            latencies: RefCell::default(),
            probes: RefCell::default(),
        }
    }

    fn figures(&self, span: f64) -> Figures {
        let mut latencies = self.latencies.borrow_mut();
        latencies.sort();
        let at = |per_mille: usize| {
            latencies[(latencies.len() * per_mille / 1000).min(latencies.len() - 1)]
        };
        let peaks = self
            .gateways
            .iter()
            .map(|g| g.borrow().peak.iter().sum::<u32>());
        let instances = f64::from(u32::try_from(self.fakes.len()).expect("few"));
        Figures {
            calls: latencies.len(),
            p50: at(500),
            p99: at(990),
            p999: at(999),
            probes: f64::from(*self.probes.borrow()) / span / instances,
            connections: f64::from(peaks.sum::<u32>()) / instances,
        }
    }
}
