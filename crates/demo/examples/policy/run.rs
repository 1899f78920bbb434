//! One run: gateways that share instances, open-loop arrivals, one fault.

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
use crate::fake::Fake;
use crate::fake::SLOTS;
use crate::figures::Done;
use crate::figures::Figures;
use crate::figures::figures;
use crate::gateway::Gateway;
use crate::gateway::name;
use crate::noise::exponential;
use crate::time::STRETCH;
use crate::time::Time;

/// Calls before this aren't counted.
const WARM_UP: Moment = Moment::from_millis(1000);
/// How long calls are counted.
const SPAN: Duration = Duration::from_secs(8);
/// How late the gateways learn what an instance announced.
const NEWS: Duration = Duration::from_millis(300);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The part of a request's work that is the same for all.
const FIXED_WORK: f64 = 0.7;

/// Everything of one run.
pub struct World {
    /// The clock.
    pub time: Time,
    /// That share the calls.
    pub gateways: Vec<RefCell<Gateway>>,
    case: Case,
    fakes: Vec<Rc<Fake>>,
    done: RefCell<Vec<Done>>,
    probes: Cell<u32>,
}

impl World {
    /// The instance that `chooser` has picked.
    pub fn fake(&self, chooser: &Chooser, pick: Pick) -> Rc<Fake> {
        let id = chooser.id(pick).expect("the pick was just made");
        let index: usize = id.as_str().parse().expect("ids are indexes");
        Rc::clone(&self.fakes[index])
    }
}

/// Runs `case` on a paused clock of its own.
pub fn run(case: Case) -> Figures {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("it has no input or output"), drive(case))
}

async fn drive(case: Case) -> Figures {
    let time = Time(Clock::start());
    let fake = |i| Rc::new(Fake::new(i, &case, time));
    let gateway = |i| RefCell::new(Gateway::new(&case, i));
    let world = Rc::new(World {
        time,
        gateways: (0..case.choosers).map(gateway).collect(),
        case,
        fakes: (0..case.instances).map(fake).collect(),
        done: RefCell::default(),
        probes: Cell::new(0),
    });
    spawn_local(poll(Rc::clone(&world)));
    arrive(&world).await;
    time.sleep(case.deadline() * 2).await;
    let probes = f64::from(world.probes.get()) / f64::from(case.instances);
    figures(&world.done.borrow(), probes / SPAN.as_secs_f64())
}

/// Each millisecond; the directory's table comes each 100 ms.
async fn poll(world: Rc<World>) {
    for millis in 0_u32.. {
        let now = world.time.now();
        let table = table(&world.case, now.before(NEWS));
        for (index, gateway) in world.gateways.iter().enumerate() {
            let gateway = &mut *gateway.borrow_mut();
            let (chooser, meter) = (&mut gateway.chooser, &mut gateway.meter);
            if millis.is_multiple_of(100) {
                chooser.update(now, &table);
                meter.confirm(1, now, now);
                for row in &table {
                    meter.add(&name(), &row.id, now);
                }
            }
            if world.case.whole {
                let pick = chooser.probe(now, |id| meter.spend(&name(), id, now).is_ok());
                pick.map(|pick| spawn_local(probe(Rc::clone(&world), index, pick)));
                gateway.admit(|admission, out| admission.poll(now, out));
            }
        }
        world.time.sleep(Duration::from_millis(1)).await;
    }
}

fn table(case: &Case, known: Moment) -> Vec<Instance> {
    let instance = |index: u32| Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("milano").expect("letters are a name"),
        slots: SLOTS,
        phase: case.fault.phase(index, known),
    };
    (0..case.instances).map(instance).collect()
}

async fn probe(world: Rc<World>, index: usize, pick: Pick) {
    let (time, gateway) = (world.time, &world.gateways[index]);
    let counted = u32::from(time.now() >= WARM_UP);
    world.probes.update(|probes| probes + counted);
    let fake = world.fake(&gateway.borrow().chooser, pick);
    let serve = fake.serve(world.case.probe_work);
    let answer = timeout(PROBE_TIMEOUT * STRETCH, serve).await.ok();
    let answer = answer.filter(|answer| answer.kind == OutcomeKind::Ok);
    let report = answer.and_then(|answer| answer.report);
    let result = report.map_or(ProbeResult::Failed, ProbeResult::Load);
    let chooser = &mut gateway.borrow_mut().chooser;
    chooser.probed(time.now(), pick, result);
}

async fn arrive(world: &Rc<World>) {
    let (time, case) = (world.time, &world.case);
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let mut arrival = time.now();
    while arrival < WARM_UP + SPAN {
        arrival = arrival + Duration::from_secs_f64(case.gap() * exponential(&mut rng));
        let index = rng.random_range(0..case.choosers) as usize;
        let varying = (1.0 - FIXED_WORK) * exponential(&mut rng);
        let work = case.work.mul_f64(FIXED_WORK + varying);
        time.sleep(arrival.since(time.now())).await;
        spawn_local(serve(Rc::clone(world), index, arrival, work));
    }
}

async fn serve(world: Rc<World>, index: usize, arrival: Moment, work: Duration) {
    let (time, gateway) = (world.time, &world.gateways[index]);
    let deadline = arrival + world.case.deadline();
    let (ticket, admitted) = gateway.borrow_mut().arrive(time.now(), deadline);
    let (finish, attempts) = match admitted.await {
        Ok(true) => call::run(&world, index, deadline, work).await,
        _ => (Finish::Shed, 0),
    };
    let now = time.now();
    let mut gateway = gateway.borrow_mut();
    gateway.admit(|admission, out| admission.finish(ticket, finish, now, out));
    let answered = finish == Finish::Answered;
    let end = if answered { now } else { deadline };
    if arrival >= WARM_UP {
        let done = (finish, end.since(arrival), attempts);
        world.done.borrow_mut().push(done);
    }
}
