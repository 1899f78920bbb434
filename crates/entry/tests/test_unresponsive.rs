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

/// Starts an entry process that knows one instance. Its read route has a short latency target.
async fn start(upstream: &Upstream, timeout: Duration, retry: Retry) -> Entry {
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
    announce(&entry, upstream);
    entry
}

/// Makes an instance known. The second one is announced only once the first has the request:
/// before it may send probes, a process may choose either of them.
fn announce(entry: &Entry, upstream: &Upstream) {
    let instances = [instance(upstream, "status")];
    entry.core().apply_instances(HUB, &instances, &[]);
}

/// An idle instance that holds up to `capacity` requests and never answers others, and one whose
/// slots are taken.
async fn start_upstreams(capacity: usize) -> [Upstream; 2] {
    let silent = Upstream::start("i-1", Behavior::Queue).await;
    silent.set_capacity(capacity, 0);
    let busy = Upstream::start("i-2", Behavior::Answer).await;
    busy.set_capacity(6, 6);
    [silent, busy]
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
    let [silent, busy] = start_upstreams(0).await;
    let timeout = Duration::from_secs(5);
    let entry = start(&silent, timeout, retry(200)).await;
    let front = entry.front();
    let calling = tokio::spawn(async move { call(front, "GET", READ, "r-1").await });
    silent.wait_for_requests(1).await;
    announce(&entry, &busy);
    busy.set_capacity(6, 1);
    let answer = calling.await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r-1 by i-2");
    silent.wait_for_disconnects(1).await;
    assert_eq!(silent.received_requests().len(), 1);
    assert_eq!(busy.received_requests().len(), 1);
}

/// Guards against the loss of work: a request that the instance holds is not broken off, however
/// late it is, while no other instance has room.
#[tokio::test]
async fn test_unresponsive_slow_instance_keeps_its_request() {
    let [slow, busy] = start_upstreams(1).await;
    let timeout = Duration::from_secs(20);
    let entry = start(&slow, timeout, retry(200)).await;
    let front = entry.front();
    let calling = tokio::spawn(async move { call(front, "GET", READ, "r-1").await });
    slow.wait_for_requests(1).await;
    announce(&entry, &busy);
    slow.wait_for_probes(slow.probes() + 3).await;
    slow.send_rest();
    let answer = calling.await.expect("an answer");
    assert_eq!(answer.body, "answer to r-1 by i-1");
    assert_eq!(slow.aborted(), 0);
    assert!(busy.received_requests().is_empty());
}

/// Guards against attempts beyond the retry budget.
#[tokio::test]
async fn test_unresponsive_instance_keeps_its_request_without_budget() {
    let [silent, busy] = start_upstreams(0).await;
    let timeout = Duration::from_millis(800);
    let entry = start(&silent, timeout, retry(0)).await;
    let front = entry.front();
    let calling = tokio::spawn(async move { call(front, "GET", READ, "r-1").await });
    silent.wait_for_requests(1).await;
    announce(&entry, &busy);
    busy.set_capacity(6, 0);
    let answer = calling.await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert_eq!(silent.received_requests().len(), 1);
    assert!(busy.received_requests().is_empty());
}
