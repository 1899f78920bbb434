//! Events and faults injected into a running system.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use standin::Fault;
use standin::FaultKind;
use standin::Run;
use standin::runs::Runs;
use tokio::time::Instant;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

use crate::roles::Roles;
use crate::roles::RolesError;
use crate::traffic;
use crate::traffic::Record;
use crate::traffic::Workload;

/// Calls in flight when a gateway is stopped.
const STOP_CALLS: usize = 5;
/// Delay of the responses to [`STOP_CALLS`], which keeps them in flight.
const STOP_DELAY_MS: u64 = 500;
/// First number of the calls that events make, above the numbers of all callers.
const FIRST_EVENT_NUMBER: usize = 1_000_000;

/// Sends one non-idempotent request through two gateways at once, and again through a
/// third after both have answered.
pub async fn send_twice(gateways: [SocketAddr; 3], workload: Workload) -> Vec<Record> {
    let request = traffic::request(workload, FIRST_EVENT_NUMBER);
    let [first, second, third] = gateways;
    let (first, second) = tokio::join!(
        traffic::call_at(first, workload, request.clone()),
        traffic::call_at(second, workload, request.clone()),
    );
    let third = traffic::call_at(third, workload, request).await;
    vec![first, second, third]
}

/// Sends one request to each gateway while every instance of the service sheds load.
pub async fn send_refused(
    roles: &Roles,
    gateways: [SocketAddr; 3],
    workload: Workload,
) -> Vec<Record> {
    set_fault(roles, workload.service, Fault::new(FaultKind::Shed));
    let calls = gateways.into_iter().enumerate().map(|(i, gateway)| {
        let request = traffic::request(workload, FIRST_EVENT_NUMBER + i);
        traffic::call_at(gateway, workload, request)
    });
    let records = join_all(calls).await;
    set_fault(roles, workload.service, Fault::default());
    records
}

/// Drains one instance and returns when the drain started. The instance keeps serving,
/// so that its runs show requests that arrive during the drain.
#[must_use]
pub fn drain(roles: &Roles, instance: &str) -> Instant {
    if let Some(upstream) = roles.upstreams.get(instance) {
        upstream.drain();
    }
    Instant::now()
}

/// Kills one instance without a drain and returns when.
pub fn kill(roles: &mut Roles, instance: &str) -> Instant {
    if let Some(upstream) = roles.upstreams.remove(instance) {
        upstream.kill();
    }
    Instant::now()
}

/// Stops the gateway at `index` gracefully with calls of `workload` in flight there, and
/// returns these calls once the gateway has stopped.
pub async fn stop_gateway(roles: &mut Roles, index: usize, workload: Workload) -> Vec<Record> {
    let Some(gateway) = roles.gateways[index].take() else {
        return vec![];
    };
    let mut late = Fault::new(FaultKind::Late);
    late.delay_ms = STOP_DELAY_MS;
    set_fault(roles, workload.service, late);
    let address = gateway.http();
    let calls = (0..STOP_CALLS).map(|i| {
        let request = traffic::request(workload, FIRST_EVENT_NUMBER + i);
        tokio::spawn(traffic::call_at(address, workload, request))
    });
    let calls: Vec<_> = calls.collect();
    wait_runs(roles, workload).await;
    gateway.stop().await;
    set_fault(roles, workload.service, Fault::default());
    let records = join_all(calls).await;
    records.into_iter().flatten().collect()
}

/// Waits until all calls of [`stop_gateway`] have reached an instance.
async fn wait_runs(roles: &Roles, workload: Workload) {
    let path = |i| traffic::request(workload, FIRST_EVENT_NUMBER + i).path;
    let paths: Vec<String> = (0..STOP_CALLS).map(path).collect();
    let reached = |runs: &[Run], path: &String| runs.iter().any(|r| &r.path == path);
    loop {
        let all: Vec<Run> = roles.runs.values().flat_map(Runs::all).collect();
        if paths.iter().all(|path| reached(&all, path)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn set_fault(roles: &Roles, service: &str, fault: Fault) {
    let is_of_service = |name: &&String| name.rsplit_once('-').is_some_and(|(s, _)| s == service);
    for name in roles.upstreams.keys().filter(is_of_service) {
        roles.upstreams[name].set_fault(fault);
    }
}

/// Changes one entry of the catalogue and returns the time until the change was in force
/// on every entry host.
///
/// # Errors
///
/// Fails if the change is refused or is not in force in time.
pub async fn change(
    roles: &Roles,
    base: u64,
    entry: &catalogue::entry::Entry,
) -> Result<Duration, RolesError> {
    let mut entry = entry.clone();
    entry.limits.queue += 1;
    let edit = Edit {
        kind: Some(Kind::Put(entry.to_wire())),
    };
    let version = roles.operator.apply(base, vec![edit]).await?;
    let accepted = Instant::now();
    roles.wait_in_force(version).await?;
    Ok(accepted.elapsed())
}
