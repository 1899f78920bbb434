//! Guards against unsafe or missing retries, wrongly resumed bodies and requests to
//! unavailable instances.

mod fakes;

use std::net::SocketAddr;

use wire::directory::Phase;

use crate::fakes::Rig;
use crate::fakes::client;
use crate::fakes::directory::instance;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::wait_until;

/// An address without a listener.
const DEAD: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Placeholder for the address of the rig's upstream.
const ALIVE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Announces another instance of `service` and waits until the gateway knows it.
async fn add_instance(rig: &Rig, service: &str, id: &str, address: SocketAddr, phase: Phase) {
    let row = instance(service, id, address, phase);
    rig.directory.change(|state| state.instances.push(row));
    let core = rig.gateway.core();
    let known = || core.view().all_instances().any(|u| u.id.as_str() == id);
    wait_until(known).await;
}

#[tokio::test]
async fn test_attempts_dead_instance() {
    // Nothing was sent to the dead instance, so a retry is safe for all classes.
    for service in ["urgent", "once", "durable", "deferred"] {
        let rig = rig(&[], |_| {}).await;
        // The retry budget allows one retry per call.
        rig.directory
            .change_limits(|limits| limits.retry_percent = 100);
        add_instance(&rig, service, "i-2", DEAD, Phase::Ready).await;
        for count in 1..=8 {
            let response = rig.post(service, "/ok").send().await.expect("a response");
            assert_eq!(response.status(), 200, "{service}");
            assert_eq!(rig.upstream.received().len(), count, "{service}");
        }
    }
}

/// Guards against calls that end although an instance is well, because connections to others were
/// refused: nothing was sent to those, so the retry budget doesn't matter.
#[tokio::test]
async fn test_attempts_refused_connections_need_no_retry_budget() {
    for service in ["urgent", "once", "durable", "deferred"] {
        let rig = rig(&[], |_| {}).await;
        rig.directory
            .change_limits(|limits| limits.retry_percent = 0);
        let alive = rig.upstream.address;
        rig.directory.change(|state| {
            let rows = (2..=9).map(|number| {
                let address = if number == 9 { alive } else { DEAD };
                instance(service, &format!("i-{number}"), address, Phase::Ready)
            });
            state.instances = rows.collect();
        });
        let core = rig.gateway.core();
        wait_until(|| core.view().all_instances().count() == 8).await;
        for count in 1..=8 {
            let response = rig.post(service, "/ok").send().await.expect("a response");
            assert_eq!(response.status(), 200, "{service}");
            assert_eq!(rig.upstream.received().len(), count, "{service}");
        }
    }
}

#[tokio::test]
async fn test_attempts_error_of_once_is_final() {
    let rig = rig(&[], |_| {}).await;
    add_instance(&rig, "once", "i-2", rig.upstream.address, Phase::Ready).await;
    for path in ["/error", "/close"] {
        let before = rig.upstream.received().len();
        let response = rig.post("once", path).send().await.expect("a response");
        assert!(response.status().is_server_error());
        assert_eq!(rig.upstream.received().len(), before + 1, "{path}");
    }
}

/// State of the only instance, and the reason that the caller gets.
const UNAVAILABLE: [(&str, SocketAddr, Phase, &str); 4] = [
    ("dead", DEAD, Phase::Ready, "connect"),
    ("draining", ALIVE, Phase::Draining, "no-upstream"),
    ("starting", ALIVE, Phase::Starting, "no-upstream"),
    ("gone", ALIVE, Phase::Gone, "no-upstream"),
];

#[tokio::test]
async fn test_attempts_no_instance_left() {
    for service in ["urgent", "once", "durable", "deferred"] {
        for (name, address, phase, reason) in UNAVAILABLE {
            let rig = rig(&[], |_| {}).await;
            let address = if address == ALIVE {
                rig.upstream.address
            } else {
                address
            };
            rig.directory.change(|state| state.instances.clear());
            add_instance(&rig, service, "i-2", address, phase).await;
            let request = rig.post(service, "/ok").header("rwr-deadline-ms", "500");
            let refused = request.send().await.expect("a response");
            let name = format!("{service} {name}");
            assert_eq!(refused.status(), 503, "{name}");
            assert_eq!(header(&refused, "rwr-reason"), reason, "{name}");
            assert_eq!(header(&refused, "rwr-outcome"), "not-run", "{name}");
            assert!(!header(&refused, "retry-after").is_empty(), "{name}");
            assert!(rig.upstream.received().is_empty(), "{name}");
        }
    }
}

#[tokio::test]
async fn test_attempts_broken_archive_resumes() {
    let rig = rig(&[], |_| {}).await;
    // The retry budget allows one resuming attempt per call.
    rig.directory
        .change_limits(|limits| limits.retry_percent = 100);
    wait_until(|| rig.gateway.core().view().version() == 2).await;
    let get = |service: &str, path: &str| {
        let request = client().get(rig.url(path)).header("rwr-service", service);
        request.header("rwr-deadline-ms", "500").send()
    };
    let whole = get("deferred", "/ranged").await.expect("a head");
    assert_eq!(whole.status(), 200);
    assert_eq!(whole.text().await.expect("whole"), "0123456789");
    // A range that doesn't continue the body, or a class without resumption: the caller
    // sees a truncated body.
    for (service, path) in [("deferred", "/ranged-wrong"), ("urgent", "/ranged")] {
        let broken = get(service, path).await.expect("a head").bytes().await;
        assert!(broken.is_err(), "{service} {path}: {broken:?}");
    }
}

#[tokio::test]
async fn test_attempts_streamed_body_goes_once() {
    let rig = rig(&[], |_| {}).await;
    add_instance(&rig, "urgent", "i-2", rig.upstream.address, Phase::Ready).await;
    // Larger than the buffering limit, so the body can't be sent again.
    let body = vec![b'a'; 100_000];
    let response = rig.post("urgent", "/close").body(body).send().await;
    let response = response.expect("a response");
    assert_eq!(response.status(), 502);
    assert_eq!(header(&response, "rwr-outcome"), "unknown");
    assert_eq!(rig.upstream.received().len(), 1);
}
