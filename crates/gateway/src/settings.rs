//! Settings of a gateway, read from an INI file.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;

/// Minimum size limit of a request's head, required by the HTTP library.
pub const MIN_HEAD: u64 = 8 * 1024;
/// Maximum of the setting for answers that are kept, which go into frames of other processes.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the callers' port.
    pub http: SocketAddr,
    /// Address of the operators' port.
    pub rpc: SocketAddr,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
    /// Addresses of the directories, the local one first.
    pub directories: Vec<SocketAddr>,
    /// Addresses of the control replicas, which serve the ledger.
    pub control: Vec<SocketAddr>,
    /// Lease and poll times.
    pub lease: Lease,
    /// Limits on what callers may use.
    pub bounds: Bounds,
    /// Times of a graceful stop.
    pub stop: StopTimes,
}

/// Lease and poll times.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Age of the last confirmation from which on the gateway is fenced.
    pub length: Duration,
    /// Maximum time that a directory may wait for updates before it replies.
    pub poll: Duration,
}

/// Limits on what callers may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of callers' connections.
    pub connections: u32,
    /// Maximum number of concurrent streams per HTTP/2 connection.
    pub streams: u32,
    /// Maximum size of a request's head.
    pub head: Bytes,
    /// Maximum number of running calls over all services.
    pub running: u32,
    /// Maximum number of queued calls over all services.
    pub queue: u32,
    /// Timeout for receiving a request's head, also for the next one on an idle connection.
    pub head_time: Duration,
    /// Timeout for a caller that reads nothing of its response.
    pub write_time: Duration,
    /// Maximum deadline that a caller may request.
    pub deadline: Duration,
    /// Maximum size of a request body that is buffered for retries.
    pub replay: Bytes,
    /// Memory for callers: their connections, requests and buffered bodies.
    pub memory: Bytes,
    /// Maximum size of a response body that the ledger stores.
    pub answer: Bytes,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// Time that the gateway keeps serving after it has announced the stop.
    pub linger: Duration,
    /// Maximum time that requests in flight may take after that.
    pub finish: Duration,
}

impl Settings {
    /// Default settings for `host` in `domain` on free loopback ports, for tests and
    /// simulations.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName) -> Self {
        Self {
            host,
            domain,
            http: SocketAddr::from(([127, 0, 0, 1], 0)),
            rpc: SocketAddr::from(([127, 0, 0, 1], 0)),
            telemetry: telemetry::Settings::default(),
            directories: Vec::new(),
            control: Vec::new(),
            lease: Lease::default(),
            bounds: Bounds::default(),
            stop: StopTimes::default(),
        }
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file together.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads the settings from `reader`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file together.
    pub fn read(mut reader: Reader) -> Result<Self, ConfError> {
        let r = &mut reader;
        let host = r.required("gateway", "host");
        let domain = r.required("gateway", "domain");
        let http = r.required("gateway", "http");
        let rpc = r.required("gateway", "rpc");
        let telemetry = telemetry::Settings::read(r);
        let directories = list(r, "directory", "addresses");
        let control = list(r, "control", "replicas");
        let lease = Lease::read(r);
        let bounds = Bounds::read(r);
        let stop = StopTimes::read(r);
        reader.finish()?;
        let (Some(host), Some(domain), Some(http), Some(rpc)) = (host, domain, http, rpc) else {
            unreachable!("missing required keys are reported as faults by `finish`");
        };
        Ok(Self {
            host,
            domain,
            http,
            rpc,
            telemetry,
            directories,
            control,
            lease,
            bounds,
            stop,
        })
    }
}

impl Lease {
    fn read(r: &mut Reader) -> Self {
        let default = Self::default();
        let lease = Self {
            length: r.or("lease", "length", default.length),
            poll: r.or("lease", "poll", default.poll),
        };
        if lease.poll.is_zero() || lease.poll * 2 > lease.length {
            let problem = Problem::Contradicts("length");
            r.fault(
                "lease",
                "poll",
                problem,
                "more than 0 and at most half of length",
            );
        }
        lease
    }
}

impl Bounds {
    fn read(r: &mut Reader) -> Self {
        let default = Self::default();
        let bounds = Self {
            connections: r.or("bounds", "connections", default.connections),
            streams: r.or("bounds", "streams", default.streams),
            head: r.or("bounds", "head", default.head),
            running: r.or("bounds", "running", default.running),
            queue: r.or("bounds", "queue", default.queue),
            head_time: r.or("bounds", "head_time", default.head_time),
            write_time: r.or("bounds", "write_time", default.write_time),
            deadline: r.or("bounds", "deadline", default.deadline),
            replay: r.or("bounds", "replay", default.replay),
            memory: r.or("bounds", "memory", default.memory),
            answer: r.or("bounds", "answer", default.answer),
        };
        bounds.check(r);
        bounds
    }

    fn check(&self, r: &mut Reader) {
        if self.head.0 < MIN_HEAD {
            let problem = Problem::Form(self.head.to_text());
            r.fault("bounds", "head", problem, "at least 8KiB");
        }
        if self.memory < self.replay {
            let problem = Problem::Contradicts("replay");
            r.fault("bounds", "memory", problem, "at least replay");
        }
        if self.answer.0 > MAX_ANSWER_BYTES {
            let problem = Problem::Form(self.answer.to_text());
            r.fault("bounds", "answer", problem, "at most 1MiB");
        }
    }
}

impl StopTimes {
    fn read(r: &mut Reader) -> Self {
        let default = Self::default();
        Self {
            linger: r.or("stop", "linger", default.linger),
            finish: r.or("stop", "finish", default.finish),
        }
    }
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(3),
            poll: Duration::from_millis(500),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams: 128,
            head: Bytes(32 * 1024),
            running: 1024,
            queue: 4096,
            head_time: Duration::from_secs(10),
            write_time: Duration::from_secs(30),
            deadline: Duration::from_mins(10),
            replay: Bytes(64 * 1024),
            memory: Bytes(128 * 1024 * 1024),
            answer: Bytes(64 * 1024),
        }
    }
}

impl Default for StopTimes {
    fn default() -> Self {
        Self {
            linger: Duration::from_secs(7),
            finish: Duration::from_mins(10),
        }
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[gateway]")?;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "http = {}", self.http)?;
        writeln!(f, "rpc = {}", self.rpc)?;
        writeln!(f, "\n[directory]")?;
        writeln!(f, "addresses = {}", joined(&self.directories))?;
        writeln!(f, "\n[control]")?;
        writeln!(f, "replicas = {}", joined(&self.control))?;
        self.write_times(f)?;
        self.write_bounds(f)?;
        write!(f, "\n{}", self.telemetry)
    }
}

impl Settings {
    fn write_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n[lease]")?;
        writeln!(f, "length = {}", self.lease.length.to_text())?;
        writeln!(f, "poll = {}", self.lease.poll.to_text())?;
        writeln!(f, "\n[stop]")?;
        writeln!(f, "linger = {}", self.stop.linger.to_text())?;
        writeln!(f, "finish = {}", self.stop.finish.to_text())
    }

    fn write_bounds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let b = &self.bounds;
        writeln!(f, "\n[bounds]")?;
        writeln!(f, "connections = {}", b.connections)?;
        writeln!(f, "streams = {}", b.streams)?;
        writeln!(f, "head = {}", b.head.to_text())?;
        writeln!(f, "running = {}", b.running)?;
        writeln!(f, "queue = {}", b.queue)?;
        writeln!(f, "head_time = {}", b.head_time.to_text())?;
        writeln!(f, "write_time = {}", b.write_time.to_text())?;
        writeln!(f, "deadline = {}", b.deadline.to_text())?;
        writeln!(f, "replay = {}", b.replay.to_text())?;
        writeln!(f, "memory = {}", b.memory.to_text())?;
        writeln!(f, "answer = {}", b.answer.to_text())
    }
}

/// Formats a value so that it can be read again.
trait ToText {
    fn to_text(&self) -> String;
}

impl ToText for Duration {
    fn to_text(&self) -> String {
        format!("{}ms", self.as_millis())
    }
}

impl ToText for Bytes {
    fn to_text(&self) -> String {
        format!("{}B", self.0)
    }
}

fn list(r: &mut Reader, section: &str, key: &str) -> Vec<SocketAddr> {
    let addresses: Vec<SocketAddr> = r.list(section, key);
    if addresses.is_empty() {
        r.fault(section, key, Problem::Missing, "IP:port apart by commas");
    }
    addresses
}

fn joined(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}
