//! What reaches every directory, and what is no longer told: drains, silence,
//! cuts, fences and restarts.

use std::net::SocketAddr;
use std::time::Duration;

use directory::Bound;
use directory::Directory;
use directory::Settings;
use members::Phase;
use wire::directory::HostPhase;

use crate::common;
use crate::common::Control;
use crate::common::Gateway;
use crate::common::Upstream;
use crate::common::relay::Relay;

const FENCE: Duration = Duration::from_secs(1);

/// Settings of three directories whose confirmations count for [`FENCE`].
fn three() -> Vec<Settings> {
    let all = [("a", "milano"), ("b", "torino"), ("c", "genova")];
    let make = |(host, domain)| {
        let mut settings = common::settings(host, domain);
        settings.leases.confirmation = FENCE;
        settings
    };
    all.into_iter().map(make).collect()
}

/// Three directories, each with a control replica of its own.
async fn trio() -> (Vec<Directory>, Vec<Control>) {
    let mut controls = Vec::new();
    let mut bounds = common::bind(three()).await;
    let rpcs: Vec<SocketAddr> = bounds.iter().map(Bound::rpc).collect();
    for bound in &mut bounds {
        let (control, address) = common::control().await;
        controls.push(control);
        bound.set_control(vec![address]);
        bound.set_peers(rpcs.iter().copied().filter(|a| *a != bound.rpc()).collect());
    }
    let directories: Vec<Directory> = bounds
        .into_iter()
        .map(|b| b.serve().expect("serves"))
        .collect();
    for directory in &directories {
        common::ready(directory).await;
    }
    (directories, controls)
}

async fn until_phase(directories: &[Directory], id: &str, phase: Option<Phase>) {
    for directory in directories {
        common::eventually("the phase everywhere", async || {
            (common::phase(directory, id) == phase).then_some(())
        })
        .await;
    }
}

async fn until_named(directories: &[Directory], count: usize) {
    for directory in directories {
        common::eventually("the hosts everywhere", async || {
            (common::named(directory.http()).await.len() == count).then_some(())
        })
        .await;
    }
}

async fn until_version(directory: &Directory, version: u64, current: bool) {
    common::eventually("the version", async || {
        (common::version(directory) == (version, current)).then_some(())
    })
    .await;
}

#[tokio::test]
async fn test_spread_phases_reach_every_directory() {
    let (directories, _controls) = trio().await;
    let home = directories[0].http();
    let steps = [
        ("starting", 1, Some(Phase::Starting)),
        ("ready", 2, Some(Phase::Ready)),
        ("draining", 3, Some(Phase::Draining)),
        ("gone", 4, None),
    ];
    for (phase, sequence, seen) in steps {
        let answer = common::announce(home, common::announcement("g1", phase, 1, sequence)).await;
        assert_eq!(answer.status, 200);
        until_phase(&directories, "g1", seen).await;
    }
    for directory in &directories {
        let again = common::announcement("g1", "ready", 1, 5);
        let answer = common::announce(directory.http(), again).await;
        assert_eq!(answer.status, 409, "{answer:?}");
        assert!(answer.body.contains(r#""error":"left""#), "{answer:?}");
    }
}

#[tokio::test]
async fn test_spread_silent_upstream_is_dropped_everywhere() {
    let (directories, _controls) = trio().await;
    let upstream = Upstream::start(directories[1].http(), "g1");
    until_phase(&directories, "g1", Some(Phase::Ready)).await;
    drop(upstream);
    until_phase(&directories, "g1", None).await;
}

#[tokio::test]
async fn test_spread_upstream_moves_when_its_directory_ends() {
    let (mut directories, _controls) = trio().await;
    let upstream = Upstream::start(directories[0].http(), "g1");
    until_phase(&directories, "g1", Some(Phase::Ready)).await;
    drop(upstream);
    drop(directories.remove(0));
    let _second = Upstream::start(directories[0].http(), "g1");
    // The first home's copy ends; the second's lease goes on.
    for directory in &directories {
        common::eventually("the first home silent", async || {
            directory.shared().step(|inner, _| {
                let homes = inner.members.homes();
                let dead = homes.iter().any(|(_, home)| !home.alive);
                dead.then_some(())
            })
        })
        .await;
    }
    until_phase(&directories, "g1", Some(Phase::Ready)).await;
}

#[tokio::test]
async fn test_spread_hosts_not_serving_are_not_named() {
    let (directories, _controls) = trio().await;
    let others = [("b", "torino"), ("c", "genova")];
    let _others = others.map(|(name, domain)| {
        let host = common::host(name, domain, HostPhase::Serving, 0);
        Gateway::start(directories[1].rpc(), host)
    });
    let mut sequence = 0;
    for phase in [Some(HostPhase::Fenced), Some(HostPhase::Stopping), None] {
        sequence += 1_000_000;
        let serving = common::host("a", "milano", HostPhase::Serving, sequence);
        let gateway = Gateway::start(directories[0].rpc(), serving);
        until_named(&directories, 3).await;
        drop(gateway);
        sequence += 1_000_000;
        let _kept = phase.map(|phase| {
            let host = common::host("a", "milano", phase, sequence);
            Gateway::start(directories[0].rpc(), host)
        });
        until_named(&directories, 2).await;
    }
}

#[tokio::test]
async fn test_spread_cut_control_path_is_made_up_for_by_peers() {
    let (directories, controls) = trio().await;
    controls[0].script.send_modify(|s| s.silent = true);
    for control in &controls[1..] {
        control
            .script
            .send_modify(|s| s.catalogue = common::catalogue(2));
    }
    until_version(&directories[0], 2, true).await;
    // Well past the lease of what its own replica last confirmed.
    tokio::time::sleep(FENCE * 2).await;
    until_version(&directories[0], 2, true).await;
    // With every path cut all are fenced, and callers are told so at once.
    for control in &controls {
        control.script.send_modify(|s| s.silent = true);
    }
    for directory in &directories {
        until_version(directory, 2, false).await;
        for path in ["/v1/ready", "/v1/route?service=grants"] {
            let answer = common::get(directory.http(), path).await;
            assert_eq!(answer.status, 503, "{path}");
            assert!(answer.body.contains(r#""error":"not-ready""#), "{answer:?}");
            assert_eq!(answer.headers["retry-after"], "1");
        }
    }
    controls[2].script.send_modify(|s| s.silent = false);
    for directory in &directories {
        until_version(directory, 2, true).await;
    }
}

#[tokio::test]
async fn test_spread_only_a_quorum_makes_a_version_current() {
    // The replica's version, whether a quorum stands behind it; what the directory then has.
    let cases = [
        (1, false, (0, false)),
        (1, true, (1, true)),
        (2, false, (1, false)),
        (2, true, (2, true)),
        (1, true, (2, false)),
    ];
    let (control, address) = common::control().await;
    control.script.send_modify(|s| s.confirmed = false);
    let settings = three().remove(0);
    let directory = common::directories(vec![settings], &[address])
        .await
        .remove(0);
    for (version, confirmed, seen) in cases {
        control.script.send_modify(|s| {
            s.catalogue = common::catalogue(version);
            s.confirmed = confirmed;
        });
        until_version(&directory, seen.0, seen.1).await;
    }
}

#[tokio::test]
async fn test_spread_restarted_directory_takes_nothing_confirmed_before() {
    let (mut directories, controls) = trio().await;
    for control in &controls {
        control
            .script
            .send_modify(|s| s.catalogue = common::catalogue(2));
    }
    for directory in &directories {
        until_version(directory, 2, true).await;
    }
    // No quorum from here on: peers hold confirmations only from before the restart.
    for control in &controls {
        control.script.send_modify(|s| s.confirmed = false);
    }
    drop(directories.remove(0));
    let peers = directories.iter().map(Directory::rpc).collect();
    let mut settings = three().remove(0);
    settings.peers = peers;
    let log = telemetry::log::silent();
    let metrics = telemetry::metrics::silent();
    let again = directory::start(settings, log, metrics)
        .await
        .expect("starts");
    common::eventually("both peers known", async || {
        again
            .shared()
            .step(|inner, _| (inner.members.homes().iter().count() == 3).then_some(()))
    })
    .await;
    assert_eq!(common::version(&again), (0, false));
    for control in &controls {
        control.script.send_modify(|s| s.confirmed = true);
    }
    until_version(&again, 2, true).await;
}

#[tokio::test]
async fn test_spread_home_cut_off_in_silence_keeps_nothing_alive() {
    let mut bounds = common::bind(three()).await;
    let (_control, address) = common::control().await;
    let mut relays = Vec::new();
    let rpcs: Vec<SocketAddr> = bounds.iter().map(Bound::rpc).collect();
    for (i, bound) in bounds.iter_mut().enumerate() {
        bound.set_control(vec![address]);
        let mut peers = Vec::new();
        for (j, rpc) in rpcs.iter().enumerate().filter(|(j, _)| *j != i) {
            let relay = Relay::start(*rpc).await;
            peers.push(relay.address);
            relays.push(((i, j), relay));
        }
        bound.set_peers(peers);
    }
    let directories: Vec<Directory> = bounds
        .into_iter()
        .map(|b| b.serve().expect("serves"))
        .collect();
    let upstream = Upstream::start(directories[0].http(), "g1");
    until_phase(&directories, "g1", Some(Phase::Ready)).await;
    for (_, relay) in relays.iter().filter(|((i, j), _)| *i == 0 || *j == 0) {
        relay.cut(true);
    }
    until_phase(&directories[1..], "g1", None).await;
    assert_eq!(
        common::phase(&directories[0], "g1"),
        Some(Phase::Ready),
        "its own home hears it"
    );
    for (_, relay) in &relays {
        relay.cut(false);
    }
    until_phase(&directories, "g1", Some(Phase::Ready)).await;
    drop(upstream);
    until_phase(&directories, "g1", None).await;
}
