//! Control replicas, directories and gateways in one process on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use control::Control;
use directory::Directory;
use gateway::Gateway;
use members::Instance;
use members::Phase;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::catalogue::Change;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::catalogue::change_reply;
use wire::catalogue::edit;
use wire::link;
use wire::peer;

use crate::relay;
use crate::relay::Traffic;

const DOMAINS: [&str; 3] = ["milano", "torino", "genova"];
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// All processes of a run.
pub struct Fleet {
    /// Directories, one per host.
    pub directories: Vec<Directory>,
    /// Gateways, one per host or none.
    pub gateways: Vec<Gateway>,
    /// Traffic between directories.
    pub peers: Arc<Traffic>,
    /// Traffic between directories and control replicas.
    pub follow: Arc<Traffic>,
    replicas: Vec<Control>,
    folder: PathBuf,
}

/// Configuration of a run.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of hosts that reach no control replica.
    pub cut: usize,
    /// Whether to start a gateway on each host.
    pub gateways: bool,
    /// Whether to count traffic by relays.
    pub counted: bool,
}

impl Fleet {
    /// Starts all processes and waits until every host is ready.
    pub async fn start(plan: Plan) -> Self {
        let folder = std::env::temp_dir().join(format!("rwr-spread-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let mut settings = control::group::local(&folder, 3).expect("names");
        let log = telemetry::log::silent();
        let replicas = control::group::start(&mut settings, &log)
            .await
            .expect("control starts");
        let mut fleet = Self {
            directories: Vec::new(),
            gateways: Vec::new(),
            peers: Arc::default(),
            follow: Arc::default(),
            replicas,
            folder,
        };
        fleet.directories = fleet.start_directories(plan).await;
        if plan.gateways {
            fleet.gateways = start_gateways(&fleet.directories).await;
        }
        let sent = fleet.change(1).await;
        fleet.until_version(1, sent).await;
        fleet
    }

    async fn start_directories(&self, plan: Plan) -> Vec<Directory> {
        let mut bounds = Vec::new();
        for i in 0..plan.hosts {
            let settings = directory::Settings::local(host(i), domain(i));
            let log = telemetry::log::silent();
            let bound = directory::bind(settings, log, telemetry::metrics::silent()).await;
            bounds.push(bound.expect("a free port"));
        }
        let rpcs: Vec<SocketAddr> = bounds.iter().map(directory::Bound::rpc).collect();
        let control: Vec<SocketAddr> = self.replicas.iter().map(Control::rpc).collect();
        for (i, bound) in bounds.iter_mut().enumerate() {
            let others: Vec<SocketAddr> = rpcs.iter().copied().filter(|a| *a != rpcs[i]).collect();
            let reached = if i < plan.cut {
                Vec::new()
            } else {
                rotated(&control, i)
            };
            bound.set_peers(self.through_relays(plan, others, &self.peers).await);
            bound.set_control(self.through_relays(plan, reached, &self.follow).await);
        }
        bounds
            .into_iter()
            .map(|b| b.serve().expect("serves"))
            .collect()
    }

    async fn through_relays(
        &self,
        plan: Plan,
        targets: Vec<SocketAddr>,
        traffic: &Arc<Traffic>,
    ) -> Vec<SocketAddr> {
        if !plan.counted {
            return targets;
        }
        let mut relays = Vec::new();
        for target in targets {
            relays.push(relay::start(target, traffic.clone()).await);
        }
        relays
    }

    /// Proposes the change to `version` until it is accepted; returns when it was first sent.
    pub async fn change(&self, version: u64) -> Instant {
        let sent = Instant::now();
        let edits = (0..130)
            .filter(|i| version == 1 || *i == version % 130)
            .map(edit_of);
        let change = Change {
            id: format!("change-{version}"),
            base: version - 1,
            author: "spread".into(),
            edits: edits.collect(),
        };
        let address = self.replicas[0].rpc();
        let links = peer::control(address);
        for _ in 0..200 {
            let client = links.client().await.expect("control answers");
            let reply = client
                .propose(link::within(Duration::from_secs(5)), change.clone())
                .await;
            if let Ok(Some(change_reply::Kind::Accepted(_))) = reply.map(|r| r.kind) {
                return sent;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("change {version} wasn't accepted");
    }

    /// Waits until every host has `version` in force; returns the delay of each since `started_at`.
    pub async fn until_version(&self, version: u64, started_at: Instant) -> Vec<Duration> {
        let mut times = vec![None; self.directories.len()];
        while times.iter().any(Option::is_none) {
            for (i, time) in times.iter_mut().enumerate() {
                if time.is_none() && self.version(i) >= version {
                    *time = Some(started_at.elapsed());
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        times.into_iter().flatten().collect()
    }

    /// The version in force on a host, as seen by its gateway if there is one.
    fn version(&self, i: usize) -> u64 {
        if let Some(gateway) = self.gateways.get(i) {
            return gateway.core().view().version();
        }
        let now = self.directories[i].shared().clock.now();
        self.directories[i].shared().step(|inner, _| {
            let current = inner.freshness.is_current(now);
            if current { inner.version() } else { 0 }
        })
    }

    /// Announces `count` instances, spread over the directories, until aborted.
    pub fn announce(&self, count: usize, restarts: Duration) -> tokio::task::JoinHandle<()> {
        let shared: Vec<_> = self
            .directories
            .iter()
            .map(|d| d.shared().clone())
            .collect();
        tokio::spawn(async move {
            let mut restarted = 0;
            let mut next_restart = Instant::now() + restarts;
            for sequence in 1.. {
                if !restarts.is_zero() && Instant::now() >= next_restart {
                    restarted += 1;
                    next_restart += restarts;
                }
                for i in 0..count {
                    let times = (restarted + count - i) / count.max(1);
                    let announcement =
                        instance(i, u64::try_from(times).unwrap_or_default(), sequence);
                    let home = &shared[i % shared.len()];
                    let _ = home.step(|inner, now| inner.members.announce(announcement, now));
                }
                sleep(Duration::from_millis(500)).await;
            }
        })
    }

    /// Waits until every directory shows `count` instances.
    pub async fn until_instances(&self, count: usize) {
        let seen = |d: &Directory| d.shared().step(|inner, _| inner.members.instances().len());
        while self.directories.iter().any(|d| seen(d) != count) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Announces instance `i` once, to one directory.
    pub fn announce_once(&self, i: usize, phase: Phase, sequence: u64) -> Instant {
        let announcement = Instance {
            phase,
            ..instance(i, 0, sequence)
        };
        let home = self.directories[i % self.directories.len()].shared();
        let accepted = home.step(|inner, now| inner.members.announce(announcement, now));
        accepted.expect("it is newer");
        Instant::now()
    }

    /// Waits until every gateway shows instance `i` in `phase`, or not at all.
    pub async fn until_phase(&self, i: usize, phase: Option<Phase>) {
        let target = instance(i, 0, 0);
        let wanted = phase.map(|phase| match phase {
            Phase::Starting => wire::directory::Phase::Starting,
            Phase::Ready => wire::directory::Phase::Ready,
            Phase::Draining => wire::directory::Phase::Draining,
            Phase::Gone => wire::directory::Phase::Gone,
        });
        let seen = |gateway: &Gateway| {
            let view = gateway.core().view();
            let instances = view.instances(&target.service);
            instances
                .iter()
                .find(|r| r.id == target.id)
                .map(|r| r.phase)
        };
        while self.gateways.iter().any(|gateway| seen(gateway) != wanted) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Stops all processes.
    pub async fn stop(self) {
        for gateway in self.gateways {
            drop(gateway);
        }
        for directory in self.directories {
            directory.stop().await;
        }
        for replica in self.replicas {
            replica.stop().await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn start_gateways(directories: &[Directory]) -> Vec<Gateway> {
    let rpcs: Vec<SocketAddr> = directories.iter().map(Directory::rpc).collect();
    let mut gateways = Vec::new();
    for i in 0..directories.len() {
        let mut settings = gateway::settings::Settings::local(host(i), domain(i));
        settings.directories = rotated(&rpcs, i);
        let log = telemetry::log::silent();
        let gateway = gateway::start(settings, log, telemetry::metrics::silent()).await;
        gateways.push(gateway.expect("a gateway starts"));
    }
    gateways
}

fn host(i: usize) -> HostName {
    HostName::new(&format!("host-{i}")).expect("a name")
}

fn domain(i: usize) -> DomainName {
    DomainName::new(DOMAINS[i % DOMAINS.len()]).expect("a name")
}

fn rotated(addresses: &[SocketAddr], by: usize) -> Vec<SocketAddr> {
    let mut addresses = addresses.to_vec();
    let by = by % addresses.len();
    addresses.rotate_left(by);
    addresses
}

fn instance(i: usize, restarts: u64, sequence: u64) -> Instance {
    Instance {
        service: ServiceName::new(&format!("service-{}", i % 130)).expect("a name"),
        id: InstanceId::new(&format!("instance-{i}")).expect("a name"),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        domain: domain(i),
        slots: 6,
        connections: 250,
        phase: Phase::Ready,
        incarnation: 1 + restarts,
        sequence,
    }
}

fn edit_of(i: u64) -> Edit {
    let entry = Entry {
        service: format!("service-{i}"),
        owner: "owner".into(),
        class: Class::Urgent.into(),
        limits: Some(Limits {
            concurrency: 100,
            queue: 100,
            deadline_ms: 1000,
            body_bytes: 65536,
            retry_percent: 10,
            probe_millis: 1000,
        }),
    };
    Edit {
        kind: Some(edit::Kind::Put(entry)),
    }
}
