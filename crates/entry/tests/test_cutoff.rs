//! Entry processes that are cut off from the instances that others reach.

mod fakes;

use std::time::Duration;

use fakes::Fleet;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::proxy::Path;
use fakes::upstream::Behavior;
use tokio::time::Instant;

/// Number of requests that must be served while the process is cut off.
const REQUESTS: usize = 30;
/// Upper bound of the time until a process has noticed that it is cut off.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the upstreams are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a caller gives a request up that got no response.
const PATIENCE: Duration = Duration::from_secs(2);

/// Sends a request to the first process on a new connection; `None` without a response in time.
async fn call(fleet: &Fleet, path: &str, id: &str) -> Option<Answer> {
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    let calling = async {
        caller.send("POST", path, id, "the body").await;
        caller.answer().await
    };
    tokio::time::timeout(PATIENCE, calling).await.ok().flatten()
}

/// Calls until a request is served.
async fn wait_until_served(fleet: &Fleet, label: &str) {
    let started_at = Instant::now();
    for number in 0.. {
        let answer = call(fleet, READ, &format!("{label}-{number}")).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        assert!(
            started_at.elapsed() < NOTICE_TIMEOUT,
            "{label}: none served"
        );
    }
}

/// Guards against hosts that refuse their callers while other hosts reach the instances.
#[tokio::test]
async fn test_cutoff_host_serves_first_tries() {
    for (network, cut) in [(1, Path::Refused), (2, Path::OldOnly), (3, Path::Hanging)] {
        let fleet = Fleet::start(network, 3, Behavior::Answer).await;
        wait_until_served(&fleet, "before").await;
        fleet.set_path(cut).await;
        wait_until_served(&fleet, "after").await;
        for number in 0..REQUESTS {
            let path = [READ, ONCE][number % 2];
            let id = format!("cut-{number}");
            let answer = call(&fleet, path, &id).await;
            let answer = answer.unwrap_or_else(|| panic!("{cut:?} {id}: no response"));
            assert_eq!(answer.status, 200, "{cut:?} {id}: {}", answer.body);
            assert!(answer.body.starts_with(&format!("answer to {id} by ")));
            assert_eq!(fleet.runs(&id), 1, "{cut:?} {id}");
        }
    }
}

/// Guards against a host that goes on as cut off after it reaches the instances again.
#[tokio::test]
async fn test_cutoff_host_uses_instances_again_once_it_reaches_them() {
    let fleet = Fleet::start(4, 2, Behavior::Answer).await;
    fleet.set_path(Path::Refused).await;
    wait_until_served(&fleet, "cut").await;
    tokio::time::timeout(NOTICE_TIMEOUT, fleet.open_path())
        .await
        .expect("connects to an instance again");
    wait_until_served(&fleet, "joined").await;
}

/// Guards against requests that go round among hosts that all are cut off, and against refusals
/// that are late or untrue.
#[tokio::test]
async fn test_cutoff_hosts_refuse_what_none_of_them_can_serve() {
    let fleet = Fleet::start(5, 3, Behavior::Answer).await;
    for index in 0..fleet.entries.len() {
        fleet.set_path_of(index, Path::Refused).await;
    }
    for number in 0..10 {
        let answer = call(&fleet, ONCE, &format!("r-{number}")).await;
        let answer = answer.expect("a response at once");
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(fleet.runs(&format!("r-{number}")), 0);
    }
}

/// Guards against reads that fail although they may run again and another host reaches the
/// instances.
#[tokio::test]
async fn test_cutoff_read_whose_connection_is_reset_goes_on_at_another_host() {
    let fleet = Fleet::start(7, 2, Behavior::Hang).await;
    let mut read = Caller::connect(fleet.entries[0].front()).await;
    read.send("POST", READ, "r-1", "the body").await;
    let mut once = Caller::connect(fleet.entries[0].front()).await;
    once.send("POST", ONCE, "r-2", "the body").await;
    while fleet.received() < 2 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for upstream in &fleet.upstreams {
        upstream.set_behavior(Behavior::Answer);
    }
    fleet.set_path(Path::Refused).await;
    let answer = read.answer().await.expect("a response");
    assert_eq!((answer.status, fleet.runs("r-1")), (200, 2));
    let answer = once.answer().await.expect("a response");
    assert_eq!((answer.status, fleet.runs("r-2")), (502, 1));
}

/// Guards against innocent requests that are refused everywhere, because hosts that are cut off
/// report their broken attempts as crashes of instances.
#[tokio::test]
async fn test_cutoff_host_reports_no_crashes() {
    let fleet = Fleet::start(6, 2, Behavior::Hang).await;
    let mut callers = Vec::new();
    for number in 0..4 {
        let mut caller = Caller::connect(fleet.entries[0].front()).await;
        let id = format!("r-{number}");
        caller.send("POST", ONCE, &id, "the body").await;
        callers.push(caller);
    }
    while fleet.received() < callers.len() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.set_path(Path::Refused).await;
    for caller in &mut callers {
        let answer = caller.answer().await.expect("a response");
        assert_eq!(answer.status, 502, "may have run: {}", answer.body);
    }
    for upstream in &fleet.upstreams {
        upstream.set_behavior(Behavior::Answer);
    }
    wait_until_served(&fleet, "after").await;
    assert_eq!(*fleet.entries[0].core().guard.newest_event().borrow(), 0);
}
