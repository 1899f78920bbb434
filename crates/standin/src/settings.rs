//! Settings of a stand-in, read from INI.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use conf::value::Percent;
use conf::value::log_level::Level;

const MAIN: &str = "standin";
const DIRECTORY: &str = "directory";
const LOG: &str = "log";

/// Settings of one stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to announce; the listening address if not set.
    pub announced: Option<SocketAddr>,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Name of the instance within the service.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Number of requests that are processed at once.
    pub slots: u32,
    /// Connection limit to announce.
    pub connections: u32,
    /// Maximum number of requests that wait for a slot; more are shed.
    pub queue: u32,
    /// Mean service time.
    pub time: Duration,
    /// Maximum random deviation of each service time, up or down.
    pub jitter: Percent,
    /// Mean time between two changes of the level of all service times; zero for none.
    pub shift: Duration,
    /// Maximum deviation of the level, up or down.
    pub swing: Percent,
    /// Number of slow requests after a start.
    pub cold: u32,
    /// Factor on the service time of these slow requests.
    pub cold_factor: u32,
    /// Time that a probe holds a slot.
    pub probe: Duration,
    /// Size of the body of an archive response.
    pub archive: Bytes,
    /// Whether a request is cancelled when its connection closes.
    pub cancel: bool,
    /// Seed of the random service times.
    pub seed: u64,
    /// Requests for this path or a path below it crash the instance.
    pub crash: Option<PathBuf>,
    /// Minimum time for which a graceful stop announces `draining`.
    pub drain: Duration,
    /// Directories to send announcements to.
    pub directories: Vec<SocketAddr>,
    /// Minimum log level.
    pub level: Level,
}

impl Settings {
    /// Default settings, listening on a free loopback port.
    #[must_use]
    pub fn new(service: ServiceName, instance: InstanceId, domain: DomainName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced: None,
            service,
            instance,
            domain,
            slots: 6,
            connections: 250,
            queue: 64,
            time: Duration::from_millis(8),
            jitter: Percent(30),
            shift: Duration::from_millis(20),
            swing: Percent(40),
            cold: 0,
            cold_factor: 3,
            probe: Duration::ZERO,
            archive: Bytes(256 * 1024),
            cancel: true,
            seed: 1,
            crash: None,
            drain: Duration::from_secs(3),
            directories: Vec::new(),
            level: Level::Info,
        }
    }

    /// Reads the settings from `reader`.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the file.
    pub fn read(mut reader: Reader) -> Result<Self, ConfError> {
        let r = &mut reader;
        let service = r.required(MAIN, "service");
        let instance = r.required(MAIN, "instance");
        let domain = r.required(MAIN, "domain");
        let listen = r.required(MAIN, "listen");
        let settings = match (service, instance, domain, listen) {
            (Some(service), Some(instance), Some(domain), Some(listen)) => {
                let mut settings = Self::new(service, instance, domain);
                settings.listen = listen;
                Some(settings)
            }
            _ => None,
        };
        // The other keys are read in any case, so that all problems are reported.
        let unnamed = || Self::new(unnamed_service(), unnamed_instance(), unnamed_domain());
        let mut settings = settings.unwrap_or_else(unnamed);
        settings.read_service(r);
        settings.read_other(r);
        reader.finish()?;
        Ok(settings)
    }

    fn read_service(&mut self, r: &mut Reader) {
        self.announced = r.optional(MAIN, "announced");
        self.slots = r.or(MAIN, "slots", self.slots);
        if self.slots == 0 {
            let problem = Problem::Form("0".into());
            r.fault(MAIN, "slots", problem, "whole number from 1");
        }
        self.connections = r.or(MAIN, "connections", self.connections);
        self.queue = r.or(MAIN, "queue", self.queue);
        self.time = r.or(MAIN, "time", self.time);
        self.jitter = r.or(MAIN, "jitter", self.jitter);
        self.shift = r.or(MAIN, "shift", self.shift);
        self.swing = r.or(MAIN, "swing", self.swing);
        self.cold = r.or(MAIN, "cold", self.cold);
        self.cold_factor = r.or(MAIN, "cold_factor", self.cold_factor);
        self.probe = r.or(MAIN, "probe", self.probe);
    }

    fn read_other(&mut self, r: &mut Reader) {
        self.archive = r.or(MAIN, "archive", self.archive);
        self.cancel = r.or(MAIN, "cancel", self.cancel);
        self.seed = r.or(MAIN, "seed", self.seed);
        self.crash = r.optional(MAIN, "crash");
        self.drain = r.or(MAIN, "drain", self.drain);
        self.directories = r.list(DIRECTORY, "addresses");
        self.level = r.or(LOG, "level", self.level);
    }
}

fn unnamed_service() -> ServiceName {
    ServiceName::new("unnamed").expect("a valid name")
}

fn unnamed_instance() -> InstanceId {
    InstanceId::new("unnamed").expect("a valid name")
}

fn unnamed_domain() -> DomainName {
    DomainName::new("unnamed").expect("a valid name")
}

/// Prints the effective settings as INI that [`Settings::read`] accepts.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{MAIN}]")?;
        writeln!(f, "listen = {}", self.listen)?;
        if let Some(announced) = self.announced {
            writeln!(f, "announced = {announced}")?;
        }
        writeln!(f, "service = {}", self.service)?;
        writeln!(f, "instance = {}", self.instance)?;
        writeln!(f, "domain = {}", self.domain)?;
        writeln!(f, "slots = {}", self.slots)?;
        writeln!(f, "connections = {}", self.connections)?;
        writeln!(f, "queue = {}", self.queue)?;
        writeln!(f, "time = {}ms", self.time.as_millis())?;
        writeln!(f, "jitter = {}%", self.jitter.0)?;
        writeln!(f, "shift = {}ms", self.shift.as_millis())?;
        writeln!(f, "swing = {}%", self.swing.0)?;
        writeln!(f, "cold = {}", self.cold)?;
        writeln!(f, "cold_factor = {}", self.cold_factor)?;
        writeln!(f, "probe = {}ms", self.probe.as_millis())?;
        writeln!(f, "archive = {}B", self.archive.0)?;
        writeln!(f, "cancel = {}", if self.cancel { "yes" } else { "no" })?;
        writeln!(f, "seed = {}", self.seed)?;
        if let Some(crash) = &self.crash {
            writeln!(f, "crash = {}", crash.display())?;
        }
        writeln!(f, "drain = {}ms", self.drain.as_millis())?;
        writeln!(f, "\n[{DIRECTORY}]")?;
        let addresses: Vec<String> = self.directories.iter().map(ToString::to_string).collect();
        writeln!(f, "addresses = {}", addresses.join(", "))?;
        writeln!(f, "\n[{LOG}]")?;
        writeln!(f, "level = {}", self.level)
    }
}
