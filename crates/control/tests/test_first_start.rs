//! A first start that is disturbed: replicas are killed and lose power or a disk before the group is
//! founded, and settings name the initial replicas only the first time.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::Client;
use common::POLL_INTERVAL;
use common::TIMEOUT;
use common::change;
use common::folder;
use control::Control;
use control::Settings;
use control::bind;
use control::group;
use control::link;
use control::partition::Partition;
use futures::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::MemoryDisk;
use testutils::Host;
use wire::control::Replica;
use wire::replica::Found;
use wire::replica::Group;

/// Names further seeds, as a range such as `0..50`.
const SEEDS_VARIABLE: &str = "RWR_FIRST_START_SEEDS";
/// Ports of a replica on its host.
const REPLICA_PORT: u16 = 7010;
const RPC_PORT: u16 = 7011;
/// Time within which the replicas of a random schedule are disturbed.
const DISTURBED_MILLIS: u64 = 700;

/// What ends a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its process is killed.
    Kill,
    /// Its host loses power, and all that isn't synced.
    PowerLoss,
    /// Its host loses its disk.
    DiskLoss,
}

/// A replica that is started again and again.
struct Machine {
    settings: Settings,
    disk: MemoryDisk,
    was_started: bool,
    running: Option<Control>,
}

impl Machine {
    /// Starts the replica; its settings name the initial replicas only the first time.
    async fn start(&mut self) {
        let mut settings = self.settings.clone();
        if self.was_started {
            settings.replica.initial.clear();
        }
        self.was_started = true;
        let bound = bind(&settings).await.expect("binds");
        let disk = Box::new(self.disk.clone());
        let started = bound.start(settings, disk, telemetry::log::silent()).await;
        self.running = Some(started.expect("starts"));
    }

    async fn end(&mut self, end: End) {
        if let Some(mut running) = self.running.take() {
            running.kill().await;
        }
        match end {
            End::Kill => {}
            End::PowerLoss => self.disk.crash(),
            End::DiskLoss => self.disk = MemoryDisk::default(),
        }
    }

    fn id(&self) -> u64 {
        self.running.as_ref().expect("it runs").id()
    }

    fn client(&self) -> Client {
        Client::new(self.settings.rpc)
    }

    fn address(&self) -> SocketAddr {
        self.settings.replica.address
    }
}

/// Three replicas on hosts of their own, the one with the lowest address first.
struct System {
    machines: Vec<Machine>,
    _hosts: Vec<Host>,
}

impl System {
    fn new(name: &str) -> Self {
        let mut hosts: Vec<Host> = (0..3).map(|_| Host::new()).collect();
        hosts.sort_by_key(|host| host.at(REPLICA_PORT).to_string());
        let initial: Vec<SocketAddr> = hosts.iter().map(|host| host.at(REPLICA_PORT)).collect();
        let settings = group::local(&folder(name), hosts.len()).expect("settings");
        let machines = settings
            .into_iter()
            .zip(&hosts)
            .map(|(mut settings, host)| {
                settings.rpc = host.at(RPC_PORT);
                settings.replica.listen = host.at(REPLICA_PORT);
                settings.replica.address = host.at(REPLICA_PORT);
                settings.replica.initial.clone_from(&initial);
                settings.replica.seeds.clone_from(&initial);
                Machine {
                    settings,
                    disk: MemoryDisk::default(),
                    was_started: false,
                    running: None,
                }
            });
        Self {
            machines: machines.collect(),
            _hosts: hosts,
        }
    }

    /// Waits until a change is accepted and all replicas are voters of one group.
    async fn check_founded(&self, context: &str) {
        let founded = async {
            let client = self.machines[0].client();
            client.propose_with_retry(&change("c-1", 0, "status")).await;
            while !self.is_whole().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let founded = tokio::time::timeout(TIMEOUT, founded).await;
        assert!(founded.is_ok(), "{context}: {}", self.describe().await);
    }

    /// Whether every replica has the change and the same three voters.
    async fn is_whole(&self) -> bool {
        let mut ids: Vec<u64> = self.machines.iter().map(Machine::id).collect();
        ids.sort_unstable();
        for machine in &self.machines {
            let Ok(status) = machine.client().status().await else {
                return false;
            };
            let voters = status.replicas.iter().filter(|replica| replica.voter);
            let mut voters: Vec<u64> = voters.map(|replica| replica.id).collect();
            voters.sort_unstable();
            if voters != ids || status.version != 1 {
                return false;
            }
        }
        true
    }

    async fn describe(&self) -> String {
        let statuses = self.machines.iter().map(|machine| async {
            let status = machine.client().status().await;
            format!("{} {status:?}", machine.address())
        });
        join_all(statuses).await.join("; ")
    }
}

/// Guards against a group that is never founded as one of its replicas, killed before, comes back
/// with settings that name no initial replicas.
#[tokio::test]
async fn test_first_start_survives_the_end_of_a_replica() {
    let cases = [0, 1, 2]
        .into_iter()
        .flat_map(|victim| [End::Kill, End::PowerLoss, End::DiskLoss].map(|end| (victim, end)));
    let runs = cases.map(|(victim, end)| async move {
        let mut system = System::new(&format!("first-start-{victim}-{end:?}"));
        let machine = &mut system.machines[victim];
        machine.start().await;
        machine.end(end).await;
        for machine in &mut system.machines {
            machine.start().await;
        }
        system.check_founded(&format!("{victim} {end:?}")).await;
    });
    join_all(runs).await;
}

/// Guards against a group that is never founded as all of its replicas were killed before.
#[tokio::test]
async fn test_first_start_survives_the_end_of_all_replicas() {
    let mut system = System::new("first-start-all");
    for machine in &mut system.machines {
        machine.start().await;
        machine.end(End::PowerLoss).await;
    }
    for machine in &mut system.machines {
        machine.start().await;
    }
    system.check_founded("all ended").await;
}

/// Guards against members that wait for ever for the founding group, as the replica that founded it
/// lost its disk after it had sent it to one of them.
#[tokio::test]
async fn test_first_start_group_outlives_the_disk_of_its_founder() {
    let mut system = System::new("first-start-founder");
    let (first, others) = system.machines.split_at_mut(1);
    for machine in others.iter_mut() {
        machine.start().await;
    }
    let member = |id, machine: &Machine| Replica {
        id,
        address: machine.address().to_string(),
        domain: machine.settings.domain.to_string(),
        region: machine.settings.region.to_string(),
        voter: true,
    };
    let replicas = vec![
        member(7, &first[0]),
        member(others[0].id(), &others[0]),
        member(others[1].id(), &others[1]),
    ];
    let request = Found {
        to: others[0].id(),
        group: Some(Group {
            replicas,
            acceptance: 1,
            evicted: vec![],
        }),
    };
    let link = link::replica(others[0].address());
    let taken = link::found(&link, &Partition::default(), request, TIMEOUT).await;
    assert!(taken.expect("answers"));
    first[0].was_started = true;
    first[0].start().await;
    system.check_founded("founder without a disk").await;
}

/// Guards against a group that a replica without a disk founds while another initial replica doesn't
/// answer.
#[tokio::test]
async fn test_first_start_replica_without_disk_founds_nothing_alone() {
    let mut system = System::new("first-start-alone");
    system.machines[1].start().await;
    system.machines[2].start().await;
    system.machines[2].end(End::Kill).await;
    system.machines[0].was_started = true;
    system.machines[0].start().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for machine in &system.machines[..2] {
        let status = machine.client().status().await.expect("answers");
        assert!(status.replicas.is_empty(), "founded without the third");
    }
    system.machines[2].start().await;
    system.check_founded("all answer").await;
}

/// Guards against a group that isn't founded, or founded twice, after any order of ends and starts of
/// its replicas, of which one may lose its disk.
#[tokio::test]
async fn test_first_start_survives_random_schedules() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "0..12".into());
    let (from, to) = seeds.split_once("..").expect("a range");
    let seeds = from.parse::<u64>().expect("a seed")..to.parse().expect("a seed");
    let seeds: Vec<u64> = seeds.collect();
    for batch in seeds.chunks(6) {
        join_all(batch.iter().map(|seed| run_schedule(*seed))).await;
    }
}

async fn run_schedule(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut system = System::new(&format!("first-start-seed-{seed}"));
    // A disk is lost at most once: a second loss may take an acknowledged change with it.
    let loses_disk: usize = random.random_range(0..4);
    let schedules: Vec<u64> = system.machines.iter().map(|_| random.random()).collect();
    let runs = system.machines.iter_mut().zip(schedules).enumerate();
    let runs = runs.map(|(number, (machine, seed))| disturb(machine, seed, number == loses_disk));
    join_all(runs).await;
    system.check_founded(&format!("seed {seed}")).await;
}

/// Starts the replica, ends it at random moments and starts it again each time.
async fn disturb(machine: &mut Machine, seed: u64, loses_disk: bool) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut pause = |limit| Duration::from_millis(random.random_range(0..limit));
    tokio::time::sleep(pause(300)).await;
    machine.start().await;
    let ends = [
        (loses_disk, End::DiskLoss),
        (seed.is_multiple_of(2), End::Kill),
        (seed.is_multiple_of(3), End::PowerLoss),
    ];
    for (_, end) in ends.into_iter().filter(|(happens, _)| *happens) {
        tokio::time::sleep(pause(DISTURBED_MILLIS / 2)).await;
        machine.end(end).await;
        tokio::time::sleep(pause(DISTURBED_MILLIS / 2)).await;
        machine.start().await;
    }
}
