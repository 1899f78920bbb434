//! Settings of one control replica, typed and checked.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use consensus::Acceptance;

const CONTROL: &str = "control";
const REPLICA: &str = "replica";
const TIMING: &str = "timing";
const STORE: &str = "store";

/// Most replicas of a founding group.
pub const MAX_INITIAL: usize = 7;
/// The least and the most bytes of a segment.
const SEGMENT: std::ops::RangeInclusive<u64> = 64 * 1024..=64 * 1024 * 1024;

/// What the other replicas need to know, and the founding group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Where other replicas connect, as this process binds it.
    pub listen: SocketAddr,
    /// The same as others see it.
    pub address: SocketAddr,
    /// The published addresses of the founding group, this one included; empty for a joiner.
    pub initial: Vec<SocketAddr>,
    /// The founding group's rule of acceptance.
    pub acceptance: Acceptance,
    /// Replicas that a replica without a group asks to be taken in; empty where
    /// only operators change the group.
    pub seeds: Vec<SocketAddr>,
}

/// Times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// The shortest election timeout.
    pub election: Duration,
    /// How long a change, claim or settlement is tried for.
    pub ask: Duration,
    /// How long a graceful stop waits for what is open.
    pub stop: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            election: Duration::from_millis(500),
            ask: Duration::from_secs(3),
            stop: Duration::from_secs(2),
        }
    }
}

/// Sizes on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Bytes of one segment of the log.
    pub segment: Bytes,
    /// Bytes of entries after which a snapshot is taken.
    pub snapshot: Bytes,
    /// Most commands that share one sync.
    pub group: u32,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            segment: Bytes(4 * 1024 * 1024),
            snapshot: Bytes(8 * 1024 * 1024),
            group: 4096,
        }
    }
}

/// All settings of one control replica.
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
    /// Where directories, gateways and operators connect.
    pub rpc: SocketAddr,
    /// The group.
    pub replica: Replica,
    /// Times.
    pub timing: Timing,
    /// Sizes on disk.
    pub sizes: Sizes,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// Settings on loopback with free ports, the rest as by default.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName, region: RegionName, data: PathBuf) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host,
            domain,
            region,
            data,
            rpc: free,
            replica: Replica {
                listen: free,
                address: free,
                initial: Vec::new(),
                acceptance: Acceptance::default(),
                seeds: Vec::new(),
            },
            timing: Timing::default(),
            sizes: Sizes::default(),
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
        let r = &mut reader;
        let host = r.required(CONTROL, "host");
        let domain = r.required(CONTROL, "domain");
        let region = r.required(CONTROL, "region");
        let data = r.required(CONTROL, "data");
        let rpc = r.required(CONTROL, "rpc");
        let replica = read_replica(r);
        let timing = read_timing(r);
        let sizes = read_sizes(r);
        let telemetry = telemetry::Settings::read(r);
        let names = host.zip(domain).zip(region);
        let parts = names.zip(data.zip(rpc)).zip(replica);
        reader.finish()?;
        let Some(((((host, domain), region), (data, rpc)), replica)) = parts else {
            unreachable!("a required key that is missing is a fault of its own")
        };
        Ok(Self {
            host,
            domain,
            region,
            data,
            rpc,
            replica,
            timing,
            sizes,
            telemetry,
        })
    }
}

fn read_replica(r: &mut Reader) -> Option<Replica> {
    let listen = r.required(REPLICA, "listen");
    let address = r.required(REPLICA, "address");
    let mut initial: Vec<SocketAddr> = r.list(REPLICA, "initial");
    let acceptance = r.or(REPLICA, "acceptance", Rule(Acceptance::default())).0;
    let seeds = r.list(REPLICA, "seeds");
    let count = initial.len();
    initial.sort_unstable();
    initial.dedup();
    if initial.len() < count || count > MAX_INITIAL {
        let form = "at most 7 different addresses";
        r.fault(REPLICA, "initial", Problem::Form(count.to_string()), form);
    }
    if let Some(own) = address
        && !initial.is_empty()
        && !initial.contains(&own)
    {
        let form = "the addresses of the founding group, this replica's included";
        r.fault(REPLICA, "initial", Problem::Contradicts("address"), form);
    }
    Some(Replica {
        listen: listen?,
        address: address?,
        initial,
        acceptance,
        seeds,
    })
}

fn read_timing(r: &mut Reader) -> Timing {
    let preset = Timing::default();
    let timing = Timing {
        heartbeat: r.or(TIMING, "heartbeat", preset.heartbeat),
        election: r.or(TIMING, "election", preset.election),
        ask: r.or(TIMING, "ask", preset.ask),
        stop: r.or(TIMING, "stop", preset.stop),
    };
    if timing.heartbeat.is_zero() || timing.heartbeat * 4 > timing.election {
        let form = "over 0, at most a quarter of election";
        r.fault(TIMING, "heartbeat", Problem::Contradicts("election"), form);
    }
    if timing.ask < timing.election {
        let form = "at least election";
        r.fault(TIMING, "ask", Problem::Contradicts("election"), form);
    }
    timing
}

fn read_sizes(r: &mut Reader) -> Sizes {
    let preset = Sizes::default();
    let sizes = Sizes {
        segment: r.or(STORE, "segment", preset.segment),
        snapshot: r.or(STORE, "snapshot", preset.snapshot),
        group: r.or(STORE, "group", preset.group),
    };
    if !SEGMENT.contains(&sizes.segment.0) {
        let problem = Problem::Form(sizes.segment.0.to_string());
        r.fault(STORE, "segment", problem, "64KiB to 64MiB");
    }
    if sizes.snapshot.0 < 64 * 1024 {
        let problem = Problem::Form(sizes.snapshot.0.to_string());
        r.fault(STORE, "snapshot", problem, "at least 64KiB");
    }
    if sizes.group == 0 {
        r.fault(STORE, "group", Problem::Form("0".into()), "at least 1");
    }
    sizes
}

/// The rule of acceptance as a key's value.
struct Rule(Acceptance);

impl conf::Value for Rule {
    const FORM: &'static str = "majority or every-region";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |span: Duration| format!("{}ms", span.as_millis());
        let addresses = |list: &[SocketAddr]| {
            let list: Vec<String> = list.iter().map(ToString::to_string).collect();
            list.join(", ")
        };
        writeln!(f, "[{CONTROL}]")?;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "region = {}", self.region)?;
        writeln!(f, "data = {}", self.data.display())?;
        writeln!(f, "rpc = {}", self.rpc)?;
        writeln!(f, "\n[{REPLICA}]")?;
        writeln!(f, "listen = {}", self.replica.listen)?;
        writeln!(f, "address = {}", self.replica.address)?;
        writeln!(f, "initial = {}", addresses(&self.replica.initial))?;
        writeln!(f, "acceptance = {}", self.replica.acceptance)?;
        if !self.replica.seeds.is_empty() {
            writeln!(f, "seeds = {}", addresses(&self.replica.seeds))?;
        }
        writeln!(f, "\n[{TIMING}]")?;
        writeln!(f, "heartbeat = {}", millis(self.timing.heartbeat))?;
        writeln!(f, "election = {}", millis(self.timing.election))?;
        writeln!(f, "ask = {}", millis(self.timing.ask))?;
        writeln!(f, "stop = {}", millis(self.timing.stop))?;
        writeln!(f, "\n[{STORE}]")?;
        writeln!(f, "segment = {}B", self.sizes.segment.0)?;
        writeln!(f, "snapshot = {}B", self.sizes.snapshot.0)?;
        writeln!(f, "group = {}", self.sizes.group)?;
        write!(f, "\n{}", self.telemetry)
    }
}
