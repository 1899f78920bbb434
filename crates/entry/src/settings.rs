//! Settings of one entry process, typed and checked.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Decimal;
use conf::value::duration_text;

const ENTRY: &str = "entry";
const RETRY: &str = "retry";
const PROBE: &str = "probe";
const PLACE: &str = "place";
const STOP: &str = "stop";
const COST: &str = "cost";
const COLD: &str = "cold";

/// Path of the readiness page, by default.
const READY_PATH: &str = "/ready";
/// How long callers may keep a list of entry hosts, by default.
const TTL: Duration = Duration::from_secs(2);
/// Probes an instance and second, by default: a twentieth of what an instance
/// with a probe of 1 ms could answer.
const PROBES: u32 = 50;
/// Entry hosts that a caller is told at least, by default: one may be lost, and one
/// may be stopping.
const SPREAD: u32 = 3;
/// Most instances that one entry process dispatches, by default: it asks each some 36
/// times a second, which with 400 questions of others is about a tenth of a core.
const DISPATCHED: u32 = 24;
/// First port of local hubs.
const PORT: u16 = 7010;
/// Region of a local entry process.
const REGION: &str = "local";
/// Offset of a hub's own port from the first one.
const HUB_PORT: u16 = 2;

/// What retries all entry processes together may spend on a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Extra attempts as a share of requests, in percent.
    pub percent: u32,
    /// Extra attempts beyond the share, in each window, for all entry hosts together.
    pub base: u32,
    /// The window.
    pub window: Duration,
}

impl Default for Retry {
    /// A fifth of the requests is the usual bound on retries.
    fn default() -> Self {
        Self {
            percent: 20,
            base: 60,
            window: Duration::from_secs(10),
        }
    }
}

/// What the sharing of budgets among entry processes rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudgets {
    /// Retries.
    pub retry: Retry,
    /// Probes that one instance may get a second.
    pub probes: u32,
    /// The entry processes that share, 0 while that isn't known.
    pub entries: u32,
}

/// How long a graceful stop takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Callers still come for so long, as they keep old addresses.
    pub linger: Duration,
    /// All is over after this.
    pub grace: Duration,
}

impl Default for Stop {
    /// Most callers ask the directory again within two seconds; one that comes
    /// later finds the port closed and goes elsewhere at once. Requests taken
    /// until then have the rest of the grace period to finish: slow work
    /// takes some seconds.
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(2_500),
            grace: Duration::from_secs(6),
        }
    }
}

/// How far beyond what a cold instance takes all entry hosts together may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBound {
    /// In thousandths of its rate.
    pub overshoot: u32,
    /// Requests in a second beyond that.
    pub slack: u32,
}

impl Default for ColdBound {
    /// What it says that it takes, and nothing beyond.
    fn default() -> Self {
        Self {
            overshoot: 1_000,
            slack: 0,
        }
    }
}

/// All settings of one entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// The path of the readiness page.
    pub ready_path: Arc<str>,
    /// The first of the ports that hubs use, the same on every host.
    pub port: u16,
    /// Hosts that run hubs; of each only the address counts, not the port.
    pub seeds: Vec<SocketAddr>,
    /// How long callers may keep a list of entry hosts.
    pub ttl: Duration,
    /// Entry hosts that a caller is told where its failure domain has fewer.
    pub spread: usize,
    /// Retries.
    pub retry: Retry,
    /// Probes that one instance may get a second from all entry hosts together;
    /// 0 allows none.
    pub probes: u32,
    /// Where other entry processes ask for instances; none where each decides alone.
    pub place: Option<SocketAddr>,
    /// Most instances of a service that one entry process dispatches.
    pub dispatched: usize,
    /// The graceful stop.
    pub stop: Stop,
    /// Price of a megabyte between failure domains, in thousandths of the worth
    /// of a request; 0 where such bytes are free.
    pub crossing: u32,
    /// How far beyond their rate cold instances may be sent to.
    pub cold: ColdBound,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

struct Text(Arc<str>);

impl conf::Value for Text {
    const FORM: &'static str = "a path";

    fn read(text: &str) -> Option<Self> {
        text.starts_with('/').then(|| Self(text.into()))
    }
}

impl Settings {
    /// An entry process with every default that takes callers at `front`, on free
    /// ports where that has port 0, and knows no hub.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName, front: SocketAddr) -> Self {
        Self {
            host,
            domain,
            region: RegionName::new(REGION).unwrap_or_else(|_| unreachable!("a valid name")),
            front,
            ready: SocketAddr::new(front.ip(), 0),
            ready_path: READY_PATH.into(),
            port: PORT,
            seeds: Vec::new(),
            ttl: TTL,
            spread: SPREAD as usize,
            retry: Retry::default(),
            probes: PROBES,
            place: None,
            dispatched: DISPATCHED as usize,
            stop: Stop::default(),
            crossing: 0,
            cold: ColdBound::default(),
            telemetry: telemetry::Settings::default(),
        }
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads all keys of `reader`.
    ///
    /// # Errors
    ///
    /// Fails with every fault noted.
    pub fn read(mut reader: Reader) -> Result<Self, ConfError> {
        let settings = Self::take(&mut reader);
        reader.finish()?;
        Ok(settings.unwrap_or_else(|| unreachable!("what is missing is a fault of its own")))
    }

    /// Reads its own sections; faults are noted in the reader.
    pub fn take(r: &mut Reader) -> Option<Self> {
        let host = r.required(ENTRY, "host");
        let domain = r.required(ENTRY, "domain");
        let region = r.required(ENTRY, "region");
        let front = r.required(ENTRY, "front");
        let ready = r.required(ENTRY, "ready");
        let ready_path = r.or(ENTRY, "ready-path", Text(READY_PATH.into())).0;
        let port: Option<u32> = r.required(ENTRY, "port");
        let seeds = r.list(ENTRY, "seeds");
        let ttl = r.or(ENTRY, "ttl", TTL);
        let spread: u32 = r.or(ENTRY, "spread", SPREAD);
        let retry = read_retry(r);
        let probes = r.or(PROBE, "per-second", PROBES);
        let place = r.optional(PLACE, "listen");
        let dispatched: u32 = r.or(PLACE, "instances", DISPATCHED);
        let stop = read_stop(r);
        let crossing = r.or(COST, "crossing", 0);
        let cold = read_cold(r);
        let telemetry = telemetry::Settings::read(r);
        let last = u32::from(u16::MAX - HUB_PORT);
        if let Some(port) = port.filter(|p| *p > last) {
            let problem = Problem::Form(port.to_string());
            r.fault(ENTRY, "port", problem, "a port with two more after it");
        }
        Some(Self {
            host: host?,
            domain: domain?,
            region: region?,
            front: front?,
            ready: ready?,
            ready_path,
            port: u16::try_from(port?).ok()?,
            seeds,
            ttl,
            spread: usize::try_from(spread).unwrap_or(usize::MAX),
            retry,
            probes,
            place,
            dispatched: usize::try_from(dispatched).unwrap_or(usize::MAX),
            stop,
            crossing,
            cold,
            telemetry,
        })
    }

    /// How budgets are shared among `entries` processes.
    #[must_use]
    pub fn shared_budgets(&self, entries: u32) -> SharedBudgets {
        SharedBudgets {
            retry: self.retry,
            probes: self.probes,
            entries,
        }
    }

    /// Price of a megabyte between failure domains, in the worth of a request.
    #[must_use]
    pub fn crossing(&self) -> f64 {
        f64::from(self.crossing) / 1000.0
    }

    /// Where the hub at `ip` serves entry processes.
    #[must_use]
    pub fn hub_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + HUB_PORT)
    }
}

fn read_retry(r: &mut Reader) -> Retry {
    let preset = Retry::default();
    let retry = Retry {
        percent: r.or(RETRY, "percent", preset.percent),
        base: r.or(RETRY, "base", preset.base),
        window: r.or(RETRY, "window", preset.window),
    };
    if retry.window.is_zero() {
        r.fault(RETRY, "window", Problem::Form("0ms".into()), "over 0");
    }
    retry
}

fn read_cold(r: &mut Reader) -> ColdBound {
    let preset = ColdBound::default();
    let bound = ColdBound {
        overshoot: r.or(COLD, "overshoot", Decimal(preset.overshoot)).0,
        slack: r.or(COLD, "slack", preset.slack),
    };
    if bound.overshoot < preset.overshoot {
        let problem = Problem::Form(Decimal(bound.overshoot).to_string());
        r.fault(COLD, "overshoot", problem, "1 or more");
    }
    bound
}

fn read_stop(r: &mut Reader) -> Stop {
    let preset = Stop::default();
    let grace = r.or(STOP, "grace", preset.grace);
    let linger = r.or(STOP, "linger", preset.linger.min(grace * 5 / 12));
    if linger > grace {
        r.fault(
            STOP,
            "linger",
            Problem::Contradicts("grace"),
            "at most grace",
        );
    }
    Stop { linger, grace }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        writeln!(f, "[{ENTRY}]")?;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "region = {}", self.region)?;
        writeln!(f, "front = {}", self.front)?;
        writeln!(f, "ready = {}", self.ready)?;
        writeln!(f, "ready-path = {}", self.ready_path)?;
        writeln!(f, "port = {}", self.port)?;
        writeln!(f, "seeds = {}", seeds.join(", "))?;
        writeln!(f, "ttl = {}", duration_text(self.ttl))?;
        writeln!(f, "spread = {}", self.spread)?;
        writeln!(f, "\n[{RETRY}]")?;
        writeln!(f, "percent = {}", self.retry.percent)?;
        writeln!(f, "base = {}", self.retry.base)?;
        writeln!(f, "window = {}", duration_text(self.retry.window))?;
        writeln!(f, "\n[{PROBE}]")?;
        writeln!(f, "per-second = {}", self.probes)?;
        writeln!(f, "\n[{PLACE}]")?;
        if let Some(place) = self.place {
            writeln!(f, "listen = {place}")?;
        }
        writeln!(f, "instances = {}", self.dispatched)?;
        writeln!(f, "\n[{STOP}]")?;
        writeln!(f, "linger = {}", duration_text(self.stop.linger))?;
        writeln!(f, "grace = {}", duration_text(self.stop.grace))?;
        writeln!(f, "\n[{COST}]")?;
        writeln!(f, "crossing = {}", self.crossing)?;
        writeln!(f, "\n[{COLD}]")?;
        writeln!(f, "overshoot = {}", Decimal(self.cold.overshoot))?;
        writeln!(f, "slack = {}", self.cold.slack)?;
        write!(f, "\n{}", self.telemetry)
    }
}
