//! Guards against instances that receive more requests than they say they take.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use standin::Fault;
use standin::FaultKind;
use testutils::Fleet;
use testutils::Request;
use testutils::Upstream;
use testutils::process::field;
use testutils::tables::HOST;
use testutils::tables::STATUS;

/// Instances of the service.
const INSTANCES: usize = 4;
/// Entry processes.
const ENTRIES: usize = 3;
/// Requests per second that the limited instance takes.
const LIMIT: u32 = 2;
/// Tolerated multiple of the limit.
const OVERSHOOT: f64 = 1.5;
/// Requests tolerated on top of that.
const SLACK: f64 = 5.0;
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Pause between two requests through one entry process.
const PAUSE: Duration = Duration::from_millis(10);

/// Starts three hubs, entry processes with the route table, and stand-ins.
async fn start() -> (Fleet, Vec<Upstream>) {
    Fleet::start_with_status(ENTRIES, INSTANCES, |_| {})
        .await
        .unwrap()
}

fn limited(kind: FaultKind) -> Fault {
    Fault {
        factor: LIMIT,
        ..Fault::new(kind)
    }
}

/// Sends requests through one entry process for the given time. Returns how many were answered
/// and how many weren't.
async fn send_for(fleet: &Fleet, entry: usize, duration: Duration) -> [usize; 2] {
    let start = Instant::now();
    let mut counts = [0, 0];
    while start.elapsed() < duration {
        let request = Request::get(STATUS, "/read/any").at(HOST);
        let reply = fleet.call(entry, &request).await;
        counts[usize::from(!reply.is_ok())] += 1;
        tokio::time::sleep(PAUSE).await;
    }
    counts
}

/// Sends requests through all entry processes for the given time.
async fn send_through_all(fleet: &Fleet, duration: Duration) -> [usize; 2] {
    let sent = join_all((0..ENTRIES).map(|entry| send_for(fleet, entry, duration))).await;
    let sum = |index: usize| sent.iter().map(|counts| counts[index]).sum();
    [sum(0), sum(1)]
}

/// Sends requests through the given entry processes until every entry process has logged that
/// the limit is `per_second`.
async fn send_until_logged(fleet: &Fleet, entries: Range<usize>, per_second: &str) {
    let is_logged = |line: &str| {
        field(line, "msg") == Some("instance limit")
            && field(line, "per_second") == Some(per_second)
    };
    let processes = fleet.entries.iter().flatten();
    let logged = join_all(processes.map(|process| process.wait_line(is_logged)));
    let sending = async {
        loop {
            let senders = entries.clone();
            join_all(senders.map(|entry| send_for(fleet, entry, PAUSE))).await;
        }
    };
    tokio::select! {
        logged = logged => assert!(logged.iter().all(Result::is_ok), "{logged:?}"),
        () = sending => {}
    }
}

/// Each instance runs as many requests in a window as its limit allows, and the others all the
/// rest.
async fn check_limit_is_kept(kind: FaultKind) {
    let (fleet, upstreams) = start().await;
    upstreams[0].set_fault(limited(kind)).await.unwrap();
    send_until_logged(&fleet, 0..ENTRIES, &LIMIT.to_string()).await;
    let before = upstreams[0].record().await.runs.len();
    let start = Instant::now();
    let [answered, unanswered] = send_through_all(&fleet, WINDOW).await;
    let runs = upstreams[0].record().await.runs.len() - before;
    let allowed = OVERSHOOT * f64::from(LIMIT) * start.elapsed().as_secs_f64() + SLACK;
    assert!(
        u32::try_from(runs).is_ok_and(|runs| f64::from(runs) <= allowed),
        "{runs} requests of {answered} at the limited instance, {allowed:.0} allowed"
    );
    assert_eq!(unanswered, 0, "of {answered}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_limit_of_instance_is_kept_by_all_entry_processes_together() {
    check_limit_is_kept(FaultKind::Limited).await;
}

/// Instances may name their limits in responses to requests only, not to probes.
#[tokio::test(flavor = "multi_thread")]
async fn test_limit_named_in_responses_to_requests_only_is_kept() {
    check_limit_is_kept(FaultKind::LimitedRequests).await;
}

/// Guards against entry processes that hear of a limit, or of its end, from the instance only.
#[tokio::test(flavor = "multi_thread")]
async fn test_limit_and_its_end_reach_all_entry_processes_through_hubs() {
    let (fleet, upstreams) = start().await;
    upstreams[0]
        .set_fault(limited(FaultKind::LimitedRequests))
        .await
        .unwrap();
    // All requests go through one process; the others hear of the limit from hubs.
    send_until_logged(&fleet, 0..1, &LIMIT.to_string()).await;
    upstreams[0]
        .set_fault(Fault::new(FaultKind::None))
        .await
        .unwrap();
    // Only a process that may send to the instance hears of the end.
    send_until_logged(&fleet, 0..ENTRIES, "none").await;
}
