//! Settings of the daemon.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::prelude::*;
use bounds::Requirements;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use members::Limits;
use place::Spread;

const DIRECTORY: &str = "directory";
const CONTROL: &str = "control";
const LEASES: &str = "leases";
const ANSWERS: &str = "answers";

/// Memory for what clients send, beside that for the records of instances and hosts.
const REQUIREMENTS: Requirements = Requirements {
    own: Bytes(32 * 1024 * 1024),
    largest: Bytes(1024 * 1024),
};

/// Leases and related intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leases {
    /// Lease of an instance or a host.
    pub lease: Duration,
    /// Interval at which an instance announces itself.
    pub refresh: Duration,
    /// How long another directory's records count after it was last seen alive.
    pub home: Duration,
    /// How long a confirmation of the catalogue is valid.
    pub confirmation: Duration,
    /// Interval of exchanges with other directories.
    pub exchange: Duration,
    /// Maximum number of records leased by this directory.
    pub records: u32,
}

impl Default for Leases {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1500),
            refresh: Duration::from_millis(500),
            home: Duration::from_secs(3),
            confirmation: Duration::from_secs(3),
            exchange: Duration::from_millis(250),
            records: 8192,
        }
    }
}

/// Answers to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answers {
    /// How long a caller may cache an answer.
    pub keep: Duration,
    /// How services are spread over the entry hosts.
    pub spread: Spread,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(5),
            spread: Spread::default(),
        }
    }
}

/// All settings of one directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Host on which the directory runs.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// HTTP address for upstreams and callers.
    pub http: SocketAddr,
    /// `tarpc` address for gateways, directories and operators.
    pub rpc: SocketAddr,
    /// Other directories' `rpc` addresses.
    pub peers: Vec<SocketAddr>,
    /// Addresses of the control replicas, nearest first.
    pub control: Vec<SocketAddr>,
    /// Leases.
    pub leases: Leases,
    /// Answers to callers.
    pub answers: Answers,
    /// What callers and upstreams may occupy.
    pub bounds: bounds::Settings,
    /// Timeout of a graceful stop.
    pub stop: Duration,
    /// Log and metrics.
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// Default settings for a directory on loopback with ephemeral ports.
    #[must_use]
    pub fn local(host: HostName, domain: DomainName) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host,
            domain,
            http: free,
            rpc: free,
            peers: Vec::new(),
            control: Vec::new(),
            leases: Leases::default(),
            answers: Answers::default(),
            bounds: bounds::Settings::default(),
            stop: Duration::from_secs(5),
            telemetry: telemetry::Settings::default(),
        }
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with every error in the file.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        Self::read(Reader::open(path)?)
    }

    /// Reads all settings from `reader`.
    ///
    /// # Errors
    ///
    /// Fails with every error found.
    pub fn read(mut reader: Reader) -> Result<Self, ConfError> {
        let r = &mut reader;
        let host = r.required(DIRECTORY, "host");
        let domain = r.required(DIRECTORY, "domain");
        let http = r.required(DIRECTORY, "http");
        let rpc = r.required(DIRECTORY, "rpc");
        let peers = r.list(DIRECTORY, "peers");
        let stop = r.or(DIRECTORY, "stop", Duration::from_secs(5));
        let control = read_control(r);
        let leases = read_leases(r);
        let answers = read_answers(r);
        let bounds = bounds::Settings::read(r, REQUIREMENTS);
        let telemetry = telemetry::Settings::read(r);
        let parts = host.zip(domain).zip(http.zip(rpc));
        reader.finish()?;
        let Some(((host, domain), (http, rpc))) = parts else {
            unreachable!("a required key that is missing is a fault of its own")
        };
        Ok(Self {
            host,
            domain,
            http,
            rpc,
            peers,
            control,
            leases,
            answers,
            bounds,
            stop,
            telemetry,
        })
    }

    /// What callers and upstreams may occupy.
    #[must_use]
    pub fn client_limits(&self) -> bounds::Limits {
        self.bounds.limits(REQUIREMENTS)
    }

    /// Limits of the membership.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits {
            lease: self.leases.lease,
            home_lease: self.leases.home,
            max_records: usize::try_from(self.leases.records).unwrap_or(usize::MAX),
            ..Limits::default()
        }
    }
}

fn read_control(r: &mut Reader) -> Vec<SocketAddr> {
    let replicas: Vec<SocketAddr> = r.list(CONTROL, "replicas");
    if replicas.is_empty() {
        let form = "IP:port of each control replica, separated by commas";
        r.fault(CONTROL, "replicas", Problem::Missing, form);
    }
    replicas
}

fn read_leases(r: &mut Reader) -> Leases {
    let default = Leases::default();
    let leases = Leases {
        lease: r.or(LEASES, "lease", default.lease),
        refresh: r.or(LEASES, "refresh", default.refresh),
        home: r.or(LEASES, "home", default.home),
        confirmation: r.or(LEASES, "confirmation", default.confirmation),
        exchange: r.or(LEASES, "exchange", default.exchange),
        records: r.or(LEASES, "records", default.records),
    };
    if leases.refresh.is_zero() || leases.refresh * 2 > leases.lease {
        let form = "at most half of lease, so that one announcement may be lost";
        r.fault(LEASES, "refresh", Problem::Contradicts("lease"), form);
    }
    if leases.exchange.is_zero() || leases.exchange * 4 > leases.home {
        let form = "at most a quarter of home";
        r.fault(LEASES, "exchange", Problem::Contradicts("home"), form);
    }
    if leases.home > max_gossip_age() {
        let form = "at most 5s, the greatest age that exchanges can carry";
        r.fault(
            LEASES,
            "home",
            Problem::Form(format_duration(leases.home)),
            form,
        );
    }
    if leases.confirmation < Duration::from_secs(1) {
        let form = "at least 1s, twice the longest poll";
        r.fault(
            LEASES,
            "confirmation",
            Problem::Form(format_duration(leases.confirmation)),
            form,
        );
    }
    leases
}

fn max_gossip_age() -> Duration {
    members::gossip::AGE_STEP * u32::from(members::gossip::AGE_UNKNOWN - 1)
}

fn read_answers(r: &mut Reader) -> Answers {
    let default = Answers::default();
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let min_gateways = r.or(ANSWERS, "gateways", count(default.spread.min_gateways));
    let slack = conf::value::Percent(default.spread.slack_percent);
    let answers = Answers {
        keep: r.or(ANSWERS, "keep", default.keep),
        spread: Spread {
            min_gateways: usize::try_from(min_gateways).unwrap_or(usize::MAX),
            slots_per_gateway: r.or(ANSWERS, "slots", default.spread.slots_per_gateway),
            slack_percent: r.or(ANSWERS, "slack", slack).0,
        },
    };
    if min_gateways == 0 {
        let form = "whole number from 1";
        r.fault(ANSWERS, "gateways", Problem::Form("0".into()), form);
    }
    if answers.spread.slots_per_gateway == 0 {
        let form = "whole number from 1";
        r.fault(ANSWERS, "slots", Problem::Form("0".into()), form);
    }
    answers
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{DIRECTORY}]")?;
        writeln!(f, "host = {}", self.host)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "http = {}", self.http)?;
        writeln!(f, "rpc = {}", self.rpc)?;
        writeln!(f, "peers = {}", join(&self.peers))?;
        writeln!(f, "stop = {}", format_duration(self.stop))?;
        writeln!(f, "\n[{CONTROL}]")?;
        writeln!(f, "replicas = {}", join(&self.control))?;
        writeln!(f, "\n[{LEASES}]")?;
        writeln!(f, "lease = {}", format_duration(self.leases.lease))?;
        writeln!(f, "refresh = {}", format_duration(self.leases.refresh))?;
        writeln!(f, "home = {}", format_duration(self.leases.home))?;
        writeln!(
            f,
            "confirmation = {}",
            format_duration(self.leases.confirmation)
        )?;
        writeln!(f, "exchange = {}", format_duration(self.leases.exchange))?;
        writeln!(f, "records = {}", self.leases.records)?;
        writeln!(f, "\n[{ANSWERS}]")?;
        writeln!(f, "keep = {}", format_duration(self.answers.keep))?;
        writeln!(f, "gateways = {}", self.answers.spread.min_gateways)?;
        writeln!(f, "slots = {}", self.answers.spread.slots_per_gateway)?;
        writeln!(f, "slack = {}%", self.answers.spread.slack_percent)?;
        write!(f, "\n{}", self.bounds)?;
        write!(f, "\n{}", self.telemetry)
    }
}

fn join(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

fn format_duration(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}
