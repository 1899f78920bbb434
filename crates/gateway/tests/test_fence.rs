//! Guards against serving without a recent confirmation and against catalogue rollbacks.

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
use crate::fakes::upstream::FakeUpstream;
use crate::fakes::wait_until;

#[tokio::test]
async fn test_fence_starts_fenced() {
    let upstream = FakeUpstream::start().await;
    let directory = FakeDirectory::start(upstream.address).await;
    directory.change(|state| state.confirmed = false);
    let gateway = start(settings(&[directory.address], &[])).await;
    // The catalogue arrived, but without a confirmation.
    wait_until(|| gateway.core().view().version() == 1).await;
    let url = format!("http://{}/ok", gateway.http());
    let refused = client().get(&url).header("rwr-service", "urgent").send();
    let refused = refused.await.expect("a response");
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "rwr-reason"), "fenced");
    assert_eq!(header(&refused, "rwr-outcome"), "not-run");
    assert!(!header(&refused, "retry-after").is_empty());
    assert!(upstream.received().is_empty());
    assert!(directory.has_received(|host| host.phase() == HostPhase::Fenced));
    directory.change(|state| state.confirmed = true);
    wait_until(|| !gateway.core().is_fenced()).await;
    let served = client().get(&url).header("rwr-service", "urgent").send();
    assert_eq!(served.await.expect("a response").status(), 200);
    wait_until(|| directory.has_received(|host| host.phase() == HostPhase::Serving)).await;
}

#[tokio::test]
async fn test_fence_lease_runs_out() {
    let rig = rig(&[], |s| s.lease.length = Duration::from_millis(300)).await;
    rig.directory.change(|state| state.confirmed = false);
    wait_until(|| rig.gateway.core().is_fenced()).await;
    let refused = rig.post("urgent", "/ok").send().await.expect("a response");
    assert_eq!(header(&refused, "rwr-reason"), "fenced");
    let ready = client().get(rig.url("/rwr/ready")).send();
    assert_eq!(ready.await.expect("a response").status(), 503);
    assert!(rig.upstream.received().is_empty());
    wait_until(|| {
        rig.directory
            .has_received(|h| h.phase() == HostPhase::Fenced)
    })
    .await;
}

#[tokio::test]
async fn test_fence_version_never_goes_back() {
    let rig = rig(&[], |_| {}).await;
    rig.directory.change(|state| state.catalogue.version = 7);
    wait_until(|| rig.gateway.core().view().version() == 7).await;
    // A directory that lost its state confirms an older version.
    rig.directory.change(|state| {
        state.catalogue = catalogue(3);
        state.catalogue.entries.clear();
    });
    let cursor = rig.directory.state.lock().expect("no panic").received.len() + 3;
    wait_until(|| rig.directory.state.lock().expect("no panic").received.len() > cursor).await;
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
        wait_until(|| !gateway.core().is_fenced()).await;
        assert_eq!(gateway.core().view().version(), 1, "{others:?}");
    }
}
