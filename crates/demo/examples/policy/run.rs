//! One run: gateways that share instances, open-loop arrivals, one fault.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use route::Instance;
use route::Kind;
use route::Pick;
use route::Policy;
use route::Probed;
use route::Settings;

use crate::call;
use crate::call::End;
use crate::fake::Fake;
use crate::fake::SLOTS;
use crate::fault::Fault;
use crate::figures::Figures;
use crate::figures::Tally;
use crate::gateway::Gateway;
use crate::noise::Neighbours;
use crate::noise::exponential;
use crate::shape::Shape;
use crate::time::Time;

/// Calls before this aren't counted.
const WARM_UP: Moment = Moment::from_millis(1000);
/// How often the gateways get the directory's table.
const TABLE_EVERY: Duration = Duration::from_millis(100);
/// How often a gateway looks for probes to send and waits that are over.
const POLL_EVERY: Duration = Duration::from_millis(1);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The part of a request's work that is the same for all.
const FIXED_WORK: f64 = 0.7;

/// A policy, alone or with what the product has around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// The choice.
    pub policy: Policy,
    /// Retries, hedges, admission and probes too.
    pub whole: bool,
}

impl Row {
    /// The policy's name, with a plus sign for the whole.
    pub fn name(self) -> String {
        let mark = if self.whole { "+" } else { "" };
        format!("{}{mark}", self.policy)
    }
}

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The service.
    pub shape: Shape,
    /// What all gateways do.
    pub row: Row,
    /// The fault.
    pub fault: Fault,
    /// On every instance's machine.
    pub neighbours: Neighbours,
    /// Of the choosers.
    pub settings: Settings,
    /// Gateways that share the calls evenly.
    pub choosers: u32,
    /// Probes that one instance may receive, in thousandths a second.
    pub probes: u32,
    /// How long calls are counted.
    pub span: Duration,
    /// Of arrivals, work, noise and choices.
    pub seed: u64,
}

/// One call's own facts.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Which gateway it came to.
    pub gateway: u32,
    /// When it came.
    pub arrival: Moment,
    /// How much work it is.
    pub work: Duration,
}

/// Everything of one run.
pub struct World {
    /// What is run.
    pub case: Case,
    /// The clock.
    pub time: Time,
    fakes: Vec<Rc<Fake>>,
    gateways: Vec<Rc<RefCell<Gateway>>>,
    tally: RefCell<Tally>,
}

impl World {
    /// The gateway that the request came to.
    pub fn gateway(&self, request: Request) -> &Rc<RefCell<Gateway>> {
        &self.gateways[request.gateway as usize]
    }

    /// The instance that `chooser` has picked.
    pub fn fake(&self, chooser: &Chooser, pick: Pick) -> Rc<Fake> {
        let id = chooser.id(pick).expect("the pick was just made");
        let index: usize = id.as_str().parse().expect("ids are indexes");
        Rc::clone(&self.fakes[index])
    }
}

/// Runs `case` on a paused clock of its own.
pub fn run(case: Case) -> Figures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without input or output starts");
    runtime.block_on(tokio::task::LocalSet::new().run_until(drive(case)))
}

async fn drive(case: Case) -> Figures {
    let time = Time::start();
    let fake = |i| Rc::new(Fake::new(i, &case, time));
    let gateway = |i| Rc::new(RefCell::new(Gateway::new(&case, i)));
    let world = Rc::new(World {
        case,
        time,
        fakes: (0..case.shape.instances()).map(fake).collect(),
        gateways: (0..case.choosers).map(gateway).collect(),
        tally: RefCell::new(Tally::new()),
    });
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn_local(spread_tables(Rc::clone(&world)));
    if case.row.whole {
        for gateway in &world.gateways {
            tasks.spawn_local(poll(Rc::clone(&world), Rc::clone(gateway)));
        }
    }
    arrive(&world).await;
    time.sleep(case.shape.deadline() * 2).await;
    tasks.abort_all();
    let tally = world.tally.borrow();
    tally.figures(case.span, case.shape.instances())
}

async fn spread_tables(world: Rc<World>) {
    loop {
        let now = world.time.now();
        let table: Vec<Instance> = (0..world.case.shape.instances())
            .map(|i| instance(i, world.case.fault, now))
            .collect();
        for gateway in &world.gateways {
            gateway.borrow_mut().update(now, &table);
        }
        world.time.sleep(TABLE_EVERY).await;
    }
}

fn instance(index: u32, fault: Fault, now: Moment) -> Instance {
    Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        domain: DomainName::new("milano").expect("letters are a name"),
        slots: SLOTS,
        phase: fault.phase(index, now),
    }
}

async fn poll(world: Rc<World>, gateway: Rc<RefCell<Gateway>>) {
    loop {
        let now = world.time.now();
        gateway.borrow_mut().poll(now);
        let pick = gateway.borrow_mut().probe(now);
        if let Some(pick) = pick {
            tokio::task::spawn_local(probe(Rc::clone(&world), Rc::clone(&gateway), pick));
        }
        world.time.sleep(POLL_EVERY).await;
    }
}

async fn probe(world: Rc<World>, gateway: Rc<RefCell<Gateway>>, pick: Pick) {
    let fake = world.fake(&gateway.borrow().chooser, pick);
    let counts = world.time.now() >= WARM_UP;
    world.tally.borrow_mut().probes += u32::from(counts);
    let work = world.case.shape.probe_work();
    let answer = world.time.within(PROBE_TIMEOUT, fake.serve(work)).await;
    let report = answer
        .filter(|a| a.kind == Some(Kind::Ok))
        .and_then(|a| a.report);
    let result = report.map_or(Probed::Failed, Probed::Load);
    let now = world.time.now();
    gateway.borrow_mut().chooser.probed(now, pick, result);
}

async fn arrive(world: &Rc<World>) {
    let case = world.case;
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let gap = 1.0 / (case.shape.capacity(case.neighbours) * case.fault.load());
    let end = WARM_UP + case.span;
    let mut at = world.time.now();
    while at < end {
        at = at + Duration::from_secs_f64(gap * exponential(&mut rng));
        let gateway = rng.random_range(0..case.choosers);
        let varying = (1.0 - FIXED_WORK) * exponential(&mut rng);
        let work = case.shape.work().mul_f64(FIXED_WORK + varying);
        world.time.until(at).await;
        let request = Request {
            gateway,
            arrival: at,
            work,
        };
        tokio::task::spawn_local(serve(Rc::clone(world), request));
    }
}

async fn serve(world: Rc<World>, request: Request) {
    let (end, attempts) = call::run(&world, request).await;
    if request.arrival < WARM_UP {
        return;
    }
    let latency = match end {
        End::Answered => world.time.now().since(request.arrival),
        End::Refused | End::Late | End::Failed => world.case.shape.deadline(),
    };
    world.tally.borrow_mut().record(end, latency, attempts);
}
