//! Attempts on the real path: retries that are safe, resumed bodies, and
//! instances that leave.

mod fakes;

use std::net::SocketAddr;

use wire::directory::Phase;

use crate::fakes::Rig;
use crate::fakes::client;
use crate::fakes::directory::instance;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::until;

/// Nobody listens there.
const DEAD: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Stands for the rig's upstream.
const ALIVE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Names one more instance of `service` and waits until the gateway knows it.
async fn add(rig: &Rig, service: &str, id: &str, address: SocketAddr, phase: Phase) {
    let row = instance(service, id, address, phase);
    rig.directory.change(|state| state.instances.push(row));
    let core = rig.gateway.core();
    let known = || core.view().all_instances().any(|u| u.id.as_str() == id);
    until(known).await;
}

#[tokio::test]
async fn test_attempts_dead_instance() {
    // No byte left for the dead one, so that trying another is safe for all classes.
    for service in ["urgent", "once", "durable", "deferred"] {
        let rig = rig(&[], |_| {}).await;
        // Each call earns its retry.
        rig.directory.limit(|limits| limits.retry_percent = 100);
        add(&rig, service, "i-2", DEAD, Phase::Ready).await;
        for count in 1..=8 {
            let answer = rig.post(service, "/ok").send().await.expect("an answer");
            assert_eq!(answer.status(), 200, "{service}");
            assert_eq!(rig.upstream.seen().len(), count, "{service}");
        }
    }
}

#[tokio::test]
async fn test_attempts_error_of_once_is_final() {
    let rig = rig(&[], |_| {}).await;
    add(&rig, "once", "i-2", rig.upstream.address, Phase::Ready).await;
    for path in ["/error", "/close"] {
        let before = rig.upstream.seen().len();
        let answer = rig.post("once", path).send().await.expect("an answer");
        assert!(answer.status().is_server_error());
        assert_eq!(rig.upstream.seen().len(), before + 1, "{path}");
    }
}

/// The only instance becomes one of these; what the caller is told.
const LEFT: [(&str, SocketAddr, Phase, &str); 4] = [
    ("dead", DEAD, Phase::Ready, "connect"),
    ("draining", ALIVE, Phase::Draining, "no-upstream"),
    ("starting", ALIVE, Phase::Starting, "no-upstream"),
    ("gone", ALIVE, Phase::Gone, "no-upstream"),
];

#[tokio::test]
async fn test_attempts_no_instance_left() {
    for service in ["urgent", "once", "durable", "deferred"] {
        for (name, address, phase, reason) in LEFT {
            let rig = rig(&[], |_| {}).await;
            let address = if address == ALIVE {
                rig.upstream.address
            } else {
                address
            };
            rig.directory.change(|state| state.instances.clear());
            add(&rig, service, "i-2", address, phase).await;
            let request = rig.post(service, "/ok").header("rwr-deadline-ms", "500");
            let refused = request.send().await.expect("an answer");
            let name = format!("{service} {name}");
            assert_eq!(refused.status(), 503, "{name}");
            assert_eq!(header(&refused, "rwr-reason"), reason, "{name}");
            assert_eq!(header(&refused, "rwr-outcome"), "not-run", "{name}");
            assert!(!header(&refused, "retry-after").is_empty(), "{name}");
            assert!(rig.upstream.seen().is_empty(), "{name}");
        }
    }
}

#[tokio::test]
async fn test_attempts_broken_archive_resumes() {
    let rig = rig(&[], |_| {}).await;
    // Each call earns the attempt that resumes it.
    rig.directory.limit(|limits| limits.retry_percent = 100);
    until(|| rig.gateway.core().view().version() == 2).await;
    let get = |service: &str, path: &str| {
        let request = client().get(rig.url(path)).header("rwr-service", service);
        request.header("rwr-deadline-ms", "500").send()
    };
    let whole = get("deferred", "/ranged").await.expect("a head");
    assert_eq!(whole.status(), 200);
    assert_eq!(whole.text().await.expect("whole"), "0123456789");
    // A part that doesn't join on, or a class that doesn't wait: visibly broken.
    for (service, path) in [("deferred", "/ranged-wrong"), ("urgent", "/ranged")] {
        let broken = get(service, path).await.expect("a head").bytes().await;
        assert!(broken.is_err(), "{service} {path}: {broken:?}");
    }
}

#[tokio::test]
async fn test_attempts_streamed_body_goes_once() {
    let rig = rig(&[], |_| {}).await;
    add(&rig, "urgent", "i-2", rig.upstream.address, Phase::Ready).await;
    // Over the bound of kept bodies, so there is nothing to send a second time.
    let body = vec![b'a'; 100_000];
    let answer = rig.post("urgent", "/close").body(body).send().await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 502);
    assert_eq!(header(&answer, "rwr-outcome"), "unknown");
    assert_eq!(rig.upstream.seen().len(), 1);
}
