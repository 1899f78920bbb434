//! A slow, a failing and a stalled upstream on the real path.

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

/// Calls of one trial.
const CALLS: usize = 300;
/// Calls at once, well below the slots of the two good instances.
const AT_ONCE: usize = 6;
/// Instances, of which the first shows the fault.
const INSTANCES: usize = 3;
/// Mean service time, well above the noise of a busy machine.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Runs that the faulty instance may get: half of an even share.
const MOST_FAULTY: usize = CALLS / INSTANCES / 2;
/// Deadline of a call, far above any service time.
const DEADLINE: Duration = Duration::from_secs(20);

/// Calls everything once; `first` is the number of the first call.
async fn call_all(system: &System, first: usize) -> Vec<Reply> {
    let turn = Arc::new(Semaphore::new(AT_ONCE));
    let calls = (first..first + CALLS).map(|i| {
        let (turn, gateway) = (turn.clone(), system.gateway(i % 2));
        tokio::spawn(async move {
            let _turn = turn.acquire_owned().await.unwrap();
            let ask = Request::get(services::STATUS, &format!("/block/{i}")).within(DEADLINE);
            Caller::new().call(gateway, &ask).await
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut replies = vec![];
    for call in calls {
        replies.push(call.await.unwrap());
    }
    replies
}

/// One instance shows a fault in a system that is at work.
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
    // An even share would be a third; a fault must lose at least half of that.
    let faulty = upstreams[0].record().await.runs.len() - before;
    assert!(faulty < MOST_FAULTY, "{kind}: {faulty} of {CALLS}");
    assert!(faulty > 0, "{kind}: the fault was never met");
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
