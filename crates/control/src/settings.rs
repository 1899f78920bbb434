//! Settings of a control replica.

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

/// Maximum number of replicas in a founding group.
pub const MAX_INITIAL: usize = 7;
/// Permitted segment sizes in bytes.
const SEGMENT_BYTES: std::ops::RangeInclusive<u64> = 64 * 1024..=64 * 1024 * 1024;

/// Addresses of the replica and of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The address that this process binds for other replicas.
    pub listen: SocketAddr,
    /// The address that is published to other replicas.
    pub address: SocketAddr,
    /// Published addresses of the founding group, including this replica; empty for a
    /// replica that joins later.
    pub initial: Vec<SocketAddr>,
    /// The acceptance rule of the founding group.
    pub acceptance: Acceptance,
    /// Replicas that a replica without a group asks to join; empty where only operators
    /// change the membership.
    pub seeds: Vec<SocketAddr>,
}

/// Timeouts and intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum election timeout.
    pub election: Duration,
    /// Time limit for a change, claim or settlement, including retries.
    pub ask: Duration,
    /// Time limit of a graceful stop for the leadership transfer, and again for open requests.
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

/// Size limits of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Size of a log segment.
    pub segment: Bytes,
    /// Log size above which a snapshot is taken.
    pub snapshot: Bytes,
    /// Maximum number of commands per write.
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

/// All settings of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the host.
    pub region: RegionName,
    /// The data folder, used by this process alone.
    pub data: PathBuf,
    /// The address for directories, gateways and operators.
    pub rpc: SocketAddr,
    /// Addresses of the replica and of its group.
    pub replica: Replica,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Size limits of the log.
    pub sizes: Sizes,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// Default settings on loopback with free ports.
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
    /// Fails with all faults of the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads all keys of `reader`.
    ///
    /// # Errors
    ///
    /// Fails with all faults found by the reader.
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
            unreachable!("Reader::finish fails when a required key is missing")
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
    let acceptance = r
        .or(
            REPLICA,
            "acceptance",
            AcceptanceValue(Acceptance::default()),
        )
        .0;
    let seeds = r.list(REPLICA, "seeds");
    let count = initial.len();
    initial.sort_unstable();
    initial.dedup();
    if initial.len() < count || count > MAX_INITIAL {
        let form = "at most 7 different addresses";
        r.fault(REPLICA, "initial", Problem::Form(count.to_string()), form);
    }
    if let Some(own_address) = address
        && !initial.is_empty()
        && !initial.contains(&own_address)
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
    let defaults = Timing::default();
    let timing = Timing {
        heartbeat: r.or(TIMING, "heartbeat", defaults.heartbeat),
        election: r.or(TIMING, "election", defaults.election),
        ask: r.or(TIMING, "ask", defaults.ask),
        stop: r.or(TIMING, "stop", defaults.stop),
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
    let defaults = Sizes::default();
    let sizes = Sizes {
        segment: r.or(STORE, "segment", defaults.segment),
        snapshot: r.or(STORE, "snapshot", defaults.snapshot),
        group: r.or(STORE, "group", defaults.group),
    };
    if !SEGMENT_BYTES.contains(&sizes.segment.0) {
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

/// The acceptance rule as a setting value.
struct AcceptanceValue(Acceptance);

impl conf::Value for AcceptanceValue {
    const FORM: &'static str = "majority or every-region";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |duration: Duration| format!("{}ms", duration.as_millis());
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
