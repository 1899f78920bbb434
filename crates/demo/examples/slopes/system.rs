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

use crate::fault::Fault;
use crate::fields;
use crate::process::Process;
use crate::relay;
use crate::relay::Count;

/// Services of the letter's target.
pub const SERVICES: usize = 130;
/// Gateways that share the measuring budgets.
pub const REGISTERED: usize = 15;
/// Probes a second that one instance takes from all gateways, in thousandths.
pub const PROBES: u32 = 1_000;
/// So many that one gateway's share is one probe a second.
pub const MANY_PROBES: u32 = 15_000;
/// Between two looks at who leads.
const LOOK: Duration = Duration::from_millis(20);
/// An address with a free port.
pub const FREE: &str = "127.0.0.1:0";
/// Requests of one service that may run at one gateway.
const CONCURRENCY: u32 = 4_096;

/// Groups of replicas started so far, as each has a folder of its own.
static GROUPS: AtomicU32 = AtomicU32::new(0);

/// The control replicas.
pub struct Replicas {
    /// Their processes.
    pub processes: Vec<Process>,
    /// Where directories, gateways and operators connect.
    pub rpc: Vec<SocketAddr>,
    /// An operator.
    pub operator: Operator,
    /// Bytes between replicas.
    pub bytes: Count,
    listen: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Replicas {
    /// Starts `count` replicas with empty folders, and waits for a leader.
    ///
    /// # Errors
    ///
    /// Fails when one can't start.
    pub async fn start(count: usize) -> Result<Self, Fault> {
        let number = GROUPS.fetch_add(1, Ordering::Relaxed);
        let name = format!("rwr-slopes-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let mut all = Self {
            processes: vec![],
            rpc: vec![],
            operator: Operator::new(&[]),
            bytes: Count::default(),
            listen: vec![],
            relays: vec![],
            folder,
        };
        for index in 0..count {
            let mut process = all.spawn(index, FREE, FREE)?;
            let bound = process.hear().await?;
            all.processes.push(process);
            all.rpc.push(bound.address("rpc")?);
            let listen = bound.address("replica")?;
            all.listen.push(listen);
            all.relays
                .push(relay::start(listen, all.bytes.clone()).await?);
        }
        all.operator = Operator::new(&all.rpc);
        all.found().await?;
        all.leader().await;
        Ok(all)
    }

    fn spawn(&self, index: usize, rpc: &str, listen: &str) -> Result<Process, Fault> {
        let data = self.folder.join(index.to_string());
        let data = data.to_string_lossy();
        Process::start(&["control", &data, &index.to_string(), rpc, listen])
    }

    async fn found(&mut self) -> Result<(), Fault> {
        let initial = fields::join(&self.relays);
        for (process, relay) in self.processes.iter_mut().zip(&self.relays) {
            process
                .ask(&format!("start address={relay} initial={initial}"))
                .await?;
        }
        Ok(())
    }

    /// Kills all at once and starts them again with the same folders.
    ///
    /// # Errors
    ///
    /// Fails when one can't be killed or started.
    pub async fn restart(&mut self) -> Result<(), Fault> {
        for process in std::mem::take(&mut self.processes) {
            process.kill().await?;
        }
        for index in 0..self.rpc.len() {
            let rpc = self.rpc[index].to_string();
            let listen = self.listen[index].to_string();
            let mut process = self.spawn(index, &rpc, &listen)?;
            process.hear().await?;
            self.processes.push(process);
        }
        self.found().await
    }

    /// The index of the leader, as soon as there is one.
    pub async fn leader(&self) -> usize {
        loop {
            for index in 0..self.rpc.len() {
                let status = self.operator.status(index).await;
                if status.is_some_and(|s| s.role() == Role::Leader) {
                    return index;
                }
            }
            sleep(LOOK).await;
        }
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The control replicas and the entry hosts.
pub struct System {
    /// Control.
    pub control: Replicas,
    /// The directories of all hosts.
    pub directories: Process,
    /// Where each directory answers upstreams and callers.
    pub asks: Vec<SocketAddr>,
    /// Bytes between directories.
    pub peers: Count,
    /// Bytes between directories and control.
    pub follow: Count,
    /// The catalogue's version.
    pub version: u64,
    rpc: Vec<SocketAddr>,
}

impl System {
    /// Starts three replicas and the directories of `hosts` entry hosts, with a
    /// catalogue whose instances take `probes` thousandths of a probe a second.
    ///
    /// # Errors
    ///
    /// Fails when a process can't start.
    pub async fn start(hosts: usize, probes: u32) -> Result<Self, Fault> {
        let control = Replicas::start(3).await?;
        let mut directories = Process::start(&["directories", &hosts.to_string()])?;
        let bound = directories.hear().await?;
        let rpc = bound.addresses("rpc")?;
        let (peers, follow) = (Count::default(), Count::default());
        let to_peers = relays(&rpc, &peers).await?;
        let to_control = relays(&control.rpc, &follow).await?;
        let start = format!(
            "start peers={} control={}",
            fields::join(&to_peers),
            fields::join(&to_control)
        );
        directories.ask(&start).await?;
        let mut system = Self {
            control,
            directories,
            asks: bound.addresses("http")?,
            peers,
            follow,
            version: 0,
            rpc,
        };
        system.found(probes).await?;
        Ok(system)
    }

    async fn found(&mut self, probes: u32) -> Result<(), Fault> {
        let puts = (0..SERVICES).map(|i| put_probed(i, 0, probes));
        let hosts = (0..REGISTERED).map(|i| Edit {
            kind: Some(Kind::AddGateway(format!("host-{i}"))),
        });
        self.apply(puts.chain(hosts).collect()).await?;
        let wait = format!("version count={}", self.version);
        self.directories.ask(&wait).await?;
        Ok(())
    }

    /// Applies `edits` on top of the current version.
    ///
    /// # Errors
    ///
    /// Fails when the change isn't accepted.
    pub async fn apply(&mut self, edits: Vec<Edit>) -> Result<(), Fault> {
        self.version = self.control.operator.apply(self.version, edits).await?;
        Ok(())
    }

    /// Starts the gateways of `count` hosts; they and where callers connect.
    ///
    /// # Errors
    ///
    /// Fails when their process can't start.
    pub async fn gateways(&self, count: usize) -> Result<(Process, Vec<SocketAddr>), Fault> {
        let mut process = Process::start(&["gateways", &count.to_string()])?;
        let start = format!(
            "start directories={} control={}",
            fields::join(&self.rpc),
            fields::join(&self.control.rpc)
        );
        let started = process.ask(&start).await?;
        let wait = format!("version count={}", self.version);
        process.ask(&wait).await?;
        Ok((process, started.addresses("http")?))
    }
}

/// Starts a relay to each of `targets`.
///
/// # Errors
///
/// Fails when a port can't be bound.
pub async fn relays(targets: &[SocketAddr], count: &Count) -> Result<Vec<SocketAddr>, Fault> {
    let mut found = Vec::new();
    for target in targets {
        found.push(relay::start(*target, count.clone()).await?);
    }
    Ok(found)
}

/// The name of the entry host number `index`.
///
/// # Errors
///
/// Never with the names that are built in.
pub fn host_name(index: usize) -> Result<HostName, NameError> {
    HostName::new(&format!("host-{index}"))
}

/// The name of the service number `index`.
pub fn service_name(index: usize) -> String {
    format!("service-{:03}", index % SERVICES)
}

/// The class of the service number `index`: the second of each four is class once.
pub fn class_of(index: usize) -> Class {
    match index % 4 {
        0 => Class::Urgent,
        1 => Class::Once,
        2 => Class::Durable,
        _ => Class::Deferred,
    }
}

/// An edit of the service number `index`; `queue` makes it another one.
pub fn put(index: usize, queue: u32) -> Edit {
    put_probed(index, queue, PROBES)
}

fn put_probed(index: usize, queue: u32, probes: u32) -> Edit {
    let mut entry = services::entry(&service_name(index), "operations", class_of(index), probes);
    entry.limits.concurrency = CONCURRENCY;
    entry.limits.queue = CONCURRENCY + queue;
    Edit {
        kind: Some(Kind::Put(entry.to_wire())),
    }
}
