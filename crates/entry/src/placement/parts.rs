//! Finds an instance through the dispatchers of a service's parts.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::parts::PartId;
use dispatch::parts::PartLoad;
use dispatch::parts::PartReason;
use slog::info;
use tokio::time::Instant;

use super::ask;
use super::server::MAX_HOLD;
use crate::balancer::PartTarget;
use crate::core::Core;
use crate::search;
use crate::search::SearchRequest;
use crate::search::SearchResult;
use crate::search::SearchScope;

/// Maximum number of parts that answer one search without a grant. Under overload, each further
/// part costs two processes a message and finds nothing.
const MAX_ANSWERS: usize = 3;
/// Time after which a search asks no further part: two dispatchers that don't answer, or three
/// that hold the request.
const MAX_SEARCH: Duration = Duration::from_millis(120);

/// The answers of parts that granted nothing.
#[derive(Default)]
struct Answers {
    count: usize,
    waits: bool,
    /// The earliest time after which to retry.
    retry_after: Option<Duration>,
}

impl Answers {
    fn add(&mut self, result: &SearchResult) {
        self.count += 1;
        match result {
            SearchResult::Full(retry_after) => {
                let both = self.retry_after.into_iter().chain(*retry_after);
                self.retry_after = both.min();
            }
            _ => self.waits = true,
        }
    }

    /// The result of the search; `None` if no part answered.
    fn result(&self) -> Option<SearchResult> {
        match self.count {
            0 => None,
            _ if self.waits => Some(SearchResult::Wait),
            _ => Some(SearchResult::Full(self.retry_after)),
        }
    }
}

/// Asks parts of the service in turn, until one grants an instance. Returns `None` if none answers
/// or the service has no parts.
pub async fn ask_parts(
    core: &Arc<Core>,
    service: &ServiceName,
    request_id: &str,
    request: &SearchRequest,
) -> Option<SearchResult> {
    let started_at = Instant::now();
    let mut tried: Vec<PartId> = Vec::new();
    let mut answers = Answers::default();
    while answers.count < MAX_ANSWERS && started_at.elapsed() < MAX_SEARCH {
        let crossing = request.need.crossing;
        let target = core.balancer(service, |balancer, now| {
            balancer.next_part(now, &tried, crossing)
        });
        let Some(target) = target.flatten() else {
            break;
        };
        let request = request_to_part(core, service, request, &target, started_at.elapsed());
        let result = ask_part(core, service, request_id, &request, &target).await;
        log_part(core, service, request_id, &target, result.as_ref());
        tried.push(target.id);
        match result {
            Some(SearchResult::Selected(chosen)) => return Some(SearchResult::Selected(chosen)),
            Some(result) => answers.add(&result),
            None => {}
        }
    }
    answers.result()
}

/// The request, restricted to the part, after it has waited for `elapsed` already.
fn request_to_part(
    core: &Core,
    service: &ServiceName,
    request: &SearchRequest,
    target: &PartTarget,
    elapsed: Duration,
) -> SearchRequest {
    let connected = core.balancer(service, |balancer, _| balancer.connected(&target.id));
    SearchRequest {
        max_wait: request.max_wait.saturating_sub(elapsed),
        remaining: request.remaining.saturating_sub(elapsed),
        scope: SearchScope {
            part: Some(target.id.clone()),
            connected: connected.unwrap_or_default(),
        },
        ..request.clone()
    }
}

/// Asks the dispatcher of a part, which may be this process; `None` if it doesn't answer or knows
/// no instance.
async fn ask_part(
    core: &Arc<Core>,
    service: &ServiceName,
    request_id: &str,
    request: &SearchRequest,
    target: &PartTarget,
) -> Option<SearchResult> {
    let result = match target.address {
        Some(address) => ask(core, address, service, request_id, request).await,
        None => match search::search(core, service, request, MAX_HOLD).await {
            SearchResult::None => None,
            result => Some(result),
        },
    };
    if result.is_none() {
        core.balancer(service, |balancer, now| {
            balancer.record_part_answer(now, &target.id, PartLoad::default(), false);
        });
    }
    result
}

/// Counts the choice of a part, and logs it unless another process granted an instance of the home
/// part.
fn log_part(
    core: &Core,
    service: &ServiceName,
    request_id: &str,
    target: &PartTarget,
    result: Option<&SearchResult>,
) {
    let outcome = match result {
        Some(SearchResult::Selected(_)) => "granted",
        Some(SearchResult::Wait) => "wait",
        Some(SearchResult::Full(_)) => "full",
        Some(SearchResult::None) | None => "lost",
    };
    let reason = target.choice.reason;
    core.counters.part(service, reason.into(), outcome);
    if reason == PartReason::Home && outcome == "granted" && target.address.is_some() {
        // The dispatcher's line names the part.
        return;
    }
    let reason: &'static str = reason.into();
    let age = target.choice.age;
    info!(core.log, "part"; "request" => request_id, "service" => %service,
        "part" => %target.id, "reason" => reason,
        "free" => format!("{:.2}", target.choice.free),
        "age_ms" => age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1)),
        "outcome" => outcome);
}
