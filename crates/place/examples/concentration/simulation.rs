//! Simulates several gateways' choosers that share a few fake upstreams.

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
use crate::fake::SimulatedClock;

/// Calls of one run, and how many of them at its start are not counted.
const CALLS: usize = 40_000;
const WARM_UP: usize = 4_000;
/// Interval at which a gateway checks for a probe to send.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Properties of a service.
pub struct Workload {
    /// Name in the output.
    pub name: &'static str,
    /// Number of instances.
    pub instances: usize,
    /// Mean service time of a request.
    pub work: Duration,
    /// Service time of a probe.
    pub probe: Duration,
}

impl Workload {
    /// Status queries.
    pub const FERROVIE: Self = Self {
        name: "ferrovie",
        instances: 10,
        work: Duration::from_millis(5),
        probe: Duration::from_micros(200),
    };
    /// Drawings.
    pub const TRUST: Self = Self {
        name: "trust",
        instances: 6,
        work: Duration::from_millis(20),
        probe: Duration::from_millis(5),
    };
    /// A service of the target size with many instances.
    pub const LARGE: Self = Self {
        name: "large",
        instances: 40,
        work: Duration::from_millis(10),
        probe: Duration::from_millis(1),
    };
}

/// Results of one run.
pub struct RunStats {
    /// Number of calls counted.
    pub calls: usize,
    /// Median latency.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
    /// 99.9th percentile of the latency.
    pub p999: Duration,
    /// Probes that gateways requested, per second and instance.
    pub probes: f64,
    /// Peak concurrent attempts per instance, summed over gateways; mean over instances.
    pub connections: f64,
}

struct Gateway {
    chooser: Chooser,
    in_flight: Vec<u32>,
    peak: Vec<u32>,
}

struct Simulation {
    clock: SimulatedClock,
    workload: Workload,
    fakes: Vec<Fake>,
    gateways: Vec<RefCell<Gateway>>,
    latencies: RefCell<Vec<Duration>>,
    probes: RefCell<u32>,
}

/// Runs a service at `load` of its capacity through `gateways` gateways.
pub fn run(workload: &Workload, load: f64, gateways: usize, seed: u64) -> RunStats {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, simulate(workload, load, gateways, seed))
}

async fn simulate(workload: &Workload, load: f64, gateways: usize, seed: u64) -> RunStats {
    let simulation = Rc::new(Simulation::new(workload, gateways, seed));
    let mut random = SmallRng::seed_from_u64(seed);
    let slots = f64::from(fake::SLOTS) * f64::from(u32::try_from(workload.instances).expect("few"));
    let capacity = slots * fake::mean_speed() / workload.work.as_secs_f64();
    let mean_interval = 1.0 / (capacity * load);
    let probing: Vec<_> = (0..gateways)
        .map(|g| spawn_local(probe(simulation.clone(), g)))
        .collect();
    let mut calls = Vec::new();
    let mut next_arrival = 0.0;
    for i in 0..CALLS {
        next_arrival += mean_interval * fake::exponential(&mut random);
        let arrival = Moment::from_nanos(0) + Duration::from_secs_f64(next_arrival);
        simulation
            .clock
            .sleep(arrival.since(simulation.clock.now()))
            .await;
        let gateway = random.random_range(0..gateways);
        let work = workload.work.mul_f64(fake::exponential(&mut random));
        calls.push(spawn_local(call(
            simulation.clone(),
            gateway,
            work,
            i >= WARM_UP,
        )));
    }
    let duration = simulation.clock.now().since(Moment::ZERO).as_secs_f64();
    for call in calls {
        call.await.expect("the call ends");
    }
    for task in probing {
        task.abort();
    }
    simulation.stats(duration)
}

async fn call(simulation: Rc<Simulation>, gateway: usize, work: Duration, counted: bool) {
    let started_at = simulation.clock.now();
    let (ticket, instance) = {
        let mut gateway = simulation.gateways[gateway].borrow_mut();
        let Some(choice) = gateway.chooser.choose(started_at, &[]) else {
            return;
        };
        let instance = index(&gateway.chooser, choice.pick);
        gateway.count(instance);
        (gateway.chooser.started(started_at, choice.pick), instance)
    };
    let report = simulation.fakes[instance].serve(work).await;
    let now = simulation.clock.now();
    let latency = now.since(started_at);
    let outcome = Outcome {
        kind: OutcomeKind::Ok,
        latency,
        report: Some(report),
    };
    let mut gateway = simulation.gateways[gateway].borrow_mut();
    gateway.in_flight[instance] -= 1;
    gateway.chooser.finished(now, ticket, outcome);
    if counted {
        simulation.latencies.borrow_mut().push(latency);
    }
}

/// Sends each probe that the chooser requests.
async fn probe(simulation: Rc<Simulation>, gateway: usize) {
    loop {
        simulation.clock.sleep(PROBE_CHECK_INTERVAL).await;
        let now = simulation.clock.now();
        let pick = simulation.gateways[gateway]
            .borrow_mut()
            .chooser
            .probe(now, |_| true);
        let Some(pick) = pick else { continue };
        *simulation.probes.borrow_mut() += 1;
        let instance = index(&simulation.gateways[gateway].borrow().chooser, pick);
        let report = simulation.fakes[instance]
            .serve(simulation.workload.probe)
            .await;
        let now = simulation.clock.now();
        let mut gateway = simulation.gateways[gateway].borrow_mut();
        gateway.chooser.probed(now, pick, ProbeResult::Load(report));
    }
}

fn index(chooser: &Chooser, pick: Pick) -> usize {
    let id = chooser.id(pick).expect("an instance");
    id.as_str().parse().expect("its number")
}

impl Gateway {
    fn new(workload: &Workload, seed: u64) -> Self {
        let instance = |i: usize| Instance {
            id: InstanceId::new(&i.to_string()).expect("a name"),
            incarnation: 0,
            domain: DomainName::new("d").expect("a name"),
            slots: fake::SLOTS,
            phase: Phase::Ready,
        };
        let instances: Vec<Instance> = (0..workload.instances).map(instance).collect();
        let mut chooser = Chooser::new(Policy::LeastWait, Settings::default(), seed);
        chooser.update(Moment::ZERO, &instances);
        Self {
            chooser,
            in_flight: vec![0; workload.instances],
            peak: vec![0; workload.instances],
        }
    }

    fn count(&mut self, instance: usize) {
        self.in_flight[instance] += 1;
        self.peak[instance] = self.peak[instance].max(self.in_flight[instance]);
    }
}

impl Simulation {
    fn new(workload: &Workload, gateways: usize, seed: u64) -> Self {
        let clock = SimulatedClock::start();
        let number = |i: usize| u64::try_from(i).expect("few");
        let fakes = (0..workload.instances).map(|i| Fake::new(clock, seed * 1000 + number(i)));
        let gateway = |i| RefCell::new(Gateway::new(workload, seed * 77 + number(i)));
        Self {
            clock,
            workload: Workload { ..*workload },
            fakes: fakes.collect(),
            gateways: (0..gateways).map(gateway).collect(),
            latencies: RefCell::default(),
            probes: RefCell::default(),
        }
    }

    fn stats(&self, duration: f64) -> RunStats {
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
        RunStats {
            calls: latencies.len(),
            p50: at(500),
            p99: at(990),
            p999: at(999),
            probes: f64::from(*self.probes.borrow()) / duration / instances,
            connections: f64::from(peaks.sum::<u32>()) / instances,
        }
    }
}
