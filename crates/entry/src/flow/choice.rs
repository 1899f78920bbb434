//! Finds an instance for an attempt, through the service's dispatcher if it has one.

use std::time::Duration;

use route::DomainIndex;
use route::Evidence;
use route::Need;
use slog::info;
use table::Kind;
use tokio::time::Instant;

use super::Flow;
use super::millis;
use super::workspace;
use crate::balancer::SelectedInstance;
use crate::balancer::per_second;
use crate::body::ForwardedBody;
use crate::placement;
use crate::refusal::Reason;
use crate::search;
use crate::search::SearchRequest;
use crate::search::SearchResult;
use crate::search::SearchScope;

/// Interval at which a waiting request searches again: capacity that other processes'
/// requests free up isn't noticed otherwise.
const SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// Multiple of the usual work time that must remain before the latency target for a request
/// to wait. The margin covers the spread of work times and slow instances.
const WORK_MARGIN: f64 = 1.3;
/// Added to the priority value of a request that can't meet its latency target any more.
const LATE_PRIORITY_OFFSET: u32 = 1_000;
/// Maximum share of an instance's slots that may be taken when a late request is sent.
/// After an outage, late requests would otherwise delay the new ones.
const LATE_MAX_OCCUPANCY: f64 = 0.5;
/// The same share for a request that was refused before. Beyond it, instances slow down, and new
/// requests are answered late.
const LATE_RETURNING_MAX_OCCUPANCY: f64 = 0.8;

impl Flow {
    /// Selects an instance for the next attempt.
    pub(super) async fn choose(&mut self) -> Result<SelectedInstance, Reason> {
        // Under low load the dispatcher is asked only if this process finds no good instance at
        // once: each question costs CPU time and bytes between failure domains.
        // The dispatcher of a part is always asked: only then it knows the state of its part, and
        // it is near.
        let mut ask_dispatcher = self
            .balancer(|balancer, _| balancer.has_parts() || balancer.is_busy())
            .unwrap_or(false);
        loop {
            if self.wait_until_stop().is_some_and(|left| left.is_zero()) {
                return Err(Reason::Stopping);
            }
            let request = self.search_request();
            match self.find_instance(&request, ask_dispatcher).await {
                SearchResult::Selected(chosen) => return Ok(chosen),
                SearchResult::Wait => ask_dispatcher = true,
                SearchResult::Full(retry_after) => {
                    self.retry_after = retry_after;
                    return Err(Reason::Full);
                }
                SearchResult::None => return Err(Reason::NoInstance),
            }
        }
    }

    /// Like `choose`, and buffers the request body meanwhile.
    pub(super) async fn choose_while_buffering(
        &mut self,
        body: &ForwardedBody,
    ) -> Result<SelectedInstance, Reason> {
        let Some(spool) = body.spool() else {
            return self.choose().await;
        };
        let mut choosing = std::pin::pin!(self.choose());
        tokio::select! {
            biased;
            chosen = &mut choosing => chosen,
            () = spool.fill() => choosing.await,
        }
    }

    /// Searches once, through the dispatcher if there is one and `ask_dispatcher` is set.
    pub(super) async fn find_instance(
        &self,
        request: &SearchRequest,
        ask_dispatcher: bool,
    ) -> SearchResult {
        // Nothing that the dispatcher grants could be used while all are backed off.
        let ask_dispatcher = ask_dispatcher && !self.all_are_backed_off();
        let dispatcher = self.core.dispatcher(&self.service);
        let request_id = self.request.id.to_str().unwrap_or("-");
        if ask_dispatcher
            && let Some(result) =
                placement::ask_parts(&self.core, &self.service, request_id, request).await
        {
            return result;
        }
        if let Some(address) = dispatcher.filter(|_| ask_dispatcher) {
            let result =
                placement::ask(&self.core, address, &self.service, request_id, request).await;
            if let Some(result) = result {
                return result;
            }
        }
        let max_wait = if ask_dispatcher || dispatcher.is_none() {
            SEARCH_INTERVAL
        } else {
            Duration::ZERO
        };
        search::search(&self.core, &self.service, request, max_wait).await
    }

    /// When a request that is refused for lack of capacity may come back, as far as this process
    /// knows.
    pub(super) fn estimated_return(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        self.balancer(|balancer, now| balancer.retry_after(now, remaining))
    }

    /// When the request, which is refused for lack of capacity, may come back.
    pub(super) fn full_return(&self) -> Option<Duration> {
        let told = self.retry_after.or_else(|| self.estimated_return());
        self.log_full(told);
        if let Some(delay) = told {
            let returning = self.return_wait.is_some();
            self.core.counters.told(&self.service, returning, delay);
        }
        told
    }

    /// Logs the refusal of a request for lack of capacity.
    fn log_full(&self, told: Option<Duration>) {
        let by = if self.retry_after.is_some() {
            "dispatcher"
        } else {
            "self"
        };
        let state = self.balancer(|balancer, now| balancer.queue_state(now));
        let state = state.unwrap_or_default();
        let workspace = self.workspace.as_ref();
        info!(self.core.log, "no capacity"; "request" => self.request.id.to_str().unwrap_or("-"),
            "service" => %self.service, "by" => by,
            "workspace" => workspace.map_or("-", |workspace| workspace.name.as_str()),
            "returning" => self.return_wait.is_some(), "late" => self.is_late(),
            "waiting" => state.waiting, "slots_per_s" => per_second(&state),
            "overloaded" => state.is_overloaded, "held_ms" => millis(self.started_at.elapsed()),
            "told_ms" => told.map_or(0, millis));
    }

    /// The current requirements of the next attempt. A late request yields to all others.
    pub(super) fn search_request(&self) -> SearchRequest {
        SearchRequest {
            need: self.need(),
            priority: workspace::priority(&self.route, self.workspace.as_deref())
                + if self.is_late() {
                    LATE_PRIORITY_OFFSET
                } else {
                    0
                },
            workspace: self
                .workspace
                .as_ref()
                .map(|workspace| workspace.name.clone()),
            weight: workspace::weight(self.workspace.as_deref()),
            returning: self.return_wait.is_some(),
            exclude: self.exclude.clone(),
            max_wait: self.before_stop(self.max_wait().saturating_sub(self.started_at.elapsed())),
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            scope: SearchScope::default(),
        }
    }

    /// The part of `wait` in which the request may still be passed on.
    fn before_stop(&self, wait: Duration) -> Duration {
        self.wait_until_stop().map_or(wait, |left| wait.min(left))
    }

    /// How long after its start the request may wait for capacity and still meet its latency
    /// target. A late request is refused at once so that its caller can try elsewhere. One that was
    /// refused before and isn't late yet may wait a little longer.
    fn max_wait(&self) -> Duration {
        let in_time = self
            .aim
            .saturating_sub(self.work_time().mul_f64(WORK_MARGIN));
        let return_wait = self.return_wait.filter(|_| !self.is_late());
        in_time.max(return_wait.unwrap_or_default())
    }

    /// Whether the usual work time ends after the latency target.
    pub(super) fn is_late(&self) -> bool {
        self.started_at.elapsed() + self.work_time() > self.aim
    }

    /// Usual work time of the route.
    pub(super) fn work_time(&self) -> Duration {
        self.core
            .route_stats(&self.route, |stats| stats.work_time())
    }

    /// What the request currently needs of an instance.
    fn need(&self) -> Need {
        let aim = self.route.aim.unwrap_or(self.caller_timeout / 2);
        let remaining = self.aim.saturating_sub(self.started_at.elapsed());
        let price = self.core.settings().crossing();
        // A late request still needs the fastest response.
        let aim = remaining.max(aim / 4);
        Need {
            work: self.work_time(),
            aim,
            crossing: self
                .core
                .route_stats(&self.route, |stats| stats.crossing_cost(price)),
            max_occupancy: match (self.is_late(), self.return_wait) {
                (false, _) => 1.0,
                (true, Some(_)) => LATE_RETURNING_MAX_OCCUPANCY,
                (true, None) => LATE_MAX_OCCUPANCY,
            },
            domain_index: DomainIndex::OWN,
            evidence: self.evidence(),
        }
    }

    /// What must be known of an instance. One that can't queue a request never answers it, and one
    /// that may run only once is lost then.
    fn evidence(&self) -> Evidence {
        if self.route.kind != Kind::Once {
            return Evidence::Any;
        }
        self.balancer(|balancer, _| balancer.evidence_for_once())
            .unwrap_or_default()
    }
}
