//! Admission on the real path: who waits, who is refused, and when.

mod fakes;

use std::sync::Arc;

use base::prelude::*;
use gateway::core::Core;

use crate::fakes::Rig;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::until;

/// A rig whose services run one call and queue one.
async fn narrow() -> Rig {
    let rig = rig(&[], |_| {}).await;
    rig.directory.limit(|limits| {
        limits.concurrency = 1;
        limits.queue = 1;
    });
    until(|| rig.gateway.core().view().version() == 2).await;
    rig
}

fn queued(core: &Arc<Core>) -> u32 {
    let service = ServiceName::new("urgent").expect("a name");
    core.queue.counts(&service).queued
}

#[tokio::test]
async fn test_admit_queue() {
    let rig = narrow().await;
    let core = rig.gateway.core().clone();
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    until(|| rig.upstream.seen().len() == 1).await;
    let second = tokio::spawn(rig.post("urgent", "/ok").send());
    until(|| queued(&core) == 1).await;
    let third = rig.post("urgent", "/ok").send().await.expect("an answer");
    assert_eq!(third.status(), 503);
    assert_eq!(header(&third, "rwr-reason"), "queue-full");
    assert_eq!(header(&third, "rwr-outcome"), "not-run");
    assert!(!header(&third, "retry-after").is_empty());
    // Another service isn't held up.
    let other = rig.post("deferred", "/ok").send().await.expect("an answer");
    assert_eq!(other.status(), 200);
    rig.upstream.release.notify_one();
    for call in [first, second] {
        let answer = call.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    until(|| core.flying.count() == 0).await;
}

#[tokio::test]
async fn test_admit_expired_in_queue() {
    let rig = narrow().await;
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    until(|| rig.upstream.seen().len() == 1).await;
    let second = rig.post("urgent", "/ok").header("rwr-deadline-ms", "100");
    let second = second.send().await.expect("an answer");
    assert_eq!(second.status(), 503);
    assert_eq!(header(&second, "rwr-reason"), "expired");
    assert_eq!(rig.upstream.seen().len(), 1);
    rig.upstream.release.notify_one();
    let first = first.await.expect("no panic").expect("an answer");
    assert_eq!(first.status(), 200);
}

#[tokio::test]
async fn test_admit_caller_leaves_queue() {
    let rig = narrow().await;
    let core = rig.gateway.core().clone();
    let first = tokio::spawn(rig.post("urgent", "/hold").send());
    until(|| rig.upstream.seen().len() == 1).await;
    let second = tokio::spawn(rig.post("urgent", "/ok").send());
    until(|| queued(&core) == 1).await;
    second.abort();
    until(|| queued(&core) == 0).await;
    rig.upstream.release.notify_one();
    first.await.expect("no panic").expect("an answer");
    until(|| core.flying.count() == 0).await;
    assert_eq!(rig.upstream.seen().len(), 1);
    let next = rig.post("urgent", "/ok").send().await.expect("an answer");
    assert_eq!(next.status(), 200);
}
