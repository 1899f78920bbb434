//! Control replicas and entry hosts as processes, on free loopback ports.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::name::NameError;
use base::prelude::*;
use testutils::Operator;
use testutils::services;
use tokio::time::sleep;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;
use wire::control::Role;

use crate::fault::MeasureError;
use crate::fields;
use crate::process::Process;
use crate::relay;
use crate::relay::ByteCounter;

/// Number of services in the catalogue.
pub const SERVICES: usize = 130;
/// Number of registered gateways, which share the probe budgets.
pub const REGISTERED: usize = 15;
/// Probe budget of one instance over all gateways, in thousandths of a probe per second.
pub const PROBES: u32 = 1_000;
/// Probe budget at which one gateway's share is one probe per second.
pub const MANY_PROBES: u32 = 15_000;
/// Interval between checks for a leader.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Loopback address with a port chosen by the system.
pub const FREE_PORT: &str = "127.0.0.1:0";
/// Maximum number of concurrent requests of one service at one gateway.
const CONCURRENCY: u32 = 4_096;

/// Number of replica groups started, which numbers their data folders.
static GROUPS: AtomicU32 = AtomicU32::new(0);

/// A group of control replicas.
pub struct Replicas {
    /// Processes of the replicas.
    pub processes: Vec<Process>,
    /// Addresses for directories, gateways and operators.
    pub rpc: Vec<SocketAddr>,
    /// An operator of the replicas.
    pub operator: Operator,
    /// Bytes exchanged between replicas.
    pub bytes: ByteCounter,
    listen: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Replicas {
    /// Starts `count` replicas with empty folders and waits for a leader.
    ///
    /// # Errors
    ///
    /// Fails if a replica can't start.
    pub async fn start(count: usize) -> Result<Self, MeasureError> {
        let number = GROUPS.fetch_add(1, Ordering::Relaxed);
        let name = format!("rwr-slopes-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let mut all = Self {
            processes: vec![],
            rpc: vec![],
            operator: Operator::new(&[]),
            bytes: ByteCounter::default(),
            listen: vec![],
            relays: vec![],
            folder,
        };
        for index in 0..count {
            let mut process = all.spawn(index, FREE_PORT, FREE_PORT)?;
            let bound = process.read_line().await?;
            all.processes.push(process);
            all.rpc.push(bound.address("rpc")?);
            let listen = bound.address("replica")?;
            all.listen.push(listen);
            all.relays
                .push(relay::start(listen, all.bytes.clone()).await?);
        }
        all.operator = Operator::new(&all.rpc);
        all.bootstrap().await?;
        all.leader().await;
        Ok(all)
    }

    fn spawn(&self, index: usize, rpc: &str, listen: &str) -> Result<Process, MeasureError> {
        let data = self.folder.join(index.to_string());
        let data = data.to_string_lossy();
        Process::start(&["control", &data, &index.to_string(), rpc, listen])
    }

    async fn bootstrap(&mut self) -> Result<(), MeasureError> {
        let initial = fields::join(&self.relays);
        for (process, relay) in self.processes.iter_mut().zip(&self.relays) {
            process
                .request(&format!("start address={relay} initial={initial}"))
                .await?;
        }
        Ok(())
    }

    /// Kills all replicas and starts them again with the same folders.
    ///
    /// # Errors
    ///
    /// Fails if a replica can't be killed or started.
    pub async fn restart(&mut self) -> Result<(), MeasureError> {
        for process in std::mem::take(&mut self.processes) {
            process.kill().await?;
        }
        for index in 0..self.rpc.len() {
            let rpc = self.rpc[index].to_string();
            let listen = self.listen[index].to_string();
            let mut process = self.spawn(index, &rpc, &listen)?;
            process.read_line().await?;
            self.processes.push(process);
        }
        self.bootstrap().await
    }

    /// Waits for a leader and returns its index.
    pub async fn leader(&self) -> usize {
        loop {
            for index in 0..self.rpc.len() {
                let status = self.operator.status(index).await;
                if status.is_some_and(|s| s.role() == Role::Leader) {
                    return index;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Control replicas and the directories of the entry hosts.
pub struct System {
    /// The control replicas.
    pub control: Replicas,
    /// The process of all directories.
    pub directories: Process,
    /// HTTP addresses of the directories, for upstreams and callers.
    pub directory_addresses: Vec<SocketAddr>,
    /// Bytes exchanged between directories.
    pub peer_bytes: ByteCounter,
    /// Bytes exchanged between directories and control replicas.
    pub control_bytes: ByteCounter,
    /// Current version of the catalogue.
    pub version: u64,
    rpc: Vec<SocketAddr>,
}

impl System {
    /// Starts three replicas and the directories of `hosts` entry hosts, with a catalogue
    /// whose probe budget is `probes` thousandths of a probe per second and instance.
    ///
    /// # Errors
    ///
    /// Fails if a process can't start.
    pub async fn start(hosts: usize, probes: u32) -> Result<Self, MeasureError> {
        let control = Replicas::start(3).await?;
        let mut directories = Process::start(&["directories", &hosts.to_string()])?;
        let bound = directories.read_line().await?;
        let rpc = bound.addresses("rpc")?;
        let (peer_bytes, control_bytes) = (ByteCounter::default(), ByteCounter::default());
        let to_peers = relays(&rpc, &peer_bytes).await?;
        let to_control = relays(&control.rpc, &control_bytes).await?;
        let start = format!(
            "start peers={} control={}",
            fields::join(&to_peers),
            fields::join(&to_control)
        );
        directories.request(&start).await?;
        let mut system = Self {
            control,
            directories,
            directory_addresses: bound.addresses("http")?,
            peer_bytes,
            control_bytes,
            version: 0,
            rpc,
        };
        system.bootstrap(probes).await?;
        Ok(system)
    }

    async fn bootstrap(&mut self, probes: u32) -> Result<(), MeasureError> {
        let puts = (0..SERVICES).map(|i| put_edit_with_probes(i, 0, probes));
        let hosts = (0..REGISTERED).map(|i| Edit {
            kind: Some(Kind::AddGateway(format!("host-{i}"))),
        });
        self.apply(puts.chain(hosts).collect()).await?;
        let wait = format!("version count={}", self.version);
        self.directories.request(&wait).await?;
        Ok(())
    }

    /// Applies `edits` to the current version.
    ///
    /// # Errors
    ///
    /// Fails if the change is not accepted.
    pub async fn apply(&mut self, edits: Vec<Edit>) -> Result<(), MeasureError> {
        self.version = self.control.operator.apply(self.version, edits).await?;
        Ok(())
    }

    /// Starts the gateways of `count` hosts; returns their process and their addresses for
    /// callers.
    ///
    /// # Errors
    ///
    /// Fails if their process can't start.
    pub async fn gateways(&self, count: usize) -> Result<(Process, Vec<SocketAddr>), MeasureError> {
        let mut process = Process::start(&["gateways", &count.to_string()])?;
        let start = format!(
            "start directories={} control={}",
            fields::join(&self.rpc),
            fields::join(&self.control.rpc)
        );
        let started = process.request(&start).await?;
        let wait = format!("version count={}", self.version);
        process.request(&wait).await?;
        Ok((process, started.addresses("http")?))
    }
}

/// Starts a relay to each of `targets` and returns the relays' addresses.
///
/// # Errors
///
/// Fails if a port can't be bound.
pub async fn relays(
    targets: &[SocketAddr],
    count: &ByteCounter,
) -> Result<Vec<SocketAddr>, MeasureError> {
    let mut addresses = Vec::new();
    for target in targets {
        addresses.push(relay::start(*target, count.clone()).await?);
    }
    Ok(addresses)
}

/// Name of entry host `index`.
///
/// # Errors
///
/// Fails if the name is invalid, which does not happen with the built-in names.
pub fn host_name(index: usize) -> Result<HostName, NameError> {
    HostName::new(&format!("host-{index}"))
}

/// Name of service `index`.
pub fn service_name(index: usize) -> String {
    format!("service-{:03}", index % SERVICES)
}

/// Class of service `index`; the classes alternate, starting with `Urgent` and `Once`.
pub fn class_of(index: usize) -> Class {
    match index % 4 {
        0 => Class::Urgent,
        1 => Class::Once,
        2 => Class::Durable,
        _ => Class::Deferred,
    }
}

/// Edit that sets service `index`; different values of `queue` give different entries.
pub fn put_edit(index: usize, queue: u32) -> Edit {
    put_edit_with_probes(index, queue, PROBES)
}

fn put_edit_with_probes(index: usize, queue: u32, probes: u32) -> Edit {
    let mut entry = services::entry(&service_name(index), "operations", class_of(index), probes);
    entry.limits.concurrency = CONCURRENCY;
    entry.limits.queue = CONCURRENCY + queue;
    Edit {
        kind: Some(Kind::Put(entry.to_wire())),
    }
}
