//! Hubs and entry processes before instances whose responses are faulty, with callers that send at
//! a fixed rate, and the checks of what callers and instances have seen.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;
use entry::settings::Retry;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use standin::FaultShares;
use standin::FaultyInstance;
use standin::Run;
use table::Host;
use table::Kind;
use table::Route;
use table::Service;
use table::Table;
use table::Target;
use telemetry::log::silent;
use testutils::Fleet;
use testutils::IdentifiedRequest;
use testutils::KeptCaller;
use testutils::Layout;
use testutils::Process;
use testutils::Received;
use testutils::process::field;
use testutils::system::wait;
use testutils::tables::HOST;
use tokio::time::Instant;

/// Number of hubs.
const HUBS: usize = 3;
/// Connections that one instance accepts in total.
const CONNECTIONS: u32 = 220;
/// Maximum size of a request's body, in bytes.
const MAX_BODY: usize = 3_000;
/// Probes per instance and second.
const PROBES: u32 = 60;
/// Port of placement requests.
const PLACE_PORT: u16 = 7_035;
/// Statuses that promise that the request hasn't run and won't.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// One service with its instances, its route and the requests that are sent to it.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the service.
    pub service: &'static str,
    /// Kind of its requests.
    pub kind: Kind,
    /// Number of instances.
    pub instances: usize,
    /// Slots of each instance.
    pub slots: u32,
    /// Requests that wait for a slot, at most.
    pub queue: u32,
    /// Mean service time.
    pub time: Duration,
    /// Time in which requests are sent.
    pub length: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Time that callers allow.
    pub deadline: Duration,
    /// Time that the route allows.
    pub timeout: Option<Duration>,
    /// Number of callers, each with a connection of its own.
    pub callers: usize,
    /// Number of instances, from the first one on, with these shares of faults.
    pub faulty: usize,
    /// Shares of faults.
    pub shares: FaultShares,
}

impl Load {
    fn prefix(&self) -> String {
        format!("/{}/", self.service)
    }

    fn route(&self, attempts: u32) -> Route {
        Route {
            name: self.service.into(),
            prefix: self.prefix().into(),
            kind: self.kind,
            timeout: self.timeout,
            aim: None,
            priority: 0,
            attempts,
            target: Target::Service(name(self.service)),
            public: false,
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Seed of bodies, service times and faults.
    pub seed: u64,
    /// Number of entry processes.
    pub entries: usize,
    /// Maximum number of instances that a request is sent to.
    pub attempts: u32,
    /// Budget for retries.
    pub retry: Retry,
    /// The services.
    pub loads: Vec<Load>,
}

/// One request and what its caller got.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: IdentifiedRequest,
    /// Kind of the request.
    pub kind: Kind,
    /// What the caller got.
    pub received: Received,
}

/// What callers and instances have seen, and what the entry processes have logged.
pub struct Record {
    /// All calls.
    pub calls: Vec<Call>,
    /// The runs of each path, with the instances that ran it.
    pub runs: HashMap<String, Vec<(String, Run)>>,
    /// Number of callers' connections on which bytes followed a complete response.
    pub unsolicited: usize,
    /// Log lines of the entry processes.
    pub lines: Vec<String>,
}

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a valid name")
}

fn table(play: &Play) -> Table {
    let service = |load: &Load| Service {
        name: name(load.service),
        health: "/rwr/load".into(),
        connections: CONNECTIONS,
        cold: None,
    };
    let routes = play.loads.iter().map(|load| load.route(play.attempts));
    Table {
        version: 1,
        services: play.loads.iter().map(service).collect(),
        hosts: vec![Host {
            name: HOST.into(),
            routes: routes.collect(),
        }],
        ..Table::default()
    }
}

async fn start_fleet(play: &Play) -> Fleet {
    let mut layout = Layout::new(HUBS, play.entries).expect("a folder");
    for entry in &mut layout.entries {
        entry.retry = play.retry;
        entry.probes = PROBES;
        entry.place = Some((entry.front.ip(), PLACE_PORT).into());
    }
    let fleet = Fleet::start_layout(layout).await.expect("starts");
    fleet.layout.put(&table(play)).await.expect("accepted");
    for index in 0..play.entries {
        fleet.wait_table(index, 1).await.expect("in force");
    }
    fleet
}

async fn start_instances(play: &Play, fleet: &mut Fleet) -> Vec<FaultyInstance> {
    let mut instances = Vec::new();
    for load in &play.loads {
        for number in 0..load.instances {
            let mut settings = fleet.layout.upstream(load.service, number);
            settings.slots = load.slots;
            settings.queue = load.queue;
            settings.time = load.time;
            settings.seed = play.seed.wrapping_mul(1_000) + instances.len() as u64;
            let shares = if number < load.faulty {
                load.shares.clone()
            } else {
                FaultShares::default()
            };
            let instance = FaultyInstance::start(settings, shares, silent()).await;
            instances.push(instance.expect("listens"));
        }
    }
    for instance in &instances {
        for process in fleet.entries.iter().flatten() {
            let is_announced = |line: &str| {
                field(line, "msg") == Some("instance")
                    && field(line, "instance") == Some(instance.incarnation_id())
            };
            process.wait_line(is_announced).await.expect("announced");
        }
    }
    instances
}

/// Sends every `callers`-th request of `load`, from `first` on, each at its time.
async fn send(load: Load, seed: u64, mut caller: KeptCaller, first: u32) -> (Vec<Call>, usize) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000) + u64::from(first));
    let started_at = Instant::now();
    let mut calls = Vec::new();
    for number in (first..).step_by(load.callers) {
        let due = Duration::from_secs_f64(f64::from(number) / load.rate);
        if due >= load.length {
            break;
        }
        tokio::time::sleep_until(started_at + due).await;
        let id = format!("{}-{number}", load.service);
        let request = IdentifiedRequest {
            path: format!("{}{id}", load.prefix()),
            id,
            host: HOST,
            body: "b".repeat(rng.random_range(1..MAX_BODY)),
            deadline: load.deadline,
        };
        let received = caller.call(&request).await;
        calls.push(Call {
            request,
            kind: load.kind,
            received,
        });
    }
    (calls, caller.unsolicited())
}

/// Plays `play` to its end, and waits until no instance works any more.
pub async fn run(play: &Play) -> Record {
    let mut fleet = start_fleet(play).await;
    let instances = start_instances(play, &mut fleet).await;
    let fronts: Vec<_> = fleet.layout.entries.iter().map(|e| e.front).collect();
    let mut fronts = fronts.iter().copied().cycle();
    let mut tasks = Vec::new();
    for load in &play.loads {
        for first in 0..u32::try_from(load.callers).expect("few callers") {
            let caller = KeptCaller::new(fronts.next().expect("an entry process"));
            tasks.push(tokio::spawn(send(load.clone(), play.seed, caller, first)));
        }
    }
    let mut record = Record {
        calls: Vec::new(),
        runs: HashMap::new(),
        unsolicited: 0,
        lines: Vec::new(),
    };
    for task in tasks {
        let (calls, unsolicited) = task.await.expect("no panic");
        record.calls.extend(calls);
        record.unsolicited += unsolicited;
    }
    let idle = async || instances.iter().all(|instance| instance.in_flight() == 0);
    wait("idle instances", idle).await.expect("ends");
    for instance in &instances {
        for run in instance.runs().all() {
            let id = instance.incarnation_id().to_owned();
            let runs = record.runs.entry(run.path.clone()).or_default();
            runs.push((id, run));
        }
    }
    let lines = fleet.entries.iter().flatten().flat_map(Process::lines);
    record.lines = lines.collect();
    record
}

impl Record {
    /// The runs of a call's request.
    pub fn runs_of(&self, call: &Call) -> &[(String, Run)] {
        let runs = self.runs.get(&call.request.path);
        runs.map(Vec::as_slice).unwrap_or_default()
    }

    /// Calls that may run once, and ran more often.
    pub fn ran_twice(&self) -> Vec<&Call> {
        let ran_twice = |call: &&Call| call.kind == Kind::Once && self.runs_of(call).len() > 1;
        self.calls.iter().filter(ran_twice).collect()
    }

    /// Calls that may run once, and were answered as not run although they ran.
    pub fn refused_but_ran(&self) -> Vec<&Call> {
        let refused = |call: &&Call| {
            call.kind == Kind::Once
                && NOT_RUN.contains(&call.received.status())
                && !self.runs_of(call).is_empty()
        };
        self.calls.iter().filter(refused).collect()
    }

    /// Number of calls with a success.
    pub fn answered(&self) -> usize {
        let is_ok = |call: &&Call| (200..300).contains(&call.received.status());
        self.calls.iter().filter(is_ok).count()
    }
}
