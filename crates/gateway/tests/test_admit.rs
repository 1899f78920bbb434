//! Guards against requests that bypass or leak admission slots.

mod fakes;

use std::sync::Arc;

use base::prelude::*;
use gateway::core::Core;

use crate::fakes::Rig;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::wait_until;

/// Starts a rig whose services run one call and queue one.
async fn rig_with_small_queue() -> Rig {
    let rig = rig(&[], |_| {}).await;
    rig.directory.change_limits(|limits| {
        limits.concurrency = 1;
        limits.queue = 1;
    });
    wait_until(|| rig.gateway.core().view().version() == 2).await;
    rig
}

fn queued(core: &Arc<Core>) -> u32 {
    let service = ServiceName::new("urgent").expect("a name");
    core.queue.counts(&service).queued
}

#[tokio::test]
async fn test_admit_queue() {
    let rig = rig_with_small_queue().await;
    let core = rig.gateway.core().clone();
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    let second = tokio::spawn(rig.post("urgent", "/ok").send());
    wait_until(|| queued(&core) == 1).await;
    let third = rig.post("urgent", "/ok").send().await.expect("a response");
    assert_eq!(third.status(), 503);
    assert_eq!(header(&third, "rwr-reason"), "queue-full");
    assert_eq!(header(&third, "rwr-outcome"), "not-run");
    assert!(!header(&third, "retry-after").is_empty());
    // Other services aren't affected.
    let other = rig
        .post("deferred", "/ok")
        .send()
        .await
        .expect("a response");
    assert_eq!(other.status(), 200);
    rig.upstream.release.notify_one();
    for call in [first, second] {
        let response = call.await.expect("no panic").expect("a response");
        assert_eq!(response.status(), 200);
    }
    wait_until(|| core.in_flight.count() == 0).await;
}

#[tokio::test]
async fn test_admit_expired_in_queue() {
    let rig = rig_with_small_queue().await;
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    let second = rig.post("urgent", "/ok").header("rwr-deadline-ms", "100");
    let second = second.send().await.expect("a response");
    assert_eq!(second.status(), 503);
    assert_eq!(header(&second, "rwr-reason"), "expired");
    assert_eq!(rig.upstream.received().len(), 1);
    rig.upstream.release.notify_one();
    let first = first.await.expect("no panic").expect("a response");
    assert_eq!(first.status(), 200);
}

#[tokio::test]
async fn test_admit_caller_leaves_queue() {
    let rig = rig_with_small_queue().await;
    let core = rig.gateway.core().clone();
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    let second = tokio::spawn(rig.post("urgent", "/ok").send());
    wait_until(|| queued(&core) == 1).await;
    second.abort();
    wait_until(|| queued(&core) == 0).await;
    rig.upstream.release.notify_one();
    first.await.expect("no panic").expect("a response");
    wait_until(|| core.in_flight.count() == 0).await;
    assert_eq!(rig.upstream.received().len(), 1);
    let next = rig.post("urgent", "/ok").send().await.expect("a response");
    assert_eq!(next.status(), 200);
}
