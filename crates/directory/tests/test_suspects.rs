//! Requests that crash instances: each directory counts the crashes that gateways report to any
//! of them, and tells its gateways.

use std::net::SocketAddr;
use std::time::Duration;

use directory::Directory;
use quarantine::Head;
use wire::directory::CrashReport;
use wire::directory::Sync;
use wire::hub::Crash;
use wire::hub::Fingerprint;
use wire::hub::Report;
use wire::hub::Suspect;
use wire::hub::Suspects;
use wire::link::within;
use wire::peer;

use crate::common;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of exchanges between directories.
const EXCHANGE: Duration = Duration::from_millis(20);
const REQUEST: Fingerprint = Fingerprint {
    path: 1,
    body: 2,
    sender: 3,
};

/// The head of [`REQUEST`].
const HEAD: Head = Head {
    path: REQUEST.path,
    sender: REQUEST.sender,
};

async fn start_three() -> Vec<Directory> {
    let (_control, address) = common::control().await;
    let all = [("a", "milano"), ("b", "torino"), ("c", "genova")];
    let settings = all.map(|(host, domain)| {
        let mut settings = common::settings(host, domain);
        settings.leases.exchange = EXCHANGE;
        settings
    });
    let directories = common::directories(settings.into(), &[address]).await;
    for directory in &directories {
        common::ready(directory).await;
    }
    directories
}

async fn report(directory: SocketAddr, report: Report) -> Suspects {
    let link = peer::directory(directory);
    let client = link.client().await.expect("connects");
    let report = CrashReport {
        report: Some(report),
        relayed: false,
    };
    client
        .report(within(TIMEOUT), report)
        .await
        .expect("answers")
}

async fn report_crash(directory: &Directory, instance: &str) -> Suspects {
    let crash = Crash {
        request: Some(REQUEST),
        service: "status".into(),
        instance: instance.into(),
        incarnation: 1,
        ago_ms: 5,
        ..Crash::default()
    };
    let observed = Report {
        host: "gateway".into(),
        crashes: vec![crash],
        ..Report::default()
    };
    report(directory.rpc(), observed).await
}

async fn sync(directory: &Directory, request: Sync) -> wire::directory::SyncReply {
    let link = peer::directory(directory.rpc());
    let client = link.client().await.expect("connects");
    client
        .sync(within(TIMEOUT), request)
        .await
        .expect("answers")
}

fn refused(suspects: Option<&Suspects>) -> Vec<Fingerprint> {
    let rows = suspects.into_iter().flat_map(|suspects| &suspects.rows);
    let rows = rows.filter(|row| row.refused_ms > 0);
    rows.filter_map(|row| row.request).collect()
}

/// Stops a directory and starts another one at its addresses.
async fn restart(stopped: Directory) -> Directory {
    let mut settings = stopped.shared().settings.clone();
    settings.http = stopped.http();
    settings.rpc = stopped.rpc();
    assert!(stopped.stop().await);
    let (log, metrics) = (telemetry::log::silent(), telemetry::metrics::silent());
    let started = directory::start(settings, log, metrics).await;
    started.expect("the ports are free")
}

async fn until_refused(directory: &Directory) {
    common::eventually("the refusal", async || {
        let reply = sync(directory, Sync::default()).await;
        (refused(reply.suspects.as_ref()) == [REQUEST]).then_some(())
    })
    .await;
}

/// Crashes reported to different directories must add up at each of them.
#[tokio::test]
async fn test_suspects_crashes_of_all_gateways_add_up() {
    let directories = start_three().await;
    for (directory, instance) in directories.iter().zip(["i-1", "i-2", "i-3"]) {
        report_crash(directory, instance).await;
    }
    for directory in &directories {
        until_refused(directory).await;
    }
}

/// A refusal ends the poll of a gateway that waits.
#[tokio::test]
async fn test_suspects_refusal_reaches_waiting_gateway_at_once() {
    let directories = start_three().await;
    let first = sync(&directories[2], Sync::default()).await;
    let request = Sync {
        epoch: first.epoch,
        cursor: first.cursor,
        have: first.confirmed,
        wait_ms: 60_000,
        ..Sync::default()
    };
    let refusal = async {
        let mut request = request;
        loop {
            let reply = sync(&directories[2], request.clone()).await;
            if let Some(suspects) = &reply.suspects {
                request.suspects = suspects.revision;
            }
            if !refused(reply.suspects.as_ref()).is_empty() {
                return;
            }
        }
    };
    let crashes = async {
        for instance in ["i-1", "i-2", "i-3"] {
            report_crash(&directories[0], instance).await;
        }
    };
    tokio::join!(refusal, crashes);
}

/// An answer at any gateway clears the request everywhere.
#[tokio::test]
async fn test_suspects_answered_request_is_not_refused() {
    let directories = start_three().await;
    for instance in ["i-1", "i-2"] {
        report_crash(&directories[0], instance).await;
    }
    common::eventually("the suspect", async || {
        let reply = sync(&directories[1], Sync::default()).await;
        reply.suspects.filter(|suspects| !suspects.rows.is_empty())
    })
    .await;
    let answered = Report {
        answered: vec![REQUEST],
        ..Report::default()
    };
    report(directories[1].rpc(), answered).await;
    common::eventually("no suspect", async || {
        let reply = sync(&directories[0], Sync::default()).await;
        reply
            .suspects
            .is_none_or(|suspects| suspects.rows.is_empty())
            .then_some(())
    })
    .await;
    assert!(refused(Some(&report_crash(&directories[0], "i-3").await)).is_empty());
}

/// A directory that restarts learns refusals from the others, without a gateway.
#[tokio::test]
async fn test_suspects_restarted_directory_learns_refusals_from_peers() {
    let mut directories = start_three().await;
    for instance in ["i-1", "i-2", "i-3"] {
        report_crash(&directories[0], instance).await;
    }
    until_refused(&directories[1]).await;
    let restarted = restart(directories.remove(2)).await;
    until_refused(&restarted).await;
}

/// What a gateway refuses reaches all directories, as they may have restarted together.
#[tokio::test]
async fn test_suspects_refusals_of_gateway_reach_every_directory() {
    let directories = start_three().await;
    // All directories have told each other that they have nothing to report.
    report_crash(&directories[0], "i-1").await;
    for directory in &directories {
        common::eventually("the crash", async || {
            let known = directory
                .shared()
                .step(|inner, _| inner.tracker.tracks_path(HEAD));
            known.then_some(())
        })
        .await;
    }
    // By now each directory knows the epochs of the others, and has sent all that it had.
    report_crash(&directories[0], "i-2").await;
    tokio::time::sleep(20 * EXCHANGE).await;
    let known = Report {
        host: "gateway".into(),
        refused: vec![Suspect {
            request: Some(REQUEST),
            refused_ms: 60_000,
        }],
        ..Report::default()
    };
    let suspects = report(directories[0].rpc(), known).await;
    assert_eq!(refused(Some(&suspects)), [REQUEST]);
    for directory in &directories {
        until_refused(directory).await;
    }
}

/// A directory that starts has the refusals of a peer before it tells a gateway that its
/// catalogue is confirmed.
#[tokio::test]
async fn test_suspects_starting_directory_has_refusals_when_it_confirms() {
    let mut directories = start_three().await;
    for instance in ["i-1", "i-2", "i-3"] {
        report_crash(&directories[0], instance).await;
    }
    until_refused(&directories[0]).await;
    until_refused(&directories[1]).await;
    let restarted = restart(directories.remove(2)).await;
    let reply = common::eventually("a confirmation", async || {
        let reply = sync(&restarted, Sync::default()).await;
        (reply.confirmed > 0).then_some(reply)
    })
    .await;
    assert_eq!(refused(reply.suspects.as_ref()), [REQUEST]);
}
