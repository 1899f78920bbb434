//! Settings of one gateway, read from an INI file.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;

/// Least bound of a request's head, as the HTTP library needs it.
pub const LEAST_HEAD: u64 = 8 * 1024;

/// All settings of one gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub host: HostName,
    /// The machine's failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where operators connect.
    pub rpc: SocketAddr,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
    /// The directories, the own host's first.
    pub directories: Vec<SocketAddr>,
    /// The control replicas, for claims.
    pub control: Vec<SocketAddr>,
    /// Times of the lease and of the poll.
    pub lease: Lease,
    /// Bounds of what callers may take.
    pub bounds: Bounds,
    /// Times of a graceful stop.
    pub stop: StopTimes,
}

/// Times of the gateway's lease.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Oldest confirmation that still lets the gateway take work.
    pub length: Duration,
    /// How long a directory may hold a poll.
    pub poll: Duration,
}

/// Bounds of what callers may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections of callers.
    pub connections: u32,
    /// Requests in flight on one HTTP/2 connection.
    pub streams: u32,
    /// Size of a request's head.
    pub head: Bytes,
    /// Calls that run at once, over all services.
    pub running: u32,
    /// Calls that wait, over all services.
    pub queue: u32,
    /// Time for a request's head, and for the next one on a kept connection.
    pub head_time: Duration,
    /// Time in which a caller takes nothing of its answer.
    pub write_time: Duration,
    /// Longest deadline that a caller may name.
    pub deadline: Duration,
    /// Size of a request body up to which it is kept for a retry.
    pub replay: Bytes,
    /// Size of all request bodies kept at once.
    pub memory: Bytes,
    /// Size of an answer up to which the ledger keeps it.
    pub answer: Bytes,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// How long the gateway serves on after it told the directory.
    pub linger: Duration,
    /// How long requests in flight may take after that.
    pub finish: Duration,
}

impl Settings {
    /// Settings for `host` in `domain` on free loopback ports, for tests and trials.
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

    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the file at once.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads all keys from `reader`.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the file at once.
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
            unreachable!("a missing key is a fault, which ended the reading");
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
        let preset = Self::default();
        let lease = Self {
            length: r.or("lease", "length", preset.length),
            poll: r.or("lease", "poll", preset.poll),
        };
        if lease.poll.is_zero() || lease.poll * 2 > lease.length {
            let problem = Problem::Contradicts("length");
            r.fault("lease", "poll", problem, "over 0, at most half of length");
        }
        lease
    }
}

impl Bounds {
    fn read(r: &mut Reader) -> Self {
        let preset = Self::default();
        let bounds = Self {
            connections: r.or("bounds", "connections", preset.connections),
            streams: r.or("bounds", "streams", preset.streams),
            head: r.or("bounds", "head", preset.head),
            running: r.or("bounds", "running", preset.running),
            queue: r.or("bounds", "queue", preset.queue),
            head_time: r.or("bounds", "head_time", preset.head_time),
            write_time: r.or("bounds", "write_time", preset.write_time),
            deadline: r.or("bounds", "deadline", preset.deadline),
            replay: r.or("bounds", "replay", preset.replay),
            memory: r.or("bounds", "memory", preset.memory),
            answer: r.or("bounds", "answer", preset.answer),
        };
        bounds.check(r);
        bounds
    }

    fn check(&self, r: &mut Reader) {
        if self.head.0 < LEAST_HEAD {
            let problem = Problem::Form(self.head.to_text());
            r.fault("bounds", "head", problem, "at least 8KiB");
        }
        if self.memory < self.replay {
            let problem = Problem::Contradicts("replay");
            r.fault("bounds", "memory", problem, "at least replay");
        }
        if self.answer.0 > wire::link::MAX_FRAME as u64 / 4 {
            let problem = Problem::Form(self.answer.to_text());
            r.fault("bounds", "answer", problem, "at most 1MiB");
        }
    }
}

impl StopTimes {
    fn read(r: &mut Reader) -> Self {
        let preset = Self::default();
        Self {
            linger: r.or("stop", "linger", preset.linger),
            finish: r.or("stop", "finish", preset.finish),
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
            memory: Bytes(64 * 1024 * 1024),
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

/// Writes a value in the form that its key is read in.
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
    let found: Vec<SocketAddr> = r.list(section, key);
    if found.is_empty() {
        r.fault(section, key, Problem::Missing, "IP:port apart by commas");
    }
    found
}

fn joined(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
