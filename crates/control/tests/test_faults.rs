//! Acknowledged changes that are lost, or damage that goes unnoticed, when a disk fails.

mod common;

use common::Client;
use common::TIMEOUT;
use common::accepted;
use common::change;
use common::clients;
use common::folder;
use common::leader;
use control::Control;
use control::ControlError;
use control::Settings;
use control::bind;
use control::driver::DriverError;
use control::group;
use store::MemoryDisk;
use store::StoreError;
use store::error::Damage;
use store::error::Operation;
use store::memory::Fault;
use wire::catalogue::change_reply::Kind;

/// Upper limit on the changes sent; the disk is full before.
const MAX_CHANGES: u64 = 5_000;
const FIRST_SEGMENT: &str = "log-00000000000000000001";

async fn start_on(settings: &mut Settings, disk: &MemoryDisk) -> Result<Control, ControlError> {
    let bound = bind(settings).await.expect("binds");
    settings.replica.listen = bound.replica();
    settings.replica.address = bound.replica();
    settings.replica.initial = vec![bound.replica()];
    let log = telemetry::log::silent();
    bound
        .start(settings.clone(), Box::new(disk.clone()), log)
        .await
}

fn single_replica(name: &str) -> Settings {
    let mut settings = group::local(&folder(name), 1).expect("settings").remove(0);
    settings.timing.ask = std::time::Duration::from_secs(1);
    settings
}

/// Waits until the replica stops on its own and returns its error.
async fn stop_error(replica: &mut Control) -> ControlError {
    let end = tokio::time::timeout(TIMEOUT, replica.ended()).await;
    end.expect("the replica stops on its own")
        .expect_err("with a failure")
}

/// How a write fails, and how much of it is on disk after the crash.
struct Case {
    name: &'static str,
    fault: Fault,
    torn: usize,
    full: bool,
}

#[tokio::test]
async fn test_faults_failed_write_is_never_acknowledged() {
    let cases = [
        Case {
            name: "faults-full",
            fault: Fault::Full(10),
            torn: 10,
            full: true,
        },
        Case {
            name: "faults-sync",
            fault: Fault::Sync(0),
            torn: 0,
            full: false,
        },
        Case {
            name: "faults-sync-torn",
            fault: Fault::Sync(0),
            torn: 40,
            full: false,
        },
    ];
    for case in cases {
        let disk = MemoryDisk::default();
        let mut settings = single_replica(case.name);
        let mut replica = start_on(&mut settings, &disk).await.expect("starts");
        let client = Client::new(replica.rpc());
        let first = client.propose_with_retry(&change("c-1", 0, "status")).await;
        assert_eq!(accepted(&first), 1, "{}", case.name);

        disk.arm(case.fault);
        let reply = client.propose(&change("c-2", 1, "grants")).await;
        let acknowledged = matches!(reply, Ok(Kind::Accepted(_)));
        assert!(!acknowledged, "{}: acknowledged", case.name);
        let err = stop_error(&mut replica).await;
        match err {
            ControlError::Driver(DriverError::Store(StoreError::Full(_))) => assert!(case.full),
            ControlError::Driver(DriverError::Store(StoreError::Io(Operation::Sync, ..))) => {
                assert!(!case.full);
            }
            other => panic!("{}: {other}", case.name),
        }

        disk.arm(Fault::Torn(case.torn));
        disk.crash();
        let mut replica = start_on(&mut settings, &disk).await.expect("starts again");
        let client = Client::new(replica.rpc());
        assert_eq!(client.wait_for_version(1).await.version, 1, "{}", case.name);
        let again = client.propose_with_retry(&change("c-2", 1, "grants")).await;
        assert_eq!(accepted(&again), 2, "{}", case.name);
        replica.kill().await;
    }
}

#[tokio::test]
async fn test_faults_half_written_snapshot_loses_nothing() {
    let disk = MemoryDisk::default();
    let mut settings = single_replica("faults-snapshot");
    settings.sizes.snapshot = conf::value::Bytes(64 * 1024);
    let mut replica = start_on(&mut settings, &disk).await.expect("starts");
    let client = Client::new(replica.rpc());
    let service = |base: u64| format!("service-{base:0100}");
    // The disk has room for the log up to the snapshot, but not for the snapshot.
    disk.arm(Fault::Full(100_000));
    let mut version = 0;
    while version < MAX_CHANGES {
        let next = change(&format!("c-{version}"), version, &service(version));
        match client.propose(&next).await {
            Ok(Kind::Accepted(done)) => version = done.version,
            // On a slow host the change may time out; it is sent again.
            Ok(Kind::Uncertain(_)) => {}
            _ => break,
        }
    }
    let err = stop_error(&mut replica).await;
    let ControlError::Driver(DriverError::Store(StoreError::Full(file))) = err else {
        panic!("{err}");
    };
    assert!(file.starts_with("snapshot-"), "{file} was full");

    disk.arm(Fault::Torn(50_000));
    disk.crash();
    let mut replica = start_on(&mut settings, &disk).await.expect("starts again");
    let client = Client::new(replica.rpc());
    assert!(client.wait_for_version(version).await.version >= version);
    replica.kill().await;
}

#[tokio::test]
async fn test_faults_damaged_record_stops_the_start() {
    let cases = [
        (FIRST_SEGMENT, 40, Damage::Frame),
        ("identity", 14, Damage::Identity),
        ("snapshot-00000000000000000000", 14, Damage::Snapshot),
    ];
    for (file, offset, damage) in cases {
        let disk = MemoryDisk::default();
        let mut settings = single_replica("faults-damage");
        let mut replica = start_on(&mut settings, &disk).await.expect("starts");
        let client = Client::new(replica.rpc());
        client.propose_with_retry(&change("c-1", 0, "status")).await;
        replica.kill().await;
        disk.flip(file, offset);
        match start_on(&mut settings, &disk).await {
            Err(ControlError::Store(StoreError::Damaged(found, _, what))) => {
                assert_eq!((&*found, what), (file, damage));
            }
            Err(err) => panic!("{file}: {err}"),
            Ok(_) => panic!("{file}: started"),
        }
    }
}

#[tokio::test]
async fn test_faults_failing_leader_stops_and_the_others_go_on() {
    let mut settings = group::local(&folder("faults-leader"), 3).expect("settings");
    let disks: [MemoryDisk; 3] = std::array::from_fn(|_| MemoryDisk::default());
    let mut bound = Vec::new();
    for one in &settings {
        bound.push(bind(one).await.expect("binds"));
    }
    let initial: Vec<_> = bound.iter().map(control::Bound::replica).collect();
    let mut replicas = Vec::new();
    for ((one, bound), disk) in settings.iter_mut().zip(bound).zip(&disks) {
        one.rpc = bound.rpc();
        one.replica.listen = bound.replica();
        one.replica.address = bound.replica();
        one.replica.initial.clone_from(&initial);
        let log = telemetry::log::silent();
        let started = bound.start(one.clone(), Box::new(disk.clone()), log).await;
        replicas.push(started.expect("starts"));
    }
    let clients = clients(&replicas);
    clients[0]
        .propose_with_retry(&change("c-1", 0, "status"))
        .await;
    let leading = leader(&clients).await;

    disks[leading].arm(Fault::Sync(0));
    let second = change("c-2", 1, "grants");
    let reply = clients[(leading + 1) % 3].propose_with_retry(&second).await;
    assert_eq!(accepted(&reply), 2);
    let mut failed = replicas.remove(leading);
    stop_error(&mut failed).await;
    disks[leading].crash();
    let bound = bind(&settings[leading]).await.expect("binds again");
    let log = telemetry::log::silent();
    let disk = Box::new(disks[leading].clone());
    let restarted = bound.start(settings[leading].clone(), disk, log).await;
    let restarted = restarted.expect("starts again");
    assert_eq!(
        Client::new(restarted.rpc())
            .wait_for_version(2)
            .await
            .version,
        2
    );
    assert_eq!(
        accepted(&clients[leading].propose_with_retry(&second).await),
        2
    );
}
