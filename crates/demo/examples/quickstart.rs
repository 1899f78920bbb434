//! Runs the whole system in one process, on free loopback addresses.
//!
//! Runs the callers of both users while a grant is sent twice, one upstream is drained,
//! another is killed, a gateway is stopped and the catalogue is changed. Then runs a hub
//! and two entry processes with a route table that splits requests. Prints every call and
//! a check of each promise; the exit code is 0 only if all promises held.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use catalogue::entry::Entry;
use demo::events;
use demo::promise;
use demo::promise::CheckResult;
use demo::promise::DRAIN_GRACE;
use demo::promise::Evidence;
use demo::promise::Probes;
use demo::roles::Roles;
use demo::roles::RolesError;
use demo::routes;
use demo::routes::RoutesError;
use demo::summary::Summary;
use demo::traffic;
use demo::traffic::CallLog;
use demo::traffic::Client;
use demo::traffic::Record;
use demo::traffic::Workload;
use demo::watch::VersionHistory;
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
/// The instance that is killed.
const KILLED: &str = "trust.enquiries-1";
/// Index of the entry host whose gateway is stopped.
const STOPPED: usize = 3;
/// Time before the first event, and after the last.
const WARM_UP: Duration = Duration::from_secs(1);

/// Version of the initial catalogue.
const INITIAL_VERSION: u64 = 1;
/// Index of the grants in [`WORKLOADS`].
const GRANTS: usize = 1;
/// Index of the drawings in [`WORKLOADS`].
const DRAWINGS: usize = 5;
/// Index of the statements in [`WORKLOADS`] and in the catalogue.
const STATEMENTS: usize = 7;

const WORKLOADS: [Workload; 8] = [
    workload(services::STATUS, Class::Urgent, "supervisor", 100),
    workload(services::GRANTS, Class::Once, "planner", 300),
    workload(services::CANCELLATIONS, Class::Durable, "controller", 200),
    workload(services::REGISTER, Class::Deferred, "archivist", 400),
    workload(services::ENQUIRIES, Class::Urgent, "exporter", 100),
    workload(services::DRAWINGS, Class::Once, "officer", 300),
    workload(services::AMENDMENTS, Class::Durable, "agent", 200),
    workload(services::STATEMENTS, Class::Deferred, "auditor", 400),
];

const fn workload(
    service: &'static str,
    class: Class,
    caller: &'static str,
    pause: u64,
) -> Workload {
    Workload {
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
    /// Why the quickstart can't run.
    #[derive(Debug)]
    enum QuickstartError {
        /// The system with gateways failed to start or to change.
        Roles(err: RolesError) {
            from()
            display("{err}")
        }
        /// The system with entry processes failed to start or to change.
        Routes(err: RoutesError) {
            from()
            display("{err}")
        }
    }
}

async fn run() -> Result<bool, QuickstartError> {
    let calls = run_calls().await?;
    println!();
    println!("starting: a hub, 2 entry processes, 2 upstreams; a split of 3 to 1");
    let results = promise::check_routes(&routes::run().await?);
    print_results(&results);
    Ok(calls && results.iter().all(CheckResult::holds))
}

async fn run_calls() -> Result<bool, RolesError> {
    println!("starting: 3 control replicas, 4 entry hosts, 24 upstreams");
    let entries = services::all();
    let mut roles = Roles::start(&entries).await?;
    let started_at = Instant::now();
    let tasks = BackgroundTasks::start(&roles);
    let events = run_events(&mut roles, &entries, &tasks.call_log).await?;
    let (records, versions) = tasks.stop().await;
    let evidence = Evidence {
        after_kill: calls_after(&records, events.killed),
        during_stop: events.stop_calls,
        records,
        runs: all_runs(&roles),
        probes: probe_usage(&roles, &entries, started_at.elapsed()),
        drained: DRAINED.into(),
        drained_for: events.drained.elapsed(),
        archive: archive_size(&roles),
        in_force: Some(events.in_force),
        versions,
    };
    let results = promise::check(&evidence);
    print_report(&evidence.records, &results);
    roles.stop().await;
    Ok(results.iter().all(CheckResult::holds))
}

/// The tasks of the callers and of the watcher of catalogue versions.
struct BackgroundTasks {
    call_log: CallLog,
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<()>>,
    watcher: JoinHandle<VersionHistory>,
}

impl BackgroundTasks {
    fn start(roles: &Roles) -> Self {
        let call_log = CallLog::default();
        let stop = watch::Sender::new(false);
        let caller = |(i, workload): (usize, Workload)| {
            let mut directories = roles.directory_addresses();
            let count = directories.len();
            directories.rotate_left(i % count);
            let client = Client::new(directories);
            tokio::spawn(traffic::run(
                client,
                workload,
                call_log.clone(),
                stop.subscribe(),
            ))
        };
        let callers = WORKLOADS.into_iter().enumerate().map(caller).collect();
        let directories = roles.plan.directories.iter().map(|d| d.rpc).collect();
        let watcher = tokio::spawn(demo::watch::run(directories, stop.subscribe()));
        Self {
            call_log,
            stop,
            callers,
            watcher,
        }
    }

    async fn stop(self) -> (Vec<Record>, VersionHistory) {
        self.stop.send_replace(true);
        futures::future::join_all(self.callers).await;
        let versions = self.watcher.await.unwrap_or_default();
        (self.call_log.all(), versions)
    }
}

/// Times and results of the events.
struct Events {
    drained: Instant,
    killed: Instant,
    in_force: Duration,
    stop_calls: usize,
}

async fn run_events(
    roles: &mut Roles,
    entries: &[Entry],
    call_log: &CallLog,
) -> Result<Events, RolesError> {
    sleep(WARM_UP).await;
    println!("event: one grant by way of two gateways at once, and of a third after");
    let gateways = &roles.plan.gateways;
    let gateways = [gateways[0].http, gateways[1].http, gateways[2].http];
    let sent = events::send_twice(gateways, WORKLOADS[GRANTS]).await;
    call_log.add_all(sent);

    println!("event: every upstream of the drawings sheds while three are sent");
    call_log.add_all(events::send_refused(roles, gateways, WORKLOADS[DRAWINGS]).await);

    println!("event: {DRAINED} drains");
    let drained = events::drain(roles, DRAINED);
    println!("event: {KILLED} is killed");
    let killed = events::kill(roles, KILLED);

    println!("event: the gateway of entry host {STOPPED} stops with calls in flight");
    let calls = events::stop_gateway(roles, STOPPED, WORKLOADS[STATEMENTS]).await;
    let stop_calls = calls.len();
    call_log.add_all(calls);

    println!("event: a change of the catalogue");
    let in_force = events::change(roles, INITIAL_VERSION, &entries[STATEMENTS]).await?;
    println!("event: in force on every entry host after {in_force:?}");
    let remaining = (DRAIN_GRACE * 2).saturating_sub(drained.elapsed());
    sleep(remaining + WARM_UP).await;
    Ok(Events {
        drained,
        killed,
        in_force,
        stop_calls,
    })
}

/// Calls of the killed instance's service that started after `killed`.
fn calls_after(records: &[Record], killed: Instant) -> Vec<Record> {
    let service = KILLED
        .rsplit_once('-')
        .map_or(KILLED, |(service, _)| service);
    let is_later = |r: &&Record| r.request.service == service && r.started_at > killed;
    records.iter().filter(is_later).cloned().collect()
}

fn all_runs(roles: &Roles) -> BTreeMap<String, Vec<Run>> {
    let runs = roles.runs.iter();
    runs.map(|(name, runs)| (name.clone(), runs.all()))
        .collect()
}

fn probe_usage(roles: &Roles, entries: &[Entry], elapsed: Duration) -> Vec<Probes> {
    let of = |(name, upstream): (&String, &StandIn)| {
        let service = &upstream.settings().service;
        let entry = entries.iter().find(|e| &e.service == service);
        let rate = entry.map_or(0, |e| u128::from(e.limits.probes));
        let budget = rate * elapsed.as_millis() / 1_000_000;
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

fn print_report(records: &[Record], results: &[CheckResult]) {
    println!();
    for record in records {
        println!("{record}");
    }
    println!();
    println!("{}", Summary::HEADER);
    for workload in WORKLOADS {
        println!("{}", Summary::new(workload, records));
    }
    println!();
    print_results(results);
}

fn print_results(results: &[CheckResult]) {
    for result in results {
        println!("{result}");
        result.broken.iter().for_each(|what| println!("  {what}"));
    }
}
