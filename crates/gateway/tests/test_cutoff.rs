//! Gateways that are cut off from the instances that another gateway reaches.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use fakes::Rig;
use fakes::client;
use fakes::control::FakeControl;
use fakes::directory::FakeDirectory;
use fakes::directory::instance;
use fakes::header;
use fakes::rig;
use fakes::settings;
use fakes::upstream::FakeUpstream;
use fakes::wait_until;
use gateway::Gateway;
use wire::directory::Host;
use wire::directory::HostPhase;
use wire::directory::InstanceChange;
use wire::directory::Phase;

/// The services of the test catalogue.
const SERVICES: [&str; 4] = ["urgent", "once", "durable", "deferred"];
/// Upper bound of the time until a change takes effect.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests that must be served while the gateway is cut off.
const REQUESTS: usize = 20;
/// Number of instances that refuse connections of the gateway that is cut off.
const INSTANCES: u16 = 12;

/// A gateway whose directory names instances that take no connection, and one that reaches them.
struct Pair {
    cut_off: Gateway,
    directory: FakeDirectory,
    other: Rig,
    /// Where nothing listens.
    closed: testutils::Host,
}

impl Pair {
    async fn start() -> Self {
        Self::start_with(&[]).await
    }

    async fn start_with(control: &[SocketAddr]) -> Self {
        let other = rig(control, |_| {}).await;
        let directory = FakeDirectory::start(other.upstream.address).await;
        let settings = settings(&[directory.address], control);
        let cut_off = fakes::ready(settings).await;
        let hosts = vec![
            host("host-1", cut_off.http()),
            host("host-2", other.gateway.http()),
        ];
        let closed = testutils::Host::new();
        directory.change(|state| {
            state.hosts = hosts;
            state.instances = SERVICES
                .into_iter()
                .flat_map(|service| unreached(service, &closed))
                .collect();
        });
        let pair = Self {
            cut_off,
            directory,
            other,
            closed,
        };
        let urgent = ServiceName::new("urgent").expect("a name");
        let core = pair.cut_off.core();
        wait_until(|| core.view().instances(&urgent).len() == usize::from(INSTANCES)).await;
        pair
    }

    async fn call(&self, service: &str, path: &str) -> reqwest::Response {
        let request = client().post(format!("http://{}{path}", self.cut_off.http()));
        let request = request.header("rwr-service", service).body("the body");
        request.send().await.expect("a response")
    }

    /// Calls until a request is served.
    async fn wait_until_served(&self) {
        let served = async {
            while self.call("urgent", "/warm").await.status() != 200 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let served = tokio::time::timeout(PATIENCE, served).await;
        served.expect("a request is served");
    }
}

fn host(name: &str, gateway: SocketAddr) -> Host {
    Host {
        host: name.into(),
        domain: "milano".into(),
        gateway: gateway.to_string(),
        phase: HostPhase::Serving.into(),
        incarnation: 1,
        ..Host::default()
    }
}

/// Instances of `service` that refuse connections.
fn unreached(service: &str, closed: &testutils::Host) -> Vec<InstanceChange> {
    let ports = 1..=INSTANCES;
    ports
        .map(|port| instance(service, &format!("i-{port}"), closed.at(port), Phase::Ready))
        .collect()
}

/// Guards against gateways that refuse their callers while other gateways reach the instances.
#[tokio::test]
async fn test_cutoff_gateway_serves_first_tries() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    for service in SERVICES {
        for number in 0..REQUESTS {
            let path = format!("/{service}/{number}");
            let response = pair.call(service, &path).await;
            assert_eq!(
                response.status(),
                200,
                "{path}: {}",
                header(&response, "rwr-reason")
            );
            let received = pair.other.upstream.received();
            let runs = received
                .iter()
                .filter(|request| request.head.contains(&path));
            assert_eq!(runs.count(), 1, "{path}");
        }
    }
}

/// Guards against directories that go on to name a gateway that is cut off, or that leave out one
/// for a service that it reaches.
#[tokio::test]
async fn test_cutoff_gateway_tells_directory_which_services_it_does_not_reach() {
    let pair = Pair::start().await;
    let own = FakeUpstream::start().await;
    pair.directory.change(|state| {
        let is_deferred = |change: &InstanceChange| {
            let instance = change.instance.as_ref();
            instance.is_some_and(|instance| instance.service == "deferred")
        };
        state.instances.retain(|change| !is_deferred(change));
        let reached = instance("deferred", "own", own.address, Phase::Ready);
        state.instances.push(reached);
    });
    let deferred = ServiceName::new("deferred").expect("a name");
    let core = pair.cut_off.core();
    wait_until(|| core.view().instances(&deferred).len() == 1).await;
    pair.wait_until_served().await;
    let cut_off = ["durable", "once", "urgent"];
    wait_until(|| pair.directory.last_received().cut_off == cut_off).await;
    let names_deferred = |host: &Host| host.cut_off.iter().any(|service| service == "deferred");
    assert!(!pair.directory.has_received(names_deferred));
}

/// Guards against requests that go round among gateways that all are cut off.
#[tokio::test]
async fn test_cutoff_gateway_refuses_what_nobody_can_serve() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    let cut_off = pair.cut_off.http();
    pair.directory
        .change(|state| state.hosts = vec![host("host-3", cut_off)]);
    let refused = async {
        while pair.call("urgent", "/listed").await.status() == 200 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let refused = tokio::time::timeout(PATIENCE, refused).await;
    refused.expect("the list arrives");
    for number in 0..REQUESTS {
        let path = format!("/none/{number}");
        let response = pair.call("urgent", &path).await;
        assert_eq!(response.status(), 503);
        assert_eq!(header(&response, "rwr-reason"), "connect");
        assert_eq!(header(&response, "rwr-outcome"), "not-run");
        assert!(!header(&response, "retry-after").is_empty());
        let received = pair.other.upstream.received();
        assert!(!received.iter().any(|request| request.head.contains(&path)));
    }
}

/// Guards against a gateway that goes on as cut off after it reaches the instances again.
#[tokio::test]
async fn test_cutoff_gateway_uses_instances_again_once_it_reaches_them() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    let own = FakeUpstream::start().await;
    pair.directory.change(|state| {
        let instances = SERVICES.map(|service| instance(service, "own", own.address, Phase::Ready));
        state.instances = instances.to_vec();
    });
    let regained = async {
        while own.received().is_empty() {
            assert_eq!(pair.call("urgent", "/again").await.status(), 200);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let regained = tokio::time::timeout(PATIENCE, regained).await;
    regained.expect("the instance gets requests");
    wait_until(|| pair.directory.last_received().cut_off.is_empty()).await;
}

/// Guards against grants that run twice, or can't be asked for again, because two gateways claim
/// their key.
#[tokio::test]
async fn test_cutoff_gateway_leaves_the_claim_of_a_key_to_the_other() {
    let control = FakeControl::start().await;
    let pair = Pair::start_with(&[control.address]).await;
    pair.wait_until_served().await;
    let claims = control.state.lock().expect("no panic").claims;
    let request = client().post(format!("http://{}/grant", pair.cut_off.http()));
    let request = request
        .header("rwr-service", "once")
        .header("rwr-caller", "planner-4")
        .header("idempotency-key", "grant-7-a");
    let response = request.body("block 7").send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(control.state.lock().expect("no panic").claims - claims, 1);
}

/// Guards against bodies that are cut, held back or changed on the way through two gateways.
#[tokio::test]
async fn test_cutoff_gateway_passes_bodies_and_headers_on_unchanged() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    let response = pair.call("urgent", "/echo").await;
    assert_eq!(response.text().await.expect("a body"), "the body");
    let response = pair.call("urgent", "/large").await;
    assert_eq!(response.bytes().await.expect("a body").len(), 200_000);
    let response = pair.call("deferred", "/short").await;
    assert!(
        response.bytes().await.is_err(),
        "a short body looks complete"
    );
    let response = pair.call("urgent", "/chunked").await;
    assert_eq!(response.text().await.expect("a body"), "onetwo");
    let response = pair.call("urgent", "/error").await;
    assert_eq!(response.status(), 500);
    let received = pair.other.upstream.received();
    let echoed = received
        .iter()
        .find(|request| request.head.contains("/echo"));
    assert_eq!(echoed.expect("the request").header("rwr-hop"), None);
}

/// Guards against instances that work on for callers who have left.
#[tokio::test]
async fn test_cutoff_caller_that_leaves_is_noticed_by_instance() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    let calling = pair.call("urgent", "/stall");
    let upstream = &pair.other.upstream;
    tokio::select! {
        _ = calling => panic!("the instance never responds"),
        () = wait_until(|| upstream.received().iter().any(|r| r.head.contains("/stall"))) => {}
    }
    wait_until(|| upstream.aborted_connections() == 1).await;
}

/// Guards against a refusal that says not run though the other gateway may have passed the
/// request on, and against requests that are lost with a gateway that has stopped.
#[tokio::test]
async fn test_cutoff_request_that_breaks_off_at_gateway_may_have_run() {
    let pair = Pair::start().await;
    pair.wait_until_served().await;
    let stopped = pair.closed.at(INSTANCES + 1);
    let closing = FakeUpstream::start().await;
    let list = async |hosts: Vec<Host>, path: &str, status: u16| {
        pair.directory.change(|state| state.hosts = hosts);
        let until = async {
            while pair.call("urgent", path).await.status() != status {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let until = tokio::time::timeout(PATIENCE, until).await;
        until.expect("the list arrives");
    };
    let other = pair.other.gateway.http();
    list(vec![host("host-4", closing.address)], "/close", 502).await;
    let response = pair.call("urgent", "/close").await;
    assert_eq!(header(&response, "rwr-outcome"), "unknown");
    list(
        vec![host("host-2", other), host("host-4", stopped)],
        "/ok",
        200,
    )
    .await;
    for number in 0..REQUESTS {
        let response = pair.call("once", &format!("/both/{number}")).await;
        assert_eq!(response.status(), 200);
    }
}
