//! Settings of the bounds, and their defaults.

use std::fmt;

use conf::Problem;
use conf::Reader;
use conf::value::Bytes;
use rustix::process::Resource;
use rustix::process::getrlimit;

const BOUNDS: &str = "bounds";
const MEBI: u64 = 1024 * 1024;
/// Default of the account where the memory of the machine isn't told.
const DEFAULT_MEMORY: Bytes = Bytes(64 * MEBI);
/// Share of the descriptors that clients may use by default, in eighths. The rest is for
/// connections to instances and to other processes of the system, and for files.
const CLIENT_DESCRIPTOR_EIGHTHS: u64 = 5;
/// Descriptors that a process has at least beside its clients'.
const OTHER_DESCRIPTORS: u64 = 64;
/// Maximum of the default number of connections, where the system allows more descriptors.
const MAX_DEFAULT_CONNECTIONS: u64 = 8192;
/// Minimum number of connections.
const MIN_CONNECTIONS: u32 = 16;

/// What clients may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that are kept for all of them.
    pub memory: u64,
    /// Number of their connections.
    pub connections: usize,
}

/// What a kind of process needs of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Memory that it takes beside what it keeps for clients.
    pub own: Bytes,
    /// What it keeps for one client at most. The account can't be smaller.
    pub largest: Bytes,
}

/// Settings of the bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Memory that the process may use in total.
    pub machine: Option<Bytes>,
    /// Descriptors that the process may use in total; the system's limit if not set.
    pub descriptors: Option<u32>,
    /// Memory that is kept for clients.
    pub memory: Option<Bytes>,
    /// Number of clients' connections.
    pub connections: Option<u32>,
}

impl Settings {
    /// Reads the section. Faults are recorded in the reader.
    pub fn read(r: &mut Reader, needs: Requirements) -> Self {
        let settings = Self {
            machine: r.optional(BOUNDS, "machine"),
            descriptors: r.optional(BOUNDS, "descriptors"),
            memory: r.optional(BOUNDS, "memory"),
            connections: r.optional(BOUNDS, "connections"),
        };
        settings.check(r, needs);
        settings
    }

    fn check(&self, r: &mut Reader, needs: Requirements) {
        if self.memory.is_some_and(|memory| memory < needs.largest) {
            let problem = Problem::Form(needs.largest.to_string());
            r.fault(
                BOUNDS,
                "memory",
                problem,
                "what is kept for one client or more",
            );
        }
        let machine = self.machine.zip(self.memory);
        if machine.is_some_and(|(machine, memory)| memory >= machine) {
            let problem = Problem::Contradicts("machine");
            r.fault(BOUNDS, "memory", problem, "less than machine");
        }
        if self
            .connections
            .is_some_and(|count| count < MIN_CONNECTIONS)
        {
            let problem = Problem::Form(MIN_CONNECTIONS.to_string());
            r.fault(BOUNDS, "connections", problem, "16 or more");
        }
        let descriptors = self.descriptors.zip(self.connections);
        if descriptors.is_some_and(|(descriptors, connections)| {
            u64::from(connections) + OTHER_DESCRIPTORS > u64::from(descriptors)
        }) {
            let problem = Problem::Contradicts("descriptors");
            r.fault(
                BOUNDS,
                "connections",
                problem,
                "descriptors less 64 at most",
            );
        }
    }

    /// The limits, with defaults for what isn't set.
    #[must_use]
    pub fn limits(&self, needs: Requirements) -> Limits {
        Limits {
            memory: self.memory.unwrap_or_else(|| self.default_memory(needs)).0,
            connections: self.connections.map_or_else(
                || self.default_connections(),
                |count| usize::try_from(count).unwrap_or(usize::MAX),
            ),
        }
    }

    /// What the process doesn't need of the machine's memory itself, and what is kept for one client
    /// at least.
    fn default_memory(&self, needs: Requirements) -> Bytes {
        let Some(machine) = self.machine else {
            return DEFAULT_MEMORY.max(needs.largest);
        };
        Bytes(machine.0.saturating_sub(needs.own.0)).max(needs.largest)
    }

    fn default_connections(&self) -> usize {
        let descriptors = self.descriptors.map_or_else(system_descriptors, u64::from);
        let share = descriptors * CLIENT_DESCRIPTOR_EIGHTHS / 8;
        let count = share.clamp(u64::from(MIN_CONNECTIONS), MAX_DEFAULT_CONNECTIONS);
        usize::try_from(count).unwrap_or(usize::MAX)
    }
}

/// The number of descriptors that the system allows this process.
fn system_descriptors() -> u64 {
    getrlimit(Resource::Nofile)
        .current
        .unwrap_or(MAX_DEFAULT_CONNECTIONS * 2)
        .min(MAX_DEFAULT_CONNECTIONS * 2)
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{BOUNDS}]")?;
        if let Some(machine) = self.machine {
            writeln!(f, "machine = {machine}")?;
        }
        if let Some(descriptors) = self.descriptors {
            writeln!(f, "descriptors = {descriptors}")?;
        }
        if let Some(memory) = self.memory {
            writeln!(f, "memory = {memory}")?;
        }
        if let Some(connections) = self.connections {
            writeln!(f, "connections = {connections}")?;
        }
        Ok(())
    }
}
