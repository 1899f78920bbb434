//! Guards against calls that fail or keep going to an instance that is slow, failing or
//! stalled.

use std::sync::Arc;
use std::time::Duration;

use standin::Fault;
use standin::FaultKind;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;
use tokio::sync::Semaphore;

/// Calls of one round.
const CALLS: usize = 300;
/// Concurrent calls, well below the slots of the two healthy instances.
const MAX_IN_FLIGHT: usize = 6;
/// Instances, of which the first is faulty.
const INSTANCES: usize = 3;
/// Mean service time, well above the scheduling noise of a busy machine.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Runs that the faulty instance may get: half of an even share.
const MAX_FAULTY_RUNS: usize = CALLS / INSTANCES / 2;
/// Deadline of a call, far above any service time.
const DEADLINE: Duration = Duration::from_secs(20);

/// Makes [`CALLS`] calls, numbered from `first`.
async fn call_all(system: &System, first: usize) -> Vec<Reply> {
    let semaphore = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let calls = (first..first + CALLS).map(|i| {
        let (semaphore, gateway) = (semaphore.clone(), system.gateway(i % 2));
        tokio::spawn(async move {
            let _permit = semaphore.acquire_owned().await.unwrap();
            let request = Request::get(services::STATUS, &format!("/block/{i}")).within(DEADLINE);
            Caller::new().call(gateway, &request).await
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut replies = vec![];
    for call in calls {
        replies.push(call.await.unwrap());
    }
    replies
}

/// Makes one instance faulty under load and checks that the others get most calls.
async fn run(kind: FaultKind) {
    let mut system = System::start(1, 2, &services::all()).await.unwrap();
    let mut upstreams: Vec<Upstream> = vec![];
    for number in 0..INSTANCES {
        let mut settings = system.plan.standin(services::STATUS, number);
        settings.time = SERVICE_TIME;
        let upstream = system.start_upstream(&settings).await.unwrap();
        upstreams.push(upstream);
    }
    let healthy = call_all(&system, 0).await;
    assert!(healthy.iter().all(Reply::is_ok), "{kind}");
    let before = upstreams[0].record().await.runs.len();
    upstreams[0].set_fault(Fault::new(kind)).await.unwrap();

    let replies = call_all(&system, CALLS).await;
    for (reply, number) in replies.iter().zip(CALLS..) {
        assert!(reply.is_ok(), "{kind} call {number}: {reply:?}");
        let receipt = reply.receipt().unwrap();
        assert_eq!(receipt.path, format!("/block/{number}"), "{kind}");
    }
    // The faulty instance must get less than half of an even share, which is a third.
    let faulty = upstreams[0].record().await.runs.len() - before;
    assert!(faulty < MAX_FAULTY_RUNS, "{kind}: {faulty} of {CALLS}");
    assert!(faulty > 0, "{kind}: no call reached the faulty instance");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_slow() {
    run(FaultKind::Slow).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_failing_fast() {
    run(FaultKind::Fail).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_upstream_stalled() {
    run(FaultKind::Stall).await;
}
