//! The lease: no work without a young confirmation, and no older catalogue.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use wire::directory::HostPhase;

use crate::fakes::client;
use crate::fakes::directory::FakeDirectory;
use crate::fakes::directory::State;
use crate::fakes::directory::catalogue;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::settings;
use crate::fakes::start;
use crate::fakes::until;
use crate::fakes::upstream::FakeUpstream;

#[tokio::test]
async fn test_fence_starts_fenced() {
    let upstream = FakeUpstream::start().await;
    let directory = FakeDirectory::start(upstream.address).await;
    directory.change(|state| state.confirmed = false);
    let gateway = start(settings(&[directory.address], &[])).await;
    // The catalogue came, but nobody says that it is current.
    until(|| gateway.core().view().version() == 1).await;
    let url = format!("http://{}/ok", gateway.http());
    let refused = client().get(&url).header("rwr-service", "urgent").send();
    let refused = refused.await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "rwr-reason"), "fenced");
    assert_eq!(header(&refused, "rwr-outcome"), "not-run");
    assert!(!header(&refused, "retry-after").is_empty());
    assert!(upstream.seen().is_empty());
    assert!(directory.has_heard(|host| host.phase() == HostPhase::Fenced));
    directory.change(|state| state.confirmed = true);
    until(|| !gateway.core().is_fenced()).await;
    let served = client().get(&url).header("rwr-service", "urgent").send();
    assert_eq!(served.await.expect("an answer").status(), 200);
    until(|| directory.has_heard(|host| host.phase() == HostPhase::Serving)).await;
}

#[tokio::test]
async fn test_fence_lease_runs_out() {
    let rig = rig(&[], |s| s.lease.length = Duration::from_millis(300)).await;
    rig.directory.change(|state| state.confirmed = false);
    until(|| rig.gateway.core().is_fenced()).await;
    let refused = rig.post("urgent", "/ok").send().await.expect("an answer");
    assert_eq!(header(&refused, "rwr-reason"), "fenced");
    let ready = client().get(rig.url("/rwr/ready")).send();
    assert_eq!(ready.await.expect("an answer").status(), 503);
    assert!(rig.upstream.seen().is_empty());
    until(|| rig.directory.has_heard(|h| h.phase() == HostPhase::Fenced)).await;
}

#[tokio::test]
async fn test_fence_version_never_goes_back() {
    let rig = rig(&[], |_| {}).await;
    rig.directory.change(|state| state.catalogue.version = 7);
    until(|| rig.gateway.core().view().version() == 7).await;
    // As an emptied or wrong directory might: an older one, said to be current.
    rig.directory.change(|state| {
        state.catalogue = catalogue(3);
        state.catalogue.entries.clear();
    });
    let cursor = rig.directory.state.lock().expect("no panic").heard.len() + 3;
    until(|| rig.directory.state.lock().expect("no panic").heard.len() > cursor).await;
    let view = rig.gateway.core().view();
    assert_eq!(view.version(), 7);
    assert!(view.service("urgent").is_some());
}

#[tokio::test]
async fn test_fence_other_directory_takes_over() {
    let upstream = FakeUpstream::start().await;
    let good = FakeDirectory::start(upstream.address).await;
    let silent = FakeDirectory::serve(State::default()).await;
    let dead: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let others: [&[SocketAddr]; 3] = [&[dead], &[silent.address], &[dead, silent.address]];
    for others in others {
        let directories = [others, &[good.address]].concat();
        let gateway = start(settings(&directories, &[])).await;
        until(|| !gateway.core().is_fenced()).await;
        assert_eq!(gateway.core().view().version(), 1, "{others:?}");
    }
}
