//! What happens to a system while its callers call.

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
use crate::traffic::Shape;

/// Calls in flight when a gateway is stopped.
const STOP_CALLS: usize = 5;
/// How late the answers to these come, so that they are in flight.
const STOP_DELAY_MS: u64 = 500;
/// Numbers of calls that events make, above those of any caller.
const EVENT_NUMBER: usize = 1_000_000;

/// Sends one non-idempotent request by way of two gateways at once, and once
/// more by way of a third after both have answered.
pub async fn send_twice(gateways: [SocketAddr; 3], shape: Shape) -> Vec<Record> {
    let ask = traffic::ask(shape, EVENT_NUMBER);
    let [first, second, third] = gateways;
    let (first, second) = tokio::join!(
        traffic::call_at(first, shape, ask.clone()),
        traffic::call_at(second, shape, ask.clone()),
    );
    let third = traffic::call_at(third, shape, ask).await;
    vec![first, second, third]
}

/// Sends one request to each gateway while every instance of its service
/// refuses before any work.
pub async fn send_refused(roles: &Roles, gateways: [SocketAddr; 3], shape: Shape) -> Vec<Record> {
    set_fault(roles, shape.service, Fault::new(FaultKind::Shed));
    let calls = gateways.into_iter().enumerate().map(|(i, gateway)| {
        let ask = traffic::ask(shape, EVENT_NUMBER + i);
        traffic::call_at(gateway, shape, ask)
    });
    let records = join_all(calls).await;
    set_fault(roles, shape.service, Fault::default());
    records
}

/// Drains one instance, from the moment in the answer on; it serves on, so
/// that its record shows who still comes.
#[must_use]
pub fn drain(roles: &Roles, instance: &str) -> Instant {
    if let Some(upstream) = roles.upstreams.get(instance) {
        upstream.drain();
    }
    Instant::now()
}

/// Kills one instance without a word, at the moment in the answer.
pub fn kill(roles: &mut Roles, instance: &str) -> Instant {
    if let Some(upstream) = roles.upstreams.remove(instance) {
        upstream.kill();
    }
    Instant::now()
}

/// Stops the gateway at `index` gracefully, with calls of `shape` in flight
/// there; the calls, when it has stopped.
pub async fn stop_gateway(roles: &mut Roles, index: usize, shape: Shape) -> Vec<Record> {
    let Some(gateway) = roles.gateways[index].take() else {
        return vec![];
    };
    let mut late = Fault::new(FaultKind::Late);
    late.delay_ms = STOP_DELAY_MS;
    set_fault(roles, shape.service, late);
    let address = gateway.http();
    let calls = (0..STOP_CALLS).map(|i| {
        let ask = traffic::ask(shape, EVENT_NUMBER + i);
        tokio::spawn(traffic::call_at(address, shape, ask))
    });
    let calls: Vec<_> = calls.collect();
    wait_runs(roles, shape).await;
    gateway.stop().await;
    set_fault(roles, shape.service, Fault::default());
    let records = join_all(calls).await;
    records.into_iter().flatten().collect()
}

/// Waits until all calls of [`stop_gateway`] have reached an instance.
async fn wait_runs(roles: &Roles, shape: Shape) {
    let path = |i| traffic::ask(shape, EVENT_NUMBER + i).path;
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
    let own = |name: &&String| name.rsplit_once('-').is_some_and(|(s, _)| s == service);
    for name in roles.upstreams.keys().filter(own) {
        roles.upstreams[name].set_fault(fault);
    }
}

/// Changes one entry of the catalogue; the time until it was in force everywhere.
///
/// # Errors
///
/// Fails when the change is refused or is not in force in time.
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
