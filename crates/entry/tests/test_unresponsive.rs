//! Instances that never answer a request that they can't queue.

mod fakes;

use std::time::Duration;

use entry::Dialect;
use entry::Entry;
use entry::Settings;
use entry::settings::Retry;
use fakes::HUB;
use fakes::READ;
use fakes::caller::call;
use fakes::instance;
use fakes::settings;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;

/// Latency target of the read route.
const AIM: Duration = Duration::from_millis(300);

/// Starts an entry process whose read route has a short latency target.
async fn start(upstreams: &[&Upstream], timeout: Duration, retry: Retry) -> Entry {
    let settings = Settings {
        retry,
        ..settings()
    };
    let log = telemetry::log::silent();
    let entry = Entry::start(settings, Dialect::default(), log).await;
    let entry = entry.expect("starts");
    let mut table = table(1);
    let route = &mut table.hosts[0].routes[0];
    route.aim = Some(AIM);
    route.timeout = Some(timeout);
    entry.core().set_table(table);
    let instances: Vec<_> = upstreams.iter().map(|u| instance(u, "status")).collect();
    entry.core().apply_instances(HUB, &instances, &[]);
    entry
}

/// An idle instance that holds up to `capacity` requests, and one that is full.
async fn start_upstreams(capacity: usize) -> [Upstream; 2] {
    let full = Upstream::start("i-1", Behavior::Queue).await;
    full.set_capacity(capacity, 0);
    let other = Upstream::start("i-2", Behavior::Answer).await;
    other.set_capacity(6, 6);
    [full, other]
}

fn retry(percent: u32) -> Retry {
    Retry {
        percent,
        base: 0,
        ..Retry::default()
    }
}

/// Guards against a lost request that waits until its deadline, and against another request on
/// the connection on which the first was lost.
#[tokio::test]
async fn test_unresponsive_instance_loses_its_request_to_another() {
    let [full, other] = start_upstreams(0).await;
    let timeout = Duration::from_secs(5);
    let entry = start(&[&full, &other], timeout, retry(200)).await;
    let front = entry.front();
    let calling = tokio::spawn(async move { call(front, "GET", READ, "r-1").await });
    full.wait_for_requests(1).await;
    other.set_capacity(6, 1);
    let answer = calling.await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r-1 by i-2");
    full.wait_for_disconnects(1).await;
    assert_eq!(full.received_requests().len(), 1);
    assert_eq!(other.received_requests().len(), 1);
}

/// Guards against the loss of work: a request that the instance holds is not broken off, however
/// late it is, while no other instance has room.
#[tokio::test]
async fn test_unresponsive_slow_instance_keeps_its_request() {
    let [slow, other] = start_upstreams(1).await;
    let timeout = Duration::from_secs(20);
    let entry = start(&[&slow, &other], timeout, retry(200)).await;
    let front = entry.front();
    let calling = tokio::spawn(async move { call(front, "GET", READ, "r-1").await });
    slow.wait_for_requests(1).await;
    slow.wait_for_probes(slow.probes() + 3).await;
    slow.send_rest();
    let answer = calling.await.expect("an answer");
    assert_eq!(answer.body, "answer to r-1 by i-1");
    assert_eq!(slow.aborted(), 0);
    assert!(other.received_requests().is_empty());
}

/// Guards against attempts beyond the retry budget.
#[tokio::test]
async fn test_unresponsive_instance_keeps_its_request_without_budget() {
    let [full, other] = start_upstreams(0).await;
    let timeout = Duration::from_millis(800);
    let entry = start(&[&full, &other], timeout, retry(0)).await;
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 504);
    assert_eq!(full.received_requests().len(), 1);
    assert!(other.received_requests().is_empty());
}
