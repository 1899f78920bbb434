//! Settings of one hub, typed and checked.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use conf::value::duration_text;
use control::settings::Timing;

const HUB: &str = "hub";

/// Between two heartbeats of the log's leader. A quarter of the election
/// timeout at most; more would cost processor time for a faster election than
/// operators wait for.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Shortest election timeout; an operator waits a second for one answer, and an
/// election takes up to twice this.
const ELECTION: Duration = Duration::from_millis(400);
/// How long a change is tried for: operators go to the next hub after a second.
const ASK: Duration = Duration::from_millis(900);
/// How long a graceful stop waits for what is open.
const STOP: Duration = Duration::from_millis(1_500);
/// Bytes of entries after which a snapshot is taken. A restart reads what came
/// since; a table of 400 routes has 100 KB, and a hub of 0.15 core takes 0.3 s
/// for 3 MB.
const SNAPSHOT: Bytes = Bytes(256 * 1024);
/// Bytes of one segment of the log; whole ones are dropped after a snapshot.
const SEGMENT: Bytes = Bytes(256 * 1024);
/// How long callers may keep a list of entry hosts, by default.
const TTL: Duration = Duration::from_secs(2);
/// How long an instance counts as heard after an announcement, by default: three
/// announcements that come every 1.5 s, and half a second for the last.
const LEASE: Duration = Duration::from_secs(5);
/// Entry hosts that a caller is told at least, by default: one may be lost, and one
/// may be stopping.
const SPREAD: u32 = 3;
/// First port of a local hub.
const PORT: u16 = 7010;
/// Region of a local hub.
const REGION: &str = "local";
/// Ports that one hub takes, from the first on.
const PORTS: u16 = 2;

/// All settings of one hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// The data folder, of this process alone.
    pub data: PathBuf,
    /// The host's address.
    pub address: IpAddr,
    /// The first of the ports for traffic between the system's processes; the
    /// same on every host.
    pub port: u16,
    /// Where upstreams announce themselves and callers ask for entry hosts; none
    /// where another process takes these calls.
    pub http: Option<SocketAddr>,
    /// Hosts that run hubs; of each only the address counts, not the port.
    pub seeds: Vec<SocketAddr>,
    /// The seeds found a new system, this hub among them.
    pub found: bool,
    /// How long callers may keep a list of entry hosts.
    pub ttl: Duration,
    /// Entry hosts that a caller is told where its failure domain has fewer.
    pub spread: usize,
    /// How long an instance counts as heard after an announcement.
    pub lease: Duration,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// A hub at `address` that founds no system and knows no other, with every default.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName, data: PathBuf, address: IpAddr) -> Self {
        Self {
            host,
            domain,
            region: RegionName::new(REGION).unwrap_or_else(|_| unreachable!("a valid name")),
            data,
            address,
            port: PORT,
            http: None,
            seeds: Vec::new(),
            found: false,
            ttl: TTL,
            spread: SPREAD as usize,
            lease: LEASE,
            telemetry: telemetry::Settings::default(),
        }
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        let mut reader = Reader::open(path)?;
        let settings = Self::take(&mut reader);
        reader.finish()?;
        Ok(settings.unwrap_or_else(|| unreachable!("what is missing is a fault of its own")))
    }

    /// Reads its own sections; faults are noted in the reader.
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
        let ttl = r.or(HUB, "ttl", TTL);
        let spread: u32 = r.or(HUB, "spread", SPREAD);
        let lease = r.or(HUB, "lease", LEASE);
        let telemetry = telemetry::Settings::read(r);
        let last = u32::from(u16::MAX - PORTS);
        if let Some(port) = port.filter(|p| *p > last) {
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
            telemetry,
        })
    }

    /// Whether nothing differs that only a new start takes over.
    #[must_use]
    pub fn is_fixed_same(&self, other: &Self) -> bool {
        let fixed = Self {
            seeds: self.seeds.clone(),
            found: self.found,
            ttl: self.ttl,
            ..other.clone()
        };
        *self == fixed
    }

    /// Where the hub at `ip` serves entry processes, hubs and operators.
    #[must_use]
    pub fn hub_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + 2)
    }

    /// Where the replica at `ip` takes messages of the replicated log.
    #[must_use]
    pub fn replica_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }

    /// The settings of the control replica within.
    #[must_use]
    pub fn control(&self) -> control::Settings {
        let own = self.replica_at(self.address);
        let mut seeds: Vec<SocketAddr> =
            self.seeds.iter().map(|s| self.replica_at(s.ip())).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let founds = self.found && seeds.contains(&own);
        let mut settings = control::Settings::local(
            self.host.clone(),
            self.domain.clone(),
            self.region.clone(),
            self.data.clone(),
        );
        settings.rpc = SocketAddr::new(self.address, self.port + 1);
        settings.replica.listen = own;
        settings.replica.address = own;
        settings.replica.initial = if founds { seeds.clone() } else { Vec::new() };
        settings.replica.seeds = seeds;
        settings.timing = Timing {
            heartbeat: HEARTBEAT,
            election: ELECTION,
            ask: ASK,
            stop: STOP,
        };
        settings.sizes.snapshot = SNAPSHOT;
        settings.sizes.segment = SEGMENT;
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
        write!(f, "\n{}", self.telemetry)
    }
}
