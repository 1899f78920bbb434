//! Probes on the real path: sent, taken in, and never over the budget.

mod fakes;

use std::time::Duration;

use crate::fakes::rig;
use crate::fakes::until;

/// Probes a second in the test.
const BUDGET: u32 = 1;

#[tokio::test]
async fn test_probes_within_budget() {
    let rig = rig(&[], |s| s.lease.length = Duration::from_millis(200)).await;
    let core = rig.gateway.core().clone();
    rig.directory
        .limit(|limits| limits.probe_millis = BUDGET * 1000);
    until(|| core.view().version() == 2).await;
    let began = core.clock.now();
    // Four services, each with its own budget at the one upstream.
    until(|| rig.upstream.probes().len() >= 8).await;
    let span = core.clock.now().since(began).as_secs_f64();
    let allowed = 4.0 * (f64::from(BUDGET) * span + 1.0);
    let sent = rig.upstream.probes().len();
    let sent = u32::try_from(sent).expect("few");
    assert!(f64::from(sent) <= allowed, "{sent} in {span} s");
    let service = core.view().services().next().expect("one").name.clone();
    let desk = core.desks.get(&service).expect("a desk");
    until(|| {
        desk.state().chooser.views(core.clock.now())[0]
            .age
            .is_some()
    })
    .await;
}

#[tokio::test]
async fn test_probes_none_while_fenced() {
    let rig = rig(&[], |s| s.lease.length = Duration::from_millis(200)).await;
    let core = rig.gateway.core().clone();
    rig.directory
        .limit(|limits| limits.probe_millis = 1_000_000);
    until(|| !rig.upstream.probes().is_empty()).await;
    rig.directory.change(|state| state.confirmed = false);
    until(|| core.is_fenced()).await;
    // Whatever was on its way when the lease ran out has come by then.
    until(|| core.view().confirmed_age(core.clock.now()) > Some(Duration::from_millis(600))).await;
    let before = rig.upstream.probes().len();
    until(|| core.view().confirmed_age(core.clock.now()) > Some(Duration::from_millis(900))).await;
    assert_eq!(rig.upstream.probes().len(), before);
}
