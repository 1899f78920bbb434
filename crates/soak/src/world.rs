//! The system under faults: what is drawn, done and restored.

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
use testutils::Process;
use testutils::Request;
use testutils::process::field;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::LOOKUPS;
use testutils::tables::STATUS;

use crate::SoakError;
use crate::crashers::Crashers;
use crate::proxy::Mode;
use crate::proxy::Proxy;

/// Hubs.
const HUBS: usize = 3;
/// Entry processes.
const ENTRIES: usize = 2;
/// Upstreams of each service.
const UPSTREAMS: usize = 2;
/// Port of the upstreams behind their proxies.
const BEHIND: u16 = 7090;
/// What an upstream is told to show, one at a time.
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
/// What its proxy does.
const MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::Delay,
    Mode::Silent,
    Mode::Mute,
    Mode::Reset,
];

/// What is done to a process next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Signal {
    Kill,
    Stop,
    Freeze,
    HangUp,
}

/// All of them.
const SIGNALS: [Signal; 4] = [Signal::Kill, Signal::Stop, Signal::Freeze, Signal::HangUp];

/// One upstream with the proxy before it.
struct Site {
    settings: standin::Settings,
    upstream: Option<StandIn>,
    proxy: Proxy,
    /// The runs of all its lives.
    lives: Vec<Runs>,
    _host: Host,
}

/// A process that may be down or frozen.
struct Seat {
    hub: bool,
    index: usize,
    frozen: bool,
}

/// The running system.
pub struct World {
    fleet: Fleet,
    seats: Vec<Seat>,
    sites: Vec<Site>,
    crashers: Crashers,
    version: u64,
    /// The logs of entry processes that have ended.
    logs: Vec<Vec<String>>,
    steps: Vec<String>,
}

impl World {
    /// Starts the system, and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when a part can't start.
    pub async fn start(rng: &mut SmallRng) -> Result<Self, SoakError> {
        let mut fleet = Fleet::start(HUBS, ENTRIES).await?;
        let crashers = Crashers::start(&mut fleet.layout).await?;
        let seat = |hub, index| Seat {
            hub,
            index,
            frozen: false,
        };
        let hubs = (0..HUBS).map(|index| seat(true, index));
        let entries = (0..ENTRIES).map(|index| seat(false, index));
        let mut world = Self {
            seats: hubs.chain(entries).collect(),
            fleet,
            sites: vec![],
            crashers,
            version: 0,
            logs: vec![],
            steps: vec![],
        };
        for service in [STATUS, GRANTS] {
            for number in 0..UPSTREAMS {
                let site = world.site(service, number, rng).await?;
                world.sites.push(site);
            }
        }
        world.change().await?;
        world.wait_served().await?;
        Ok(world)
    }

    async fn site(
        &mut self,
        service: &str,
        number: usize,
        rng: &mut SmallRng,
    ) -> Result<Site, SoakError> {
        let host = Host::new();
        let mut settings = self.fleet.layout.upstream(service, number);
        let front = settings.listen;
        settings.listen = host.at(BEHIND);
        settings.announced = Some(front);
        settings.seed = rng.random();
        let proxy = Proxy::start(front, settings.listen).await?;
        let upstream = standin::start(settings.clone(), silent()).await?;
        Ok(Site {
            lives: vec![upstream.runs().clone()],
            upstream: Some(upstream),
            settings,
            proxy,
            _host: host,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.fleet.layout.entries.iter().map(|e| e.front).collect()
    }

    /// Does one thing, as the random numbers say.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or signalled.
    pub async fn step(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let crashed = self.crashers.start_anew().await?;
        if crashed > 0 {
            self.note(format!("{crashed} upstreams crashed"));
        }
        match rng.random_range(0..10) {
            0..4 => self.disturb(rng).await?,
            4..6 => {
                let at = rng.random_range(0..self.sites.len());
                let mode = MODES[rng.random_range(0..MODES.len())];
                self.sites[at].proxy.set(mode);
                self.note(format!("proxy {at}: {mode}"));
            }
            6..8 => {
                let at = rng.random_range(0..self.sites.len());
                let kind = FAULTS[rng.random_range(0..FAULTS.len())];
                if let Some(upstream) = &self.sites[at].upstream {
                    upstream.set_fault(Fault::new(kind));
                }
                self.note(format!("upstream {at}: {kind}"));
            }
            8 => self.kill_or_start(rng).await?,
            _ => {
                self.version += 1;
                // Taken or not: hubs may be down, and it is put again at the end.
                let table = tables::with_fragile(self.version);
                let taken = self.fleet.layout.put_once(&table).await;
                self.note(format!("table {}: taken {taken}", self.version));
            }
        }
        Ok(())
    }

    fn note(&mut self, step: String) {
        self.steps.push(step);
    }

    /// What was done, in order.
    #[must_use]
    pub fn steps(&self) -> &[String] {
        &self.steps
    }

    /// Waits up to `most`.
    pub async fn rest(&self, rng: &mut SmallRng, most: Duration) {
        tokio::time::sleep(most.mul_f64(rng.random())).await;
    }

    /// Signals a process that runs, or brings back one that doesn't.
    async fn disturb(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let at = rng.random_range(0..self.seats.len());
        let signal = SIGNALS[rng.random_range(0..SIGNALS.len())];
        let Seat { hub, index, frozen } = self.seats[at];
        let kind = if hub { "hub" } else { "entry" };
        if self.slot(at).is_none() || frozen {
            self.note(format!("{kind} {index}: back"));
            return self.bring_back(at).await;
        }
        self.note(format!("{kind} {index}: {signal}"));
        match signal {
            Signal::HangUp => self.process(at).hang_up()?,
            Signal::Freeze => {
                self.process(at).freeze()?;
                self.seats[at].frozen = true;
            }
            Signal::Kill | Signal::Stop => self.end(at, signal).await?,
        }
        Ok(())
    }

    async fn end(&mut self, at: usize, signal: Signal) -> Result<(), SoakError> {
        let Some(mut process) = self.slot(at).take() else {
            return Ok(());
        };
        if signal == Signal::Stop {
            process.terminate()?;
            process.wait().await?;
            self.keep_log(at, process.lines());
            return Ok(());
        }
        self.keep_log(at, process.lines());
        process.kill().await?;
        Ok(())
    }

    fn keep_log(&mut self, at: usize, lines: Vec<String>) {
        if !self.seats[at].hub {
            self.logs.push(lines);
        }
    }

    async fn bring_back(&mut self, at: usize) -> Result<(), SoakError> {
        let Seat { hub, index, frozen } = self.seats[at];
        if frozen {
            self.process(at).resume()?;
            self.seats[at].frozen = false;
            return Ok(());
        }
        let process = if hub {
            self.fleet.start_hub(index).await?
        } else {
            self.fleet.start_entry(index).await?
        };
        *self.slot(at) = Some(process);
        Ok(())
    }

    fn slot(&mut self, at: usize) -> &mut Option<Process> {
        let Seat { hub, index, .. } = self.seats[at];
        if hub {
            &mut self.fleet.hubs[index]
        } else {
            &mut self.fleet.entries[index]
        }
    }

    /// The process of a seat where one runs.
    fn process(&mut self, at: usize) -> &Process {
        let process = self.slot(at).as_ref();
        process.unwrap_or_else(|| unreachable!("asked for only where it runs"))
    }

    /// Kills an upstream, or starts it anew at its address.
    async fn kill_or_start(&mut self, rng: &mut SmallRng) -> Result<(), SoakError> {
        let at = rng.random_range(0..self.sites.len());
        if let Some(upstream) = self.sites[at].upstream.take() {
            upstream.kill();
            self.note(format!("upstream {at}: killed"));
            return Ok(());
        }
        self.note(format!("upstream {at}: started"));
        self.sites[at].start().await
    }

    /// Calls for what crashes upstreams, on the restored system; what that shows to be broken,
    /// if anything.
    ///
    /// # Errors
    ///
    /// Fails when an upstream can't be started.
    pub async fn crash(&mut self) -> Result<Option<String>, SoakError> {
        let fronts = self.fronts();
        self.crashers.crash(&fronts).await
    }

    async fn change(&mut self) -> Result<(), SoakError> {
        self.version += 1;
        let table = tables::with_fragile(self.version);
        Ok(self.fleet.layout.put(&table).await?)
    }

    /// Ends all faults and waits until every entry process has the newest table and
    /// serves both services.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn restore(&mut self) -> Result<(), SoakError> {
        for at in 0..self.seats.len() {
            if self.seats[at].frozen || self.slot(at).is_none() {
                self.bring_back(at).await?;
            }
        }
        for site in &mut self.sites {
            site.proxy.set(Mode::Pass);
            match &site.upstream {
                Some(upstream) => upstream.set_fault(Fault::default()),
                None => site.start().await?,
            }
        }
        self.crashers.start_anew().await?;
        self.change().await?;
        for index in 0..ENTRIES {
            self.fleet.wait_table(index, self.version).await?;
        }
        self.wait_served().await
    }

    async fn wait_served(&self) -> Result<(), SoakError> {
        let asks = [
            Request::get(STATUS, "/read/wait").at(HOST),
            Request::post(GRANTS, "/once/wait", "block 7").at(HOST),
            Request::get(LOOKUPS, "/fragile/wait").at(HOST),
        ];
        for index in 0..ENTRIES {
            for ask in &asks {
                let what = format!("answer of {} at entry {index}", ask.service);
                wait(&what, async || self.fleet.call(index, ask).await.is_ok()).await?;
            }
        }
        Ok(())
    }

    /// The runs of all upstreams in all their lives.
    pub fn runs(&self) -> impl Iterator<Item = Run> + '_ {
        let lives = self.sites.iter().flat_map(|site| &site.lives);
        lives.flat_map(Runs::all)
    }

    /// Tables that an entry process put in force after a newer one.
    #[must_use]
    pub fn backward_tables(&self) -> Vec<String> {
        let running = self.fleet.entries.iter().flatten().map(Process::lines);
        let logs = self.logs.iter().cloned().chain(running);
        logs.filter_map(|lines| backward(&lines)).collect()
    }
}

impl Site {
    async fn start(&mut self) -> Result<(), SoakError> {
        let upstream = standin::start(self.settings.clone(), silent()).await?;
        self.lives.push(upstream.runs().clone());
        self.upstream = Some(upstream);
        Ok(())
    }
}

/// The first table in a process's log that is older than the one before it.
fn backward(lines: &[String]) -> Option<String> {
    let tables = lines
        .iter()
        .filter(|line| field(line, "msg") == Some("route table"));
    let versions = tables.filter_map(|line| field(line, "version")?.parse().ok());
    let versions: Vec<u64> = versions.collect();
    let back = versions.windows(2).find(|pair| pair[1] <= pair[0])?;
    Some(format!("table {} in force after {}", back[1], back[0]))
}
