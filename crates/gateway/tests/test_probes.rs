//! Guards against probes over the budget or while fenced, and against ignored results.

mod fakes;

use std::time::Duration;

use crate::fakes::rig;
use crate::fakes::wait_until;

/// Probe budget of the test.
const BUDGET_PER_SECOND: u32 = 1;

#[tokio::test]
async fn test_probes_within_budget() {
    let rig = rig(&[], |s| s.lease.length = Duration::from_millis(200)).await;
    let core = rig.gateway.core().clone();
    rig.directory
        .change_limits(|limits| limits.probe_millis = BUDGET_PER_SECOND * 1000);
    wait_until(|| core.view().version() == 2).await;
    let started_at = core.clock.now();
    // All four services have their own budget at the same upstream.
    wait_until(|| rig.upstream.probes().len() >= 8).await;
    let elapsed = core.clock.now().since(started_at).as_secs_f64();
    let allowed = 4.0 * (f64::from(BUDGET_PER_SECOND) * elapsed + 1.0);
    let sent = rig.upstream.probes().len();
    let sent = u32::try_from(sent).expect("few");
    assert!(f64::from(sent) <= allowed, "{sent} in {elapsed} s");
    let service = core.view().services().next().expect("one").name.clone();
    let balancer = core.balancers.get(&service).expect("a balancer");
    wait_until(|| {
        balancer.state().chooser.views(core.clock.now())[0]
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
        .change_limits(|limits| limits.probe_millis = 1_000_000);
    wait_until(|| !rig.upstream.probes().is_empty()).await;
    rig.directory.change(|state| state.confirmed = false);
    wait_until(|| core.is_fenced()).await;
    // Probes in flight when the lease expired have arrived by then.
    wait_until(|| core.view().confirmed_age(core.clock.now()) > Some(Duration::from_millis(600)))
        .await;
    let before = rig.upstream.probes().len();
    wait_until(|| core.view().confirmed_age(core.clock.now()) > Some(Duration::from_millis(900)))
        .await;
    assert_eq!(rig.upstream.probes().len(), before);
}
