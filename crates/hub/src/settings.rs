//! Typed and validated settings of a hub.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::*;
use bounds::Requirements;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use conf::value::duration_text;
use control::settings::Timing;

const HUB: &str = "hub";

/// Interval between heartbeats of the leader; at most a quarter of [`ELECTION_TIMEOUT`].
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum election timeout. An election takes up to twice this; operators wait one second for
/// an answer.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a change is retried. Operators try the next hub after one second.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a graceful shutdown waits for pending requests.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of log entries after which a snapshot is taken. A restart replays the entries since the
/// last snapshot.
const SNAPSHOT_THRESHOLD: Bytes = Bytes(256 * 1024);
/// Size of a log segment. Segments are deleted as a whole after a snapshot. A new one takes two syncs
/// besides the write's own: tables of 1,400 routes, of 300 KB each, would need one for each write.
const SEGMENT_SIZE: Bytes = Bytes(1024 * 1024);
/// Default of [`Settings::ttl`].
const DEFAULT_TTL: Duration = Duration::from_secs(2);
/// Default of [`Settings::lease`]: three announcements, one every 1.5 s, and a margin of 0.5 s.
const DEFAULT_LEASE: Duration = Duration::from_secs(5);
/// Default of [`Settings::spread`]: leaves a caller one host if one is lost and another stops.
const DEFAULT_SPREAD: u32 = 3;
/// First port of a local hub.
const DEFAULT_PORT: u16 = 7010;
/// Region of a local hub.
const DEFAULT_REGION: &str = "local";
/// Number of ports that a hub uses after its first one.
const ADDITIONAL_PORTS: u16 = 2;

/// Memory for what clients send. The hub itself needs most of its machine for a large route table,
/// which is held, encoded and replicated; one table of 24 MiB has to fit beside small requests.
const REQUIREMENTS: Requirements = Requirements {
    own: Bytes(208 * 1024 * 1024),
    largest: Bytes(28 * 1024 * 1024),
};

/// All settings of a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The host that the hub runs on.
    pub host: HostName,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The region of the host.
    pub region: RegionName,
    /// The data folder, which no other process may use.
    pub data: PathBuf,
    /// The IP address of the host.
    pub address: IpAddr,
    /// The first port for traffic between the processes of the system; the same on every host.
    pub port: u16,
    /// Address of the HTTP interface for upstreams and callers, if the hub itself serves it.
    pub http: Option<SocketAddr>,
    /// Hosts that run hubs. The ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds, including this hub, found a new system.
    pub found: bool,
    /// How long callers may cache a list of entry hosts.
    pub ttl: Duration,
    /// Minimum number of entry hosts returned to a caller; filled up from other failure domains.
    pub spread: usize,
    /// How long an instance counts as alive after an announcement.
    pub lease: Duration,
    /// What instances, callers and operators may occupy.
    pub bounds: bounds::Settings,
    /// Logging and metrics.
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// Default settings of a hub at `address` without seeds.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName, data: PathBuf, address: IpAddr) -> Self {
        Self {
            host,
            domain,
            region: RegionName::new(DEFAULT_REGION)
                .unwrap_or_else(|_| unreachable!("a valid name")),
            data,
            address,
            port: DEFAULT_PORT,
            http: None,
            seeds: Vec::new(),
            found: false,
            ttl: DEFAULT_TTL,
            spread: DEFAULT_SPREAD as usize,
            lease: DEFAULT_LEASE,
            bounds: bounds::Settings::default(),
            telemetry: telemetry::Settings::default(),
        }
    }

    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        let mut reader = Reader::open(path)?;
        let settings = Self::take(&mut reader);
        reader.finish()?;
        Ok(settings.unwrap_or_else(|| unreachable!("a missing setting is a fault of the file")))
    }

    /// Reads the sections of the hub. Returns `None` if a setting is missing or invalid; the
    /// faults are recorded in the reader.
    pub fn take(r: &mut Reader) -> Option<Self> {
        let host = r.required(HUB, "host");
        let domain = r.required(HUB, "domain");
        let region = r.required(HUB, "region");
        let data = r.required(HUB, "data");
        let address = r.required(HUB, "address");
        let port: Option<u32> = r.required(HUB, "port");
        let http = r.optional(HUB, "http");
        let seeds = r.list(HUB, "seeds");
        let found = r.or(HUB, "found", false);
        let ttl = r.or(HUB, "ttl", DEFAULT_TTL);
        let spread: u32 = r.or(HUB, "spread", DEFAULT_SPREAD);
        let lease = r.or(HUB, "lease", DEFAULT_LEASE);
        let bounds = bounds::Settings::read(r, REQUIREMENTS);
        let telemetry = telemetry::Settings::read(r);
        let max_port = u32::from(u16::MAX - ADDITIONAL_PORTS);
        if let Some(port) = port.filter(|p| *p > max_port) {
            let problem = Problem::Form(port.to_string());
            r.fault(HUB, "port", problem, "a port with two more after it");
        }
        Some(Self {
            host: host?,
            domain: domain?,
            region: region?,
            data: data?,
            address: address?,
            port: u16::try_from(port?).ok()?,
            http,
            seeds,
            found,
            ttl,
            spread: usize::try_from(spread).unwrap_or(usize::MAX),
            lease,
            bounds,
            telemetry,
        })
    }

    /// What instances, callers and operators may occupy.
    #[must_use]
    pub fn client_limits(&self) -> bounds::Limits {
        self.bounds.limits(REQUIREMENTS)
    }

    /// Whether `other` differs only in settings that take effect without a restart or that
    /// matter only at a start.
    #[must_use]
    pub fn can_reload(&self, other: &Self) -> bool {
        let reloaded = Self {
            seeds: self.seeds.clone(),
            found: self.found,
            ttl: self.ttl,
            ..other.clone()
        };
        *self == reloaded
    }

    /// The address at which the hub on `ip` serves entry processes, hubs and operators.
    #[must_use]
    pub fn hub_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + 2)
    }

    /// The address at which the replica on `ip` receives messages of the replicated log.
    #[must_use]
    pub fn replica_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }

    /// The settings of the hub's control replica.
    #[must_use]
    pub fn control(&self) -> control::Settings {
        let own = self.replica_at(self.address);
        let mut seeds: Vec<SocketAddr> =
            self.seeds.iter().map(|s| self.replica_at(s.ip())).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let is_founder = self.found && seeds.contains(&own);
        let mut settings = control::Settings::local(
            self.host.clone(),
            self.domain.clone(),
            self.region.clone(),
            self.data.clone(),
        );
        settings.rpc = SocketAddr::new(self.address, self.port + 1);
        settings.replica.listen = own;
        settings.replica.address = own;
        settings.replica.initial = if is_founder {
            seeds.clone()
        } else {
            Vec::new()
        };
        settings.replica.seeds = seeds;
        settings.timing = Timing {
            heartbeat: HEARTBEAT_INTERVAL,
            election: ELECTION_TIMEOUT,
            ask: CHANGE_TIMEOUT,
            stop: SHUTDOWN_TIMEOUT,
        };
        settings.sizes.snapshot = SNAPSHOT_THRESHOLD;
        settings.sizes.segment = SEGMENT_SIZE;
        settings.telemetry = self.telemetry;
        settings
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        writeln!(f, "[{HUB}]")?;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "region = {}", self.region)?;
        writeln!(f, "data = {}", self.data.display())?;
        writeln!(f, "address = {}", self.address)?;
        writeln!(f, "port = {}", self.port)?;
        if let Some(http) = self.http {
            writeln!(f, "http = {http}")?;
        }
        writeln!(f, "seeds = {}", seeds.join(", "))?;
        writeln!(f, "found = {}", if self.found { "yes" } else { "no" })?;
        writeln!(f, "ttl = {}", duration_text(self.ttl))?;
        writeln!(f, "spread = {}", self.spread)?;
        writeln!(f, "lease = {}", duration_text(self.lease))?;
        write!(f, "\n{}", self.bounds)?;
        write!(f, "\n{}", self.telemetry)
    }
}
