//! Search for an instance for one attempt: probes, selects, and waits briefly for capacity.

use std::sync::Arc;
use std::time::Duration;

use admit::Waiting;
use base::prelude::*;
use dispatch::parts::PartId;
use route::Need;
use route::Pick;
use tokio::time::Instant;

use crate::balancer::FairSelection;
use crate::balancer::Offer;
use crate::balancer::SelectedInstance;
use crate::balancer::Selection;
use crate::core::Core;
use crate::probe;

/// How many times a search leaves a free slot to a waiting request that goes first, before the
/// request itself is queued.
const MAX_YIELDS: u32 = 3;
/// Share of its latency target for which a request is held under overload. Longer, its caller
/// loses time in which it could come back.
const OVERLOAD_WAIT_SHARE: f64 = 0.125;
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
    /// The workspace of the request's caller.
    pub workspace: Option<WorkspaceName>,
    /// The share of the workspace relative to others.
    pub weight: f64,
    /// Whether the request was refused before and came back. Never set unless the settings tell
    /// such requests apart.
    pub returning: bool,
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

impl SearchRequest {
    /// The place in the queue of a request that is queued for `hold` and could wait for
    /// `patience`.
    fn waiting(&self, now: Moment, hold: Duration, patience: Duration) -> Waiting {
        Waiting {
            priority: self.priority,
            workspace: self.workspace.clone(),
            weight: self.weight,
            returning: self.returning,
            deadline: now + hold,
            patience_end: now + patience,
            overload_wait: if self.returning {
                self.max_wait
            } else {
                self.need.aim.mul_f64(OVERLOAD_WAIT_SHARE)
            },
        }
    }
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
    let selection = select(core, service, request).await;
    let slow = match selection {
        Some(Selection::Send(chosen)) => return SearchResult::Selected(chosen),
        Some(Selection::Slow(chosen)) => Some(chosen),
        Some(Selection::Wait) => None,
        Some(Selection::Full) => return SearchResult::Full(None),
        Some(Selection::None) | None => return SearchResult::None,
    };
    let elapsed = started_at.elapsed();
    let remaining = request.remaining.saturating_sub(elapsed);
    let remaining_wait = request.max_wait.saturating_sub(elapsed);
    if remaining_wait.is_zero() {
        return last_resort(slow, remaining);
    }
    // The answer of a part's dispatcher is due whether it probes or holds the request.
    let spent = request
        .scope
        .part
        .as_ref()
        .map_or(Duration::ZERO, |_| elapsed);
    let hold = remaining_wait.min(max_wait.saturating_sub(spent));
    if hold.is_zero() {
        return SearchResult::Wait;
    }
    match wait_for_capacity(core, service, request, hold, remaining_wait).await {
        WaitEnd::Selected(chosen) => SearchResult::Selected(chosen),
        WaitEnd::Nothing => SearchResult::Wait,
        WaitEnd::Hopeless => {
            core.counters.hopeless(service);
            let remaining = request.remaining.saturating_sub(started_at.elapsed());
            let selection = core.balancer(service, |balancer, now| {
                balancer.scoped(now, &request.scope, |balancer| {
                    balancer.choose(now, &request.need, &request.exclude)
                })
            });
            let chosen = match selection.flatten() {
                Some(Selection::Send(chosen) | Selection::Slow(chosen)) => Some(chosen),
                _ => None,
            };
            last_resort(chosen, remaining)
        }
    }
}

/// The result for a request that waits no longer. One that would be cut off at its deadline would
/// waste a slot of a slow instance, and its caller would get no `Retry-After`.
fn last_resort(chosen: Option<SelectedInstance>, remaining: Duration) -> SearchResult {
    let in_time = chosen.filter(|chosen| chosen.choice.expected < remaining);
    in_time.map_or(SearchResult::Full(None), SearchResult::Selected)
}

/// Selects an instance, after the waiting requests that go first.
async fn select(
    core: &Arc<Core>,
    service: &ServiceName,
    request: &SearchRequest,
) -> Option<Selection> {
    for _ in 0..MAX_YIELDS {
        let selection = core.balancer(service, |balancer, now| {
            let waiting = request.waiting(now, Duration::ZERO, request.max_wait);
            balancer.scoped(now, &request.scope, |balancer| {
                balancer.choose_fairly(now, &request.need, &request.exclude, &waiting)
            })
        })?;
        match selection? {
            FairSelection::Own(selection) => return Some(selection),
            // The request that was offered the slot takes it meanwhile.
            FairSelection::Yielded => {
                core.counters.yielded(service);
                tokio::task::yield_now().await;
            }
        }
    }
    Some(Selection::Wait)
}

/// How waiting for capacity ended.
enum WaitEnd {
    Selected(SelectedInstance),
    Nothing,
    /// No instance will have capacity in time.
    Hopeless,
}

/// Waits for `hold` until an instance has capacity; the request could wait for `patience`.
async fn wait_for_capacity(
    core: &Arc<Core>,
    service: &ServiceName,
    request: &SearchRequest,
    hold: Duration,
    patience: Duration,
) -> WaitEnd {
    let receiver = core.balancer(service, |balancer, now| {
        balancer.wait_for_capacity(now, request.waiting(now, hold, patience))
    });
    let Some(receiver) = receiver else {
        return WaitEnd::Nothing;
    };
    let started_at = Instant::now();
    let result = tokio::time::timeout(hold, receiver).await;
    core.counters.waited(service, started_at.elapsed());
    let pick = match result {
        Ok(Ok(Offer::Slot(pick))) => pick,
        Ok(Ok(Offer::Hopeless)) => return WaitEnd::Hopeless,
        Ok(Err(_)) | Err(_) => return WaitEnd::Nothing,
    };
    let selection = core.balancer(service, |balancer, now| {
        balancer.scoped(now, &request.scope, |balancer| {
            balancer.choose_instance(now, &request.need, pick)
        })
    });
    match selection.flatten() {
        Some(Selection::Send(chosen)) => WaitEnd::Selected(chosen),
        // The instance has become slow, and there is time to wait for another one.
        _ => WaitEnd::Nothing,
    }
}
