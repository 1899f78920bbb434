//! The system under test: applies random faults and restores it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use standin::Fault;
use standin::FaultKind;
use standin::Run;
use standin::StandIn;
use standin::runs::Runs;
use strum::Display;
use telemetry::log::silent;
use testutils::Fleet;
use testutils::Host;
use testutils::Layout;
use testutils::Process;
use testutils::Request;
use testutils::process::field;
use testutils::system::SystemError;
use testutils::system::wait;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::LOOKUPS;
use testutils::tables::STATUS;

use crate::Plan;
use crate::SoakError;
use crate::crashing_upstreams::CrashingUpstreams;
use crate::faulty_upstreams::FaultyUpstreams;
use crate::keys;
use crate::keys::Keys;
use crate::keys::STEADY_KEY;
use crate::proxy::Mode;
use crate::proxy::Proxy;

/// Paths of the requests that are repeated until the system serves them.
pub const WAIT_PATHS: [&str; 3] = ["/read/wait", "/once/wait", "/fragile/wait"];
/// Number of hubs.
const HUBS: usize = 3;
/// Number of entry processes.
const ENTRIES: usize = 2;
/// Number of upstreams per service.
const UPSTREAMS: usize = 2;
/// Port for requests relayed between entry processes.
const RELAY_PORT: u16 = 7010;
/// Share of steps that change the faults of responses, if the plan has them.
const FAULTY_STEP_SHARE: f64 = 0.25;
/// Port that the upstreams behind proxies listen on.
const UPSTREAM_PORT: u16 = 7090;
/// Faults that are set on an upstream, one at a time.
const FAULTS: [FaultKind; 8] = [
    FaultKind::None,
    FaultKind::Shed,
    FaultKind::Fail,
    FaultKind::Slow,
    FaultKind::Short,
    FaultKind::Late,
    FaultKind::Crossed,
    FaultKind::Ill,
];
/// Modes of the proxy in front of an upstream.
const MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::Delay,
    Mode::Silent,
    Mode::Mute,
    Mode::Reset,
];

/// Fault that is injected into a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum ProcessFault {
    Kill,
    Stop,
    Freeze,
    HangUp,
}

const PROCESS_FAULTS: [ProcessFault; 4] = [
    ProcessFault::Kill,
    ProcessFault::Stop,
    ProcessFault::Freeze,
    ProcessFault::HangUp,
];

/// One upstream with the proxy in front of it.
struct ProxiedUpstream {
    settings: standin::Settings,
    /// `None` after a kill.
    upstream: Option<StandIn>,
    proxy: Proxy,
    /// Runs of each incarnation.
    runs: Vec<Runs>,
    _host: Host,
}

/// A hub or entry process, which may be down or frozen.
struct ProcessState {
    hub: bool,
    index: usize,
    frozen: bool,
}

/// The running system.
pub struct World {
    fleet: Fleet,
    processes: Vec<ProcessState>,
    upstreams: Vec<ProxiedUpstream>,
    crashing_upstreams: CrashingUpstreams,
    faulty_upstreams: FaultyUpstreams,
    faulty_responses: bool,
    version: u64,
    keys: Keys,
    /// Log lines of each entry process that has ended.
    logs: Vec<Vec<String>>,
    steps: Vec<String>,
}

impl World {
    /// Starts the system and waits until it serves requests.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started.
    pub async fn start(plan: Plan, rng: &mut SmallRng) -> Result<Self, SoakError> {
        let mut layout = Layout::new(HUBS, ENTRIES).map_err(SystemError::from)?;
        for entry in &mut layout.entries {
            entry.keys = keys::settings();
            entry.relay = Some(RELAY_PORT);
        }
        let mut fleet = Fleet::start_layout(layout).await?;
        let crashing_upstreams = CrashingUpstreams::start(&mut fleet.layout).await?;
        let faulty_upstreams = if plan.faulty_responses {
            FaultyUpstreams::start(&mut fleet.layout, rng).await?
        } else {
            FaultyUpstreams::default()
        };
        let process = |hub, index| ProcessState {
            hub,
            index,
            frozen: false,
        };
        let hubs = (0..HUBS).map(|index| process(true, index));
        let entries = (0..ENTRIES).map(|index| process(false, index));
        let mut world = Self {
            processes: hubs.chain(entries).collect(),
            fleet,
            upstreams: vec![],
            crashing_upstreams,
            faulty_upstreams,
            faulty_responses: plan.faulty_responses,
            version: 0,
            keys: Keys::default(),
            logs: vec![],
            steps: vec![],
        };
        for service in [STATUS, GRANTS] {
            for number in 0..UPSTREAMS {
                let upstream = world.start_upstream(service, number, rng).await?;
                world.upstreams.push(upstream);
            }
        }
        world.publish_table().await?;
        world.wait_until_served().await?;
        Ok(world)
    }

    async fn start_upstream(
        &mut self,
        service: &str,
        number: usize,
        rng: &mut SmallRng,
    ) -> Result<ProxiedUpstream, SoakError> {
        let host = Host::new();
        let mut settings = self.fleet.layout.upstream(service, number);
        let front = settings.listen;
        settings.listen = host.at(UPSTREAM_PORT);
        settings.announced = Some(front);
        settings.seed = rng.random();
        let proxy = Proxy::start(front, settings.listen).await?;
        let upstream = standin::start(settings.clone(), silent()).await?;
        Ok(ProxiedUpstream {
            runs: vec![upstream.runs().clone()],
            upstream: Some(upstream),
            settings,
            proxy,
            _host: host,
        })
    }

    /// Addresses that callers connect to.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.fleet.layout.entries.iter().map(|e| e.front).collect()
    }

    /// The keys of the tables.
    #[must_use]
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Applies one random step to the system.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or signalled.
    pub async fn step(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let crashed = self.crashing_upstreams.restart_crashed().await?;
        if crashed > 0 {
            self.record_step(format!("{crashed} upstreams crashed"));
        }
        if self.faulty_responses && rng.random_bool(FAULTY_STEP_SHARE) {
            let step = self.faulty_upstreams.draw(rng);
            self.steps.extend(step);
            return Ok(());
        }
        match rng.random_range(0..10) {
            0..4 => self.inject_process_fault(rng).await?,
            4..6 => {
                let position = rng.random_range(0..self.upstreams.len());
                let mode = MODES[rng.random_range(0..MODES.len())];
                self.upstreams[position].proxy.set_mode(mode);
                self.record_step(format!("proxy {position}: {mode}"));
            }
            6..8 => {
                let position = rng.random_range(0..self.upstreams.len());
                let kind = FAULTS[rng.random_range(0..FAULTS.len())];
                if let Some(upstream) = &self.upstreams[position].upstream {
                    upstream.set_fault(Fault::new(kind));
                }
                self.record_step(format!("upstream {position}: {kind}"));
            }
            8 => self.kill_or_restart_upstream(rng).await?,
            _ => {
                self.version += 1;
                // May be refused, as hubs may be down; a newer table is published at the end.
                let table = self.keys.table(self.version);
                let accepted = self.fleet.layout.put_once(&table).await;
                if accepted {
                    self.keys.record_accepted(self.version);
                }
                self.record_step(format!("table {}: accepted {accepted}", self.version));
            }
        }
        Ok(())
    }

    fn record_step(&mut self, step: String) {
        self.steps.push(step);
    }

    /// Descriptions of the applied steps, in order.
    #[must_use]
    pub fn steps(&self) -> &[String] {
        &self.steps
    }

    /// Waits for a random time of up to `max`.
    pub async fn pause(&self, rng: &mut SmallRng, max: Duration) {
        tokio::time::sleep(max.mul_f64(rng.random())).await;
    }

    /// Applies a random fault to a running process, or restores a process that is down or frozen.
    async fn inject_process_fault(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let position = rng.random_range(0..self.processes.len());
        let fault = PROCESS_FAULTS[rng.random_range(0..PROCESS_FAULTS.len())];
        let ProcessState { hub, index, frozen } = self.processes[position];
        let kind = if hub { "hub" } else { "entry" };
        if self.slot(position).is_none() || frozen {
            self.record_step(format!("{kind} {index}: restored"));
            return self.restore_process(position).await;
        }
        self.record_step(format!("{kind} {index}: {fault}"));
        match fault {
            ProcessFault::HangUp => self.process(position).hang_up()?,
            ProcessFault::Freeze => {
                self.process(position).freeze()?;
                self.processes[position].frozen = true;
            }
            ProcessFault::Kill | ProcessFault::Stop => self.end_process(position, fault).await?,
        }
        Ok(())
    }

    async fn end_process(&mut self, position: usize, fault: ProcessFault) -> Result<(), SoakError> {
        let Some(mut process) = self.slot(position).take() else {
            return Ok(());
        };
        if fault == ProcessFault::Stop {
            process.terminate()?;
            process.wait().await?;
            self.store_log(position, process.lines());
            return Ok(());
        }
        self.store_log(position, process.lines());
        process.kill().await?;
        Ok(())
    }

    fn store_log(&mut self, position: usize, lines: Vec<String>) {
        if !self.processes[position].hub {
            self.logs.push(lines);
        }
    }

    async fn restore_process(&mut self, position: usize) -> Result<(), SoakError> {
        let ProcessState { hub, index, frozen } = self.processes[position];
        if frozen {
            self.process(position).resume()?;
            self.processes[position].frozen = false;
            return Ok(());
        }
        let process = if hub {
            self.fleet.start_hub(index).await?
        } else {
            self.fleet.start_entry(index).await?
        };
        *self.slot(position) = Some(process);
        Ok(())
    }

    fn slot(&mut self, position: usize) -> &mut Option<Process> {
        let ProcessState { hub, index, .. } = self.processes[position];
        if hub {
            &mut self.fleet.hubs[index]
        } else {
            &mut self.fleet.entries[index]
        }
    }

    /// The process at `position`, which must be running.
    fn process(&mut self, position: usize) -> &Process {
        let process = self.slot(position).as_ref();
        process.unwrap_or_else(|| unreachable!("only called for a running process"))
    }

    /// Kills a random upstream, or restarts it if it was killed before.
    async fn kill_or_restart_upstream(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let position = rng.random_range(0..self.upstreams.len());
        if let Some(upstream) = self.upstreams[position].upstream.take() {
            upstream.kill();
            self.record_step(format!("upstream {position}: killed"));
            return Ok(());
        }
        self.record_step(format!("upstream {position}: started"));
        self.upstreams[position].start().await
    }

    /// Sends requests that crash upstreams to the restored system. Returns the violated guarantee,
    /// if any.
    ///
    /// # Errors
    ///
    /// Fails if an upstream can't be started.
    pub async fn check_crashes(&mut self) -> Result<Option<String>, SoakError> {
        let fronts = self.fronts();
        self.crashing_upstreams.check_crashes(&fronts).await
    }

    /// Publishes the next version of the table.
    async fn publish_table(&mut self) -> Result<(), SoakError> {
        self.version += 1;
        let table = self.keys.table(self.version);
        self.fleet.layout.put(&table).await?;
        self.keys.record_accepted(self.version);
        Ok(())
    }

    /// Ends all faults, publishes a table, and waits until every entry process uses it and serves
    /// all services.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be restored, or on a timeout.
    pub async fn restore(&mut self) -> Result<(), SoakError> {
        for position in 0..self.processes.len() {
            if self.processes[position].frozen || self.slot(position).is_none() {
                self.restore_process(position).await?;
            }
        }
        for proxied in &mut self.upstreams {
            proxied.proxy.set_mode(Mode::Pass);
            match &proxied.upstream {
                Some(upstream) => upstream.set_fault(Fault::default()),
                None => proxied.start().await?,
            }
        }
        self.faulty_upstreams.restore();
        self.crashing_upstreams.restart_crashed().await?;
        self.publish_table().await?;
        for index in 0..ENTRIES {
            self.fleet.wait_table(index, self.version).await?;
        }
        self.wait_until_served().await
    }

    async fn wait_until_served(&self) -> Result<(), SoakError> {
        let requests = [
            Request::get(STATUS, WAIT_PATHS[0]).at(HOST),
            Request::post(GRANTS, WAIT_PATHS[1], "block 7").at(HOST),
            Request::get(LOOKUPS, WAIT_PATHS[2]).at(HOST),
        ];
        for index in 0..ENTRIES {
            for request in requests.iter().map(|r| r.clone().with_api_key(STEADY_KEY)) {
                let goal = format!("response of {} at entry {index}", request.service);
                wait(&goal, async || {
                    self.fleet.call(index, &request).await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Waits until no upstream with faulty responses works on a request.
    ///
    /// # Errors
    ///
    /// Fails on a timeout.
    pub async fn wait_idle(&self) -> Result<(), SoakError> {
        self.faulty_upstreams.wait_idle().await
    }

    /// Runs of all proxied upstreams, over all incarnations, and of those with faulty responses.
    pub fn runs(&self) -> impl Iterator<Item = Run> + '_ {
        let runs = self.upstreams.iter().flat_map(|proxied| &proxied.runs);
        let runs = runs.flat_map(Runs::all);
        runs.chain(self.faulty_upstreams.runs())
    }

    /// Descriptions of tables that an entry process applied after a newer one.
    #[must_use]
    pub fn table_regressions(&self) -> Vec<String> {
        let running = self.fleet.entries.iter().flatten().map(Process::lines);
        let logs = self.logs.iter().cloned().chain(running);
        logs.filter_map(|lines| table_regression(&lines)).collect()
    }
}

impl ProxiedUpstream {
    async fn start(&mut self) -> Result<(), SoakError> {
        let upstream = standin::start(self.settings.clone(), silent()).await?;
        self.runs.push(upstream.runs().clone());
        self.upstream = Some(upstream);
        Ok(())
    }
}

/// Finds the first table in a process's log that isn't newer than the table before it.
fn table_regression(lines: &[String]) -> Option<String> {
    let tables = lines
        .iter()
        .filter(|line| field(line, "msg") == Some("route table"));
    let versions = tables.filter_map(|line| field(line, "version")?.parse().ok());
    let versions: Vec<u64> = versions.collect();
    let pair = versions.windows(2).find(|pair| pair[1] <= pair[0])?;
    Some(format!("table {} in force after {}", pair[1], pair[0]))
}
