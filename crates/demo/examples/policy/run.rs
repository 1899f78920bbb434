//! One simulation run: gateways that share instances, open-loop arrivals and one fault.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use admit::Finish;
use base::prelude::Clock;
use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use route::Instance;
use route::OutcomeKind;
use route::Pick;
use route::ProbeResult;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::call;
use crate::case::Case;
use crate::fake::FakeUpstream;
use crate::fake::SLOTS;
use crate::figures::CallResult;
use crate::figures::Figures;
use crate::figures::figures;
use crate::gateway::Gateway;
use crate::gateway::service_name;
use crate::noise::exponential;
use crate::time::SimulatedClock;
use crate::time::TIME_SCALE;

/// Calls that arrive earlier are not counted.
const WARM_UP: Moment = Moment::from_millis(1000);
/// How long calls are counted after the warm-up.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Delay until the gateways learn what an instance has announced.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Share of a request's work that does not vary.
const FIXED_WORK: f64 = 0.7;

/// State of one run.
pub struct Simulation {
    /// Clock of the simulation.
    pub clock: SimulatedClock,
    /// The gateways, which share the calls.
    pub gateways: Vec<RefCell<Gateway>>,
    case: Case,
    upstreams: Vec<Rc<FakeUpstream>>,
    done: RefCell<Vec<CallResult>>,
    probes: Cell<u32>,
}

impl Simulation {
    /// The instance that `chooser` picked.
    pub fn upstream(&self, chooser: &Chooser, pick: Pick) -> Rc<FakeUpstream> {
        let id = chooser.id(pick).expect("the pick was just made");
        let index: usize = id.as_str().parse().expect("ids are indexes");
        Rc::clone(&self.upstreams[index])
    }
}

/// Runs `case` on its own paused clock.
pub fn run(case: Case) -> Figures {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime without I/O"), drive(case))
}

async fn drive(case: Case) -> Figures {
    let clock = SimulatedClock(Clock::start());
    let upstream = |i| Rc::new(FakeUpstream::new(i, &case, clock));
    let gateway = |i| RefCell::new(Gateway::new(&case, i));
    let simulation = Rc::new(Simulation {
        clock,
        gateways: (0..case.gateways).map(gateway).collect(),
        case,
        upstreams: (0..case.instances).map(upstream).collect(),
        done: RefCell::default(),
        probes: Cell::new(0),
    });
    spawn_local(run_gateways(Rc::clone(&simulation)));
    arrive(&simulation).await;
    clock.sleep(case.deadline() * 2).await;
    let probes = f64::from(simulation.probes.get()) / f64::from(case.instances);
    figures(
        &simulation.done.borrow(),
        probes / MEASURED_TIME.as_secs_f64(),
    )
}

/// Polls all gateways every millisecond, and updates their instance tables every 100 ms.
async fn run_gateways(simulation: Rc<Simulation>) {
    for millis in 0_u32.. {
        let now = simulation.clock.now();
        let table = table(&simulation.case, now.before(ANNOUNCEMENT_DELAY));
        for (index, gateway) in simulation.gateways.iter().enumerate() {
            let gateway = &mut *gateway.borrow_mut();
            let (chooser, probe_limiter) = (&mut gateway.chooser, &mut gateway.probe_limiter);
            if millis.is_multiple_of(100) {
                chooser.update(now, &table);
                probe_limiter.confirm(1, now, now);
                for instance in &table {
                    probe_limiter.add(&service_name(), &instance.id, now);
                }
            }
            if simulation.case.full_stack {
                let pick = chooser.probe(now, |id| {
                    probe_limiter.spend(&service_name(), id, now).is_ok()
                });
                pick.map(|pick| spawn_local(probe(Rc::clone(&simulation), index, pick)));
                gateway.with_admission(|admission, out| admission.poll(now, out));
            }
        }
        simulation.clock.sleep(Duration::from_millis(1)).await;
    }
}

fn table(case: &Case, announced_by: Moment) -> Vec<Instance> {
    let instance = |index: u32| Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("milano").expect("letters are a name"),
        slots: SLOTS,
        phase: case.fault.phase(index, announced_by),
    };
    (0..case.instances).map(instance).collect()
}

async fn probe(simulation: Rc<Simulation>, index: usize, pick: Pick) {
    let (clock, gateway) = (simulation.clock, &simulation.gateways[index]);
    let counted = u32::from(clock.now() >= WARM_UP);
    simulation.probes.update(|probes| probes + counted);
    let upstream = simulation.upstream(&gateway.borrow().chooser, pick);
    let serve = upstream.serve(simulation.case.probe_work);
    let answer = timeout(PROBE_TIMEOUT * TIME_SCALE, serve).await.ok();
    let answer = answer.filter(|answer| answer.kind == OutcomeKind::Ok);
    let report = answer.and_then(|answer| answer.report);
    let result = report.map_or(ProbeResult::Failed, ProbeResult::Load);
    let chooser = &mut gateway.borrow_mut().chooser;
    chooser.probed(clock.now(), pick, result);
}

async fn arrive(simulation: &Rc<Simulation>) {
    let (clock, case) = (simulation.clock, &simulation.case);
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let mut arrival = clock.now();
    while arrival < WARM_UP + MEASURED_TIME {
        arrival = arrival
            + Duration::from_secs_f64(case.mean_interarrival_secs() * exponential(&mut rng));
        let index = rng.random_range(0..case.gateways) as usize;
        let varying = (1.0 - FIXED_WORK) * exponential(&mut rng);
        let work = case.work.mul_f64(FIXED_WORK + varying);
        clock.sleep(arrival.since(clock.now())).await;
        spawn_local(serve(Rc::clone(simulation), index, arrival, work));
    }
}

async fn serve(simulation: Rc<Simulation>, index: usize, arrival: Moment, work: Duration) {
    let (clock, gateway) = (simulation.clock, &simulation.gateways[index]);
    let deadline = arrival + simulation.case.deadline();
    let (ticket, admitted) = gateway.borrow_mut().arrive(clock.now(), deadline);
    let (finish, attempts) = match admitted.await {
        Ok(true) => call::run(&simulation, index, deadline, work).await,
        _ => (Finish::Shed, 0),
    };
    let now = clock.now();
    let mut gateway = gateway.borrow_mut();
    gateway.with_admission(|admission, out| admission.finish(ticket, finish, now, out));
    let answered = finish == Finish::Answered;
    let end = if answered { now } else { deadline };
    if arrival >= WARM_UP {
        let done = (finish, end.since(arrival), attempts);
        simulation.done.borrow_mut().push(done);
    }
}
