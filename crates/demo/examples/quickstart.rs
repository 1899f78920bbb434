//! The whole system at work in one process, on free loopback addresses.
//!
//! Both users' callers call; meanwhile a grant is sent twice, an upstream is
//! drained, one is killed, a gateway is stopped and the catalogue is changed. Then
//! a hub and two entry processes serve by a route table with a split. Ends with exit code 0 only if every promise held.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use catalogue::entry::Entry;
use demo::events;
use demo::promise;
use demo::promise::Evidence;
use demo::promise::Judgement;
use demo::promise::LEAVE;
use demo::promise::Probes;
use demo::roles::Roles;
use demo::roles::RolesError;
use demo::routes;
use demo::routes::RoutesError;
use demo::summary::Summary;
use demo::traffic;
use demo::traffic::Book;
use demo::traffic::Client;
use demo::traffic::Record;
use demo::traffic::Shape;
use demo::watch::Seen;
use quick_error::quick_error;
use standin::Run;
use standin::StandIn;
use testutils::services;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// The instance that is drained.
const DRAINED: &str = "ferrovie.cancellations-0";
/// The instance that is killed, and its service.
const KILLED: &str = "trust.enquiries-1";
/// The entry host whose gateway is stopped.
const STOPPED: usize = 3;
/// Calls before the first event.
const WARM: Duration = Duration::from_secs(1);

/// The version of the founding catalogue.
const FOUNDING_VERSION: u64 = 1;
/// Place of the grants in [`SHAPES`].
const GRANTS: usize = 1;
/// Place of the drawings in [`SHAPES`].
const DRAWINGS: usize = 5;
/// Place of the statements in [`SHAPES`], and in the catalogue.
const STATEMENTS: usize = 7;

const SHAPES: [Shape; 8] = [
    shape(services::STATUS, Class::Urgent, "supervisor", 100),
    shape(services::GRANTS, Class::Once, "planner", 300),
    shape(services::CANCELLATIONS, Class::Durable, "controller", 200),
    shape(services::REGISTER, Class::Deferred, "archivist", 400),
    shape(services::ENQUIRIES, Class::Urgent, "exporter", 100),
    shape(services::DRAWINGS, Class::Once, "officer", 300),
    shape(services::AMENDMENTS, Class::Durable, "agent", 200),
    shape(services::STATEMENTS, Class::Deferred, "auditor", 400),
];

const fn shape(service: &'static str, class: Class, caller: &'static str, pause: u64) -> Shape {
    Shape {
        service,
        class,
        caller,
        pause: Duration::from_millis(pause),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("quickstart: {err}");
            ExitCode::FAILURE
        }
    }
}

quick_error! {
    /// Why the trial can't run.
    #[derive(Debug)]
    enum TrialError {
        /// The roles around gateways.
        Roles(err: RolesError) {
            from()
            display("{err}")
        }
        /// The roles around entry processes.
        Routes(err: RoutesError) {
            from()
            display("{err}")
        }
    }
}

async fn run() -> Result<bool, TrialError> {
    let calls = run_calls().await?;
    println!();
    println!("starting: a hub, 2 entry processes, 2 upstreams; a split of 3 to 1");
    let judgements = promise::judge_routes(&routes::run().await?);
    print_judgements(&judgements);
    Ok(calls && judgements.iter().all(Judgement::held))
}

async fn run_calls() -> Result<bool, RolesError> {
    println!("starting: 3 control replicas, 4 entry hosts, 24 upstreams");
    let entries = services::all();
    let mut roles = Roles::start(&entries).await?;
    let began = Instant::now();
    let trial = Trial::start(&roles);
    let events = bring_about(&mut roles, &entries, &trial.book).await?;
    let (records, seen) = trial.end().await;
    let evidence = Evidence {
        after_kill: after(&records, events.killed),
        during_stop: events.stop_calls,
        records,
        runs: all_runs(&roles),
        probes: probes(&roles, &entries, began.elapsed()),
        drained: DRAINED.into(),
        drained_for: events.drained.elapsed(),
        archive: archive_size(&roles),
        in_force: Some(events.in_force),
        seen,
    };
    let judgements = promise::judge(&evidence);
    print(&evidence.records, &judgements);
    roles.stop().await;
    Ok(judgements.iter().all(Judgement::held))
}

/// Callers and the watch over the configurations, while they run.
struct Trial {
    book: Book,
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<()>>,
    watcher: JoinHandle<Seen>,
}

impl Trial {
    fn start(roles: &Roles) -> Self {
        let book = Book::default();
        let stop = watch::Sender::new(false);
        let caller = |(i, shape): (usize, Shape)| {
            let mut directories = roles.asks();
            let count = directories.len();
            directories.rotate_left(i % count);
            let client = Client::new(directories);
            tokio::spawn(traffic::run(client, shape, book.clone(), stop.subscribe()))
        };
        let callers = SHAPES.into_iter().enumerate().map(caller).collect();
        let directories = roles.plan.directories.iter().map(|d| d.rpc).collect();
        let watcher = tokio::spawn(demo::watch::run(directories, stop.subscribe()));
        Self {
            book,
            stop,
            callers,
            watcher,
        }
    }

    async fn end(self) -> (Vec<Record>, Seen) {
        self.stop.send_replace(true);
        futures::future::join_all(self.callers).await;
        let seen = self.watcher.await.unwrap_or_default();
        (self.book.all(), seen)
    }
}

/// When the events came about.
struct Events {
    drained: Instant,
    killed: Instant,
    in_force: Duration,
    stop_calls: usize,
}

async fn bring_about(
    roles: &mut Roles,
    entries: &[Entry],
    book: &Book,
) -> Result<Events, RolesError> {
    sleep(WARM).await;
    println!("event: one grant by way of two gateways at once, and of a third after");
    let gateways = &roles.plan.gateways;
    let gateways = [gateways[0].http, gateways[1].http, gateways[2].http];
    let sent = events::send_twice(gateways, SHAPES[GRANTS]).await;
    book.add_all(sent);

    println!("event: every upstream of the drawings sheds while three are sent");
    book.add_all(events::send_refused(roles, gateways, SHAPES[DRAWINGS]).await);

    println!("event: {DRAINED} drains");
    let drained = events::drain(roles, DRAINED);
    println!("event: {KILLED} is killed");
    let killed = events::kill(roles, KILLED);

    println!("event: the gateway of entry host {STOPPED} stops with calls in flight");
    let calls = events::stop_gateway(roles, STOPPED, SHAPES[STATEMENTS]).await;
    let stop_calls = calls.len();
    book.add_all(calls);

    println!("event: a change of the catalogue");
    let in_force = events::change(roles, FOUNDING_VERSION, &entries[STATEMENTS]).await?;
    println!("event: in force on every entry host after {in_force:?}");
    let left = (LEAVE * 2).saturating_sub(drained.elapsed());
    sleep(left + WARM).await;
    Ok(Events {
        drained,
        killed,
        in_force,
        stop_calls,
    })
}

/// The calls of the killed instance's service that began after `killed`.
fn after(records: &[Record], killed: Instant) -> Vec<Record> {
    let service = KILLED
        .rsplit_once('-')
        .map_or(KILLED, |(service, _)| service);
    let began = |r: &&Record| r.ask.service == service && r.begin > killed;
    records.iter().filter(began).cloned().collect()
}

fn all_runs(roles: &Roles) -> BTreeMap<String, Vec<Run>> {
    let runs = roles.runs.iter();
    runs.map(|(name, runs)| (name.clone(), runs.all()))
        .collect()
}

fn probes(roles: &Roles, entries: &[Entry], span: Duration) -> Vec<Probes> {
    let of = |(name, upstream): (&String, &StandIn)| {
        let service = &upstream.settings().service;
        let entry = entries.iter().find(|e| &e.service == service);
        let rate = entry.map_or(0, |e| u128::from(e.limits.probes));
        let budget = rate * span.as_millis() / 1_000_000;
        Probes {
            instance: name.clone(),
            count: upstream.probes(),
            budget: u64::try_from(budget).unwrap_or(u64::MAX),
        }
    };
    roles.upstreams.iter().map(of).collect()
}

fn archive_size(roles: &Roles) -> u64 {
    let first = roles.upstreams.values().next();
    first.map_or(0, |upstream| upstream.settings().archive.0)
}

fn print(records: &[Record], judgements: &[Judgement]) {
    println!();
    for record in records {
        println!("{record}");
    }
    println!();
    println!("{}", Summary::HEAD);
    for shape in SHAPES {
        println!("{}", Summary::new(shape, records));
    }
    println!();
    print_judgements(judgements);
}

fn print_judgements(judgements: &[Judgement]) {
    for judgement in judgements {
        println!("{judgement}");
        judgement
            .broken
            .iter()
            .for_each(|what| println!("  {what}"));
    }
}
