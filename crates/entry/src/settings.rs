//! The settings of an entry process.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bounds::Requirements;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use conf::value::Decimal;
use conf::value::duration_text;
use quota::Bound;

const ENTRY: &str = "entry";
const RETRY: &str = "retry";
const PROBE: &str = "probe";
const PLACE: &str = "place";
const STOP: &str = "stop";
const COST: &str = "cost";
const COLD: &str = "cold";
const RELAY: &str = "relay";
const QUOTA: &str = "quota";
const KEYS: &str = "keys";
const QUEUE: &str = "queue";

/// Default path of the readiness page.
const DEFAULT_READY_PATH: &str = "/ready";
/// Default time for which callers may cache a list of entry hosts.
const DEFAULT_TTL: Duration = Duration::from_secs(2);
/// Default number of probes per instance and second: a twentieth of what an instance that takes
/// 1 ms for a probe could answer.
const DEFAULT_PROBES: u32 = 50;
/// Default minimum number of entry hosts in an answer to a caller, so that one may be lost while
/// another is stopping.
const DEFAULT_SPREAD: u32 = 3;
/// Default for the maximum number of instances of a service that one entry process dispatches.
/// The dispatcher probes each of them many times a second.
const DEFAULT_MAX_DISPATCHED: u32 = 24;
/// First hub port of a local entry process.
const DEFAULT_PORT: u16 = 7010;
/// Region of a local entry process.
const DEFAULT_REGION: &str = "local";
/// Offset of the port for entry processes from the first hub port.
const HUB_PORT_OFFSET: u16 = 2;

/// Memory for what clients send: beside it, a process needs what it knows of instances and other
/// processes, and the buffers of its connections to them.
const REQUIREMENTS: Requirements = Requirements {
    own: Bytes(48 * 1024 * 1024),
    largest: Bytes(1024 * 1024),
};

/// The budget for retries of a service, shared by all entry processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Retries as a share of requests, in percent.
    pub percent: u32,
    /// Retries per window beyond that share, for all entry hosts together.
    pub base: u32,
    /// The length of the window.
    pub window: Duration,
}

impl Default for Retry {
    /// Twenty percent, the usual limit for retries.
    fn default() -> Self {
        Self {
            percent: 20,
            base: 60,
            window: Duration::from_secs(10),
        }
    }
}

/// The budgets that entry processes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudgets {
    /// The budget for retries.
    pub retry: Retry,
    /// Maximum number of probes per instance and second.
    pub probes: u32,
    /// The number of entry processes that share the budgets; 0 while unknown.
    pub entries: u32,
}

/// The timing of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// How long the process keeps accepting connections, for callers with cached addresses.
    pub linger: Duration,
    /// The time after which the process stops, counted from the start of the shutdown.
    pub grace: Duration,
}

impl Default for Stop {
    /// Most callers refresh their addresses within two seconds; a later caller is refused and
    /// tries another host. Requests accepted until then have the rest of the grace period to
    /// finish.
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(2_500),
            grace: Duration::from_secs(6),
        }
    }
}

/// How far all entry hosts together may exceed the rate of a cold instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBound {
    /// The maximum rate, in thousandths of the instance's rate.
    pub overshoot: u32,
    /// Additional requests per second.
    pub slack: u32,
}

impl Default for ColdBound {
    /// No more than the instance's rate.
    fn default() -> Self {
        Self {
            overshoot: 1_000,
            slack: 0,
        }
    }
}

/// How the quotas of workspaces are shared and bounded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaSettings {
    /// All failure domains of the deployment; none if all processes are one group.
    pub domains: Vec<DomainName>,
    /// The bound on the requests of a workspace.
    pub bound: Bound,
}

/// When requests that need a key are refused because the process may not know of removed keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Whether they are refused at all.
    pub fail_closed: bool,
    /// How long a majority's confirmation of the route table lasts.
    pub confirm: Duration,
}

impl Default for Keys {
    /// Five seconds: several watches of each hub, so that the loss of some hubs refuses nothing.
    fn default() -> Self {
        Self {
            fail_closed: false,
            confirm: Duration::from_secs(5),
        }
    }
}

/// All settings of an entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address of the readiness page.
    pub ready: SocketAddr,
    /// The path of the readiness page.
    pub ready_path: Arc<str>,
    /// The first port of the hubs, which is the same on every host.
    pub port: u16,
    /// Hosts that run hubs; the ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// How long callers may cache a list of entry hosts.
    pub ttl: Duration,
    /// Minimum number of entry hosts in an answer to a caller; used if the caller's failure
    /// domain has fewer.
    pub spread: usize,
    /// The budget for retries.
    pub retry: Retry,
    /// Maximum number of probes per instance and second from all entry hosts together; 0
    /// disables probes.
    pub probes: u32,
    /// The address for placement requests from other entry processes; without it, each process
    /// selects instances by itself.
    pub place: Option<SocketAddr>,
    /// Maximum number of instances of a service that one entry process dispatches.
    pub max_dispatched: usize,
    /// Whether services with more instances are divided into parts with a dispatcher each.
    pub parts: bool,
    /// The port at which every entry host takes requests of others that don't reach the
    /// instances; without it, such requests are refused.
    pub relay: Option<u16>,
    /// When requests that need a key are refused.
    pub keys: Keys,
    /// The graceful shutdown.
    pub stop: Stop,
    /// The cost of a megabyte sent between failure domains, in thousandths of a request's value;
    /// 0 if it is free.
    pub crossing: u32,
    /// How far cold instances may be loaded beyond their rate.
    pub cold: ColdBound,
    /// The quotas of workspaces.
    pub quota: QuotaSettings,
    /// Whether requests that were refused and came back are told apart from new ones: they wait
    /// longer before they are refused again, and each is told a time of its own to come back.
    pub returning: bool,
    /// What callers and peers may occupy.
    pub bounds: bounds::Settings,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

struct UrlPath(Arc<str>);

impl conf::Value for UrlPath {
    const FORM: &'static str = "a path";

    fn read(text: &str) -> Option<Self> {
        text.starts_with('/').then(|| Self(text.into()))
    }
}

impl Settings {
    /// Default settings for an entry process that listens at `front` and knows no hubs. The
    /// readiness page gets a free port.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName, front: SocketAddr) -> Self {
        Self {
            host,
            domain,
            region: RegionName::new(DEFAULT_REGION)
                .unwrap_or_else(|_| unreachable!("a valid name")),
            front,
            ready: SocketAddr::new(front.ip(), 0),
            ready_path: DEFAULT_READY_PATH.into(),
            port: DEFAULT_PORT,
            seeds: Vec::new(),
            ttl: DEFAULT_TTL,
            spread: DEFAULT_SPREAD as usize,
            retry: Retry::default(),
            probes: DEFAULT_PROBES,
            place: None,
            max_dispatched: DEFAULT_MAX_DISPATCHED as usize,
            parts: false,
            relay: None,
            keys: Keys::default(),
            stop: Stop::default(),
            crossing: 0,
            cold: ColdBound::default(),
            quota: QuotaSettings::default(),
            returning: false,
            bounds: bounds::Settings::default(),
            telemetry: telemetry::Settings::default(),
        }
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads the settings from `reader`.
    ///
    /// # Errors
    ///
    /// Fails with all recorded faults.
    pub fn read(mut reader: Reader) -> Result<Self, ConfError> {
        let settings = Self::take(&mut reader);
        reader.finish()?;
        Ok(settings.unwrap_or_else(|| unreachable!("what is missing is a fault of its own")))
    }

    /// Reads the sections of the entry process. Faults are recorded in the reader.
    pub fn take(r: &mut Reader) -> Option<Self> {
        let host = r.required(ENTRY, "host");
        let domain = r.required(ENTRY, "domain");
        let region = r.required(ENTRY, "region");
        let front = r.required(ENTRY, "front");
        let ready = r.required(ENTRY, "ready");
        let ready_path = r
            .or(ENTRY, "ready-path", UrlPath(DEFAULT_READY_PATH.into()))
            .0;
        let port: Option<u32> = r.required(ENTRY, "port");
        let seeds = r.list(ENTRY, "seeds");
        let ttl = r.or(ENTRY, "ttl", DEFAULT_TTL);
        let spread: u32 = r.or(ENTRY, "spread", DEFAULT_SPREAD);
        let retry = read_retry(r);
        let probes = r.or(PROBE, "per-second", DEFAULT_PROBES);
        let place = r.optional(PLACE, "listen");
        let max_dispatched: u32 = r.or(PLACE, "instances", DEFAULT_MAX_DISPATCHED);
        let parts = r.or(PLACE, "parts", false);
        let relay = r.optional(RELAY, "port");
        let keys = read_keys(r);
        let stop = read_stop(r);
        let crossing = r.or(COST, "crossing", 0);
        let cold = read_cold(r);
        let quota = read_quota(r);
        let returning = r.or(QUEUE, "returning", false);
        let bounds = bounds::Settings::read(r, REQUIREMENTS);
        let telemetry = telemetry::Settings::read(r);
        let max_port = u32::from(u16::MAX - HUB_PORT_OFFSET);
        if let Some(port) = port.filter(|p| *p > max_port) {
            let problem = Problem::Form(port.to_string());
            r.fault(
                ENTRY,
                "port",
                problem,
                "a port followed by two more valid ports",
            );
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
            max_dispatched: usize::try_from(max_dispatched).unwrap_or(usize::MAX),
            parts,
            relay,
            keys,
            stop,
            crossing,
            cold,
            quota,
            returning,
            bounds,
            telemetry,
        })
    }

    /// What callers and peers may occupy.
    #[must_use]
    pub fn client_limits(&self) -> bounds::Limits {
        self.bounds.limits(REQUIREMENTS)
    }

    /// The budgets shared by `entries` processes.
    #[must_use]
    pub fn shared_budgets(&self, entries: u32) -> SharedBudgets {
        SharedBudgets {
            retry: self.retry,
            probes: self.probes,
            entries,
        }
    }

    /// The cost of a megabyte sent between failure domains, in units of a request's value.
    #[must_use]
    pub fn crossing(&self) -> f64 {
        f64::from(self.crossing) / 1000.0
    }

    /// The address at which the hub at `ip` serves entry processes.
    #[must_use]
    pub fn hub_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + HUB_PORT_OFFSET)
    }
}

fn read_retry(r: &mut Reader) -> Retry {
    let defaults = Retry::default();
    let retry = Retry {
        percent: r.or(RETRY, "percent", defaults.percent),
        base: r.or(RETRY, "base", defaults.base),
        window: r.or(RETRY, "window", defaults.window),
    };
    if retry.window.is_zero() {
        r.fault(RETRY, "window", Problem::Form("0ms".into()), "over 0");
    }
    retry
}

fn read_keys(r: &mut Reader) -> Keys {
    let defaults = Keys::default();
    let keys = Keys {
        fail_closed: r.or(KEYS, "fail-closed", defaults.fail_closed),
        confirm: r.or(KEYS, "confirm", defaults.confirm),
    };
    if keys.confirm.is_zero() {
        r.fault(KEYS, "confirm", Problem::Form("0ms".into()), "over 0");
    }
    keys
}

fn read_cold(r: &mut Reader) -> ColdBound {
    let defaults = ColdBound::default();
    let limit = ColdBound {
        overshoot: r.or(COLD, "overshoot", Decimal(defaults.overshoot)).0,
        slack: r.or(COLD, "slack", defaults.slack),
    };
    if limit.overshoot < defaults.overshoot {
        let problem = Problem::Form(Decimal(limit.overshoot).to_string());
        r.fault(COLD, "overshoot", problem, "1 or more");
    }
    limit
}

fn read_quota(r: &mut Reader) -> QuotaSettings {
    let defaults = Bound::default();
    let mut domains: Vec<DomainName> = r.list(QUOTA, "domains");
    domains.sort();
    domains.dedup();
    let bound = Bound {
        window: r.or(QUOTA, "window", defaults.window),
        overshoot: r.or(QUOTA, "overshoot", Decimal(defaults.overshoot)).0,
        slack: r.or(QUOTA, "slack", defaults.slack),
    };
    if bound.window.is_zero() {
        r.fault(QUOTA, "window", Problem::Form("0ms".into()), "over 0");
    }
    QuotaSettings { domains, bound }
}

fn read_stop(r: &mut Reader) -> Stop {
    let defaults = Stop::default();
    let grace = r.or(STOP, "grace", defaults.grace);
    let linger = r.or(STOP, "linger", defaults.linger.min(grace * 5 / 12));
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
        writeln!(f, "instances = {}", self.max_dispatched)?;
        writeln!(f, "parts = {}", if self.parts { "yes" } else { "no" })?;
        if let Some(port) = self.relay {
            writeln!(f, "\n[{RELAY}]")?;
            writeln!(f, "port = {port}")?;
        }
        let fail_closed = if self.keys.fail_closed { "yes" } else { "no" };
        writeln!(f, "\n[{KEYS}]")?;
        writeln!(f, "fail-closed = {fail_closed}")?;
        writeln!(f, "confirm = {}", duration_text(self.keys.confirm))?;
        writeln!(f, "\n[{STOP}]")?;
        writeln!(f, "linger = {}", duration_text(self.stop.linger))?;
        writeln!(f, "grace = {}", duration_text(self.stop.grace))?;
        writeln!(f, "\n[{COST}]")?;
        writeln!(f, "crossing = {}", self.crossing)?;
        writeln!(f, "\n[{COLD}]")?;
        writeln!(f, "overshoot = {}", Decimal(self.cold.overshoot))?;
        writeln!(f, "slack = {}", self.cold.slack)?;
        writeln!(f, "\n[{QUOTA}]")?;
        if !self.quota.domains.is_empty() {
            let domains: Vec<String> = self.quota.domains.iter().map(ToString::to_string).collect();
            writeln!(f, "domains = {}", domains.join(", "))?;
        }
        writeln!(f, "window = {}", duration_text(self.quota.bound.window))?;
        writeln!(f, "overshoot = {}", Decimal(self.quota.bound.overshoot))?;
        writeln!(f, "slack = {}", self.quota.bound.slack)?;
        writeln!(f, "\n[{QUEUE}]")?;
        let returning = if self.returning { "yes" } else { "no" };
        writeln!(f, "returning = {returning}")?;
        write!(f, "\n{}", self.bounds)?;
        write!(f, "\n{}", self.telemetry)
    }
}
