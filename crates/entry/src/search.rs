//! Search for an instance for one attempt: probes, selects, and waits briefly for capacity.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::parts::PartId;
use route::Need;
use route::Pick;
use tokio::time::Instant;

use crate::balancer::SelectedInstance;
use crate::balancer::Selection;
use crate::core::Core;
use crate::probe;

/// Time after which a search in a part sends no further round of probes. A round takes up to 25 ms
/// if an instance doesn't answer; with three of them, the dispatcher would answer later than the
/// 60 ms that its callers wait, and count as lost.
const MAX_PART_PROBING: Duration = Duration::from_millis(25);

/// Requirements of an attempt.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// What the request needs of an instance.
    pub need: Need,
    /// Position in the wait queue; 0 is the most urgent.
    pub priority: u32,
    /// Instances at which the request has failed.
    pub exclude: Vec<Pick>,
    /// How long the request can wait and still meet its latency target.
    pub max_wait: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// The instances to choose from.
    pub scope: SearchScope,
}

/// The instances that a search chooses from.
#[derive(Clone, Debug, Default)]
pub struct SearchScope {
    /// A part of the service; `None` for all instances.
    pub part: Option<PartId>,
    /// Instances to which the process that sends the request has idle connections.
    pub connected: Vec<Pick>,
}

/// Result of a search.
#[derive(Debug)]
pub enum SearchResult {
    /// Send the request to this instance.
    Selected(SelectedInstance),
    /// No instance has capacity yet; search again.
    Wait,
    /// The request can't be answered in time. Contains the time after which to retry, if a
    /// dispatcher reported one.
    Full(Option<Duration>),
    /// No instance is available.
    None,
}

/// Searches once, and waits for capacity for at most `max_wait`.
pub async fn search(
    core: &Arc<Core>,
    service: &ServiceName,
    request: &SearchRequest,
    max_wait: Duration,
) -> SearchResult {
    let started_at = Instant::now();
    for round in 0.. {
        let probes = core.balancer(service, |balancer, now| {
            balancer.scoped(now, &request.scope, |balancer| {
                balancer.plan_probes(now, &request.need, &request.exclude, round)
            })
        });
        let probes = probes.flatten().unwrap_or_default();
        if probes.is_empty() {
            break;
        }
        probe::probe_instances(core, service, probes).await;
        if request.scope.part.is_some() && started_at.elapsed() >= MAX_PART_PROBING {
            break;
        }
    }
    let selection = core.balancer(service, |balancer, now| {
        balancer.scoped(now, &request.scope, |balancer| {
            balancer.choose(now, &request.need, &request.exclude)
        })
    });
    let slow = match selection.flatten() {
        Some(Selection::Send(chosen)) => return SearchResult::Selected(chosen),
        Some(Selection::Slow(chosen)) => Some(chosen),
        Some(Selection::Wait) => None,
        Some(Selection::Full) => return SearchResult::Full(None),
        Some(Selection::None) | None => return SearchResult::None,
    };
    let elapsed = started_at.elapsed();
    let remaining_wait = request.max_wait.saturating_sub(elapsed);
    if remaining_wait.is_zero() {
        // A request that would be cut off at its deadline would waste a slot of a slow instance,
        // and its caller would get no `Retry-After`.
        let remaining = request.remaining.saturating_sub(elapsed);
        let in_time = slow.filter(|slow| slow.choice.expected < remaining);
        return in_time.map_or(SearchResult::Full(None), SearchResult::Selected);
    }
    // The answer of a part's dispatcher is due whether it probes or holds the request.
    let spent = request
        .scope
        .part
        .as_ref()
        .map_or(Duration::ZERO, |_| elapsed);
    let max_wait = remaining_wait.min(max_wait.saturating_sub(spent));
    if max_wait.is_zero() {
        return SearchResult::Wait;
    }
    let chosen = wait_for_capacity(core, service, request, max_wait).await;
    chosen.map_or(SearchResult::Wait, SearchResult::Selected)
}

/// Waits at most `max_wait` until an instance has capacity.
async fn wait_for_capacity(
    core: &Arc<Core>,
    service: &ServiceName,
    request: &SearchRequest,
    max_wait: Duration,
) -> Option<SelectedInstance> {
    let deadline = core.clock.now() + max_wait;
    let receiver = core.balancer(service, |balancer, _| {
        balancer.wait_for_capacity(request.priority, deadline)
    })?;
    let started_at = Instant::now();
    let result = tokio::time::timeout(max_wait, receiver).await;
    core.counters.waited(service, started_at.elapsed());
    let pick = result.ok()?.ok()?;
    match core.balancer(service, |balancer, now| {
        balancer.scoped(now, &request.scope, |balancer| {
            balancer.choose_instance(now, &request.need, pick)
        })
    })?? {
        Selection::Send(chosen) => Some(chosen),
        // The instance has become slow, and there is time to wait for another one.
        Selection::Slow(_) | Selection::Wait | Selection::Full | Selection::None => None,
    }
}
