//! One run: choosers that share instances, open-loop arrivals, one fault.

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
use route::Outcome;
use route::Pick;
use route::Policy;
use route::Settings;

use crate::fake::Answer;
use crate::fake::Fake;
use crate::fake::SLOTS;
use crate::fault::Fault;
use crate::figures::Figures;
use crate::figures::Tally;
use crate::noise::exponential;
use crate::shape::Shape;
use crate::time::Time;

/// Calls before this aren't counted.
const WARM_UP: Moment = Moment::from_millis(1000);
/// How often the choosers get the directory's table.
const TABLE_EVERY: Duration = Duration::from_millis(100);
/// Attempts of one call.
const MAX_ATTEMPTS: usize = 3;
/// The part of a request's work that is the same for all.
const FIXED_WORK: f64 = 0.7;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The service.
    pub shape: Shape,
    /// The policy of all choosers.
    pub policy: Policy,
    /// The fault.
    pub fault: Fault,
    /// Gateways that share the calls evenly.
    pub choosers: u32,
    /// How long calls are counted.
    pub span: Duration,
    /// Of arrivals, work, noise and choices.
    pub seed: u64,
}

struct World {
    case: Case,
    time: Time,
    fakes: Vec<Fake>,
    choosers: Vec<RefCell<Chooser>>,
    tally: RefCell<Tally>,
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
    let fakes = (0..case.shape.instances())
        .map(|i| Fake::new(i, case.fault, time, case.seed * 1000 + u64::from(i)))
        .collect();
    let choosers = (0..case.choosers)
        .map(|i| {
            let seed = case.seed * 1000 + 500 + u64::from(i);
            RefCell::new(Chooser::new(case.policy, Settings::default(), seed))
        })
        .collect();
    let world = Rc::new(World {
        case,
        time,
        fakes,
        choosers,
        tally: RefCell::new(Tally::new()),
    });
    let tables = tokio::task::spawn_local(spread_tables(Rc::clone(&world)));
    arrive(&world).await;
    time.sleep(case.shape.deadline() * 2).await;
    tables.abort();
    let tally = world.tally.borrow();
    tally.figures(case.span, case.shape.instances())
}

async fn spread_tables(world: Rc<World>) {
    loop {
        let now = world.time.now();
        let table: Vec<Instance> = (0..world.case.shape.instances())
            .map(|i| instance(i, world.case.fault, now))
            .collect();
        for chooser in &world.choosers {
            chooser.borrow_mut().update(now, &table);
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

async fn arrive(world: &Rc<World>) {
    let case = world.case;
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let gap = 1.0 / (case.shape.capacity() * case.fault.load());
    let end = WARM_UP + case.span;
    let mut at = world.time.now();
    while at < end {
        at = at + Duration::from_secs_f64(gap * exponential(&mut rng));
        let gateway = rng.random_range(0..case.choosers);
        let varying = (1.0 - FIXED_WORK) * exponential(&mut rng);
        let work = case.shape.work().mul_f64(FIXED_WORK + varying);
        world.time.until(at).await;
        tokio::task::spawn_local(call(Rc::clone(world), gateway, at, work));
    }
}

async fn call(world: Rc<World>, gateway: u32, arrival: Moment, work: Duration) {
    let counted = arrival >= WARM_UP;
    let mut tried = Vec::new();
    let mut kind = Kind::ConnectFailed;
    while tried.len() < MAX_ATTEMPTS {
        let Some(result) = attempt(&world, gateway, arrival, work, &mut tried).await else {
            break;
        };
        kind = result;
        if matches!(kind, Kind::Ok | Kind::Timeout) {
            break;
        }
    }
    if !counted {
        return;
    }
    let mut tally = world.tally.borrow_mut();
    tally.calls += 1;
    tally.attempts += u32::try_from(tried.len()).unwrap_or(u32::MAX);
    match kind {
        Kind::Ok => tally.answered += 1,
        Kind::Shed => {
            tally.refused += 1;
            return;
        }
        Kind::Timeout => {}
        _ => tally.errors += 1,
    }
    if kind == Kind::Ok {
        tally.record(world.time.now().since(arrival));
    } else {
        tally.record(world.case.shape.deadline());
    }
}

async fn attempt(
    world: &World,
    gateway: u32,
    arrival: Moment,
    work: Duration,
    tried: &mut Vec<Pick>,
) -> Option<Kind> {
    let chooser = &world.choosers[gateway as usize];
    let start = world.time.now();
    let left = (arrival + world.case.shape.deadline()).since(start);
    let choice = chooser.borrow_mut().choose(start, tried)?;
    let index = index_of(&chooser.borrow(), choice.pick)?;
    tried.push(choice.pick);
    let ticket = chooser.borrow_mut().started(start, choice.pick);
    let answer = world
        .time
        .within(left, world.fakes[index].serve(work))
        .await;
    let answer = answer.unwrap_or(Answer {
        kind: Kind::Timeout,
        report: None,
    });
    let now = world.time.now();
    let outcome = Outcome {
        kind: answer.kind,
        latency: now.since(start),
        report: answer.report,
    };
    chooser.borrow_mut().finished(now, ticket, outcome);
    Some(answer.kind)
}

fn index_of(chooser: &Chooser, pick: Pick) -> Option<usize> {
    chooser.id(pick)?.as_str().parse().ok()
}
