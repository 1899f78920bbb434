//! Server that grants instances to other entry processes.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures::StreamExt;
use slog::info;
use slog::warn;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::time::Instant;
use wire::api::PlaceApi;
use wire::api::PlaceApiRequest;
use wire::api::PlaceApiResponse;
use wire::link::Channel as Transport;
use wire::place::Ask;
use wire::place::Ended;
use wire::place::Outcome;
use wire::place::Placed;

use super::convert::duration_from_micros;
use super::convert::kind_from_wire;
use super::convert::micros;
use super::convert::report_from_wire;
use super::outcome_label;
use crate::balancer::per_second;
use crate::core::Core;
use crate::search;
use crate::search::SearchRequest;
use crate::search::SearchResult;

/// How long a request is held while no instance has capacity. The short hold tells the
/// client quickly whether the dispatcher is alive, at the cost of repeated requests.
const MAX_HOLD: Duration = Duration::from_millis(30);

/// The placement service; each request is served by a clone.
#[derive(Clone)]
pub struct PlacementServer {
    core: Arc<Core>,
}

impl PlacementServer {
    /// Creates a server that grants the instances selected by the balancers of `core`.
    #[must_use]
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    fn search_request(&self, service: &ServiceName, ask: &Ask) -> Option<SearchRequest> {
        let domain = DomainName::new(&ask.domain).ok()?;
        self.core.balancer(service, |balancer, _| SearchRequest {
            need: balancer.need_from_ask(ask, &domain),
            priority: ask.priority,
            workspace: WorkspaceName::new(&ask.workspace).ok(),
            weight: if ask.weight > 0.0 { ask.weight } else { 1.0 },
            returning: ask.returning,
            exclude: balancer.picks(&ask.exclude),
            max_wait: duration_from_micros(ask.patience_us),
            remaining: duration_from_micros(ask.left_us),
        })
    }

    async fn find(&self, service: &ServiceName, ask: &Ask) -> Option<Placed> {
        // Others may reach the instances.
        if self.core.is_cut_off(service) {
            return None;
        }
        let request = self.search_request(service, ask)?;
        let started_at = Instant::now();
        let result = search::search(&self.core, service, &request, MAX_HOLD).await;
        let remaining = request.remaining.saturating_sub(started_at.elapsed());
        match result {
            SearchResult::Selected(chosen) => self.core.balancer(service, |balancer, now| {
                balancer.grant(now, &chosen, now + remaining)
            }),
            SearchResult::Wait => Some(placed_with(Outcome::Wait)),
            SearchResult::Full(_) => {
                let retry_after = self.core.balancer(service, |balancer, now| {
                    balancer.retry_after(now, remaining)
                })?;
                Some(Placed {
                    back_us: micros(retry_after),
                    ..placed_with(Outcome::Full)
                })
            }
            SearchResult::None => None,
        }
    }

    fn log_placement(&self, service: &ServiceName, ask: &Ask, placed: &Placed, elapsed: Duration) {
        if placed.outcome() == Outcome::Wait {
            // The client asks again at once; only the final answer is logged.
            return;
        }
        let state = self
            .core
            .balancer(service, |balancer, now| balancer.queue_state(now));
        let state = state.unwrap_or_default();
        info!(self.core.log, "placed"; "request" => &ask.request, "from" => &ask.host,
            "service" => &ask.service, "outcome" => outcome_label(placed),
            "workspace" => &ask.workspace, "returning" => ask.returning,
            "waiting" => state.waiting, "slots_per_s" => per_second(&state),
            "overloaded" => state.is_overloaded,
            "instance" => &placed.instance,
            "grant" => placed.grant, "in_flight" => placed.in_flight,
            "age_us" => placed.age_us, "expected_us" => placed.expected_us,
            "back_us" => placed.back_us, "us" => micros(elapsed));
    }
}

fn placed_with(outcome: Outcome) -> Placed {
    Placed {
        outcome: outcome.into(),
        ..Placed::default()
    }
}

impl PlaceApi for PlacementServer {
    async fn place(self, _: Context, ask: Ask) -> Placed {
        let started_at = Instant::now();
        let Ok(service) = ServiceName::new(&ask.service) else {
            warn!(self.core.log, "invalid placement request"; "from" => &ask.host);
            return Placed::default();
        };
        let placed = self.find(&service, &ask).await.unwrap_or_default();
        self.log_placement(&service, &ask, &placed, started_at.elapsed());
        placed
    }

    async fn ended(self, _: Context, end: Ended) {
        let Ok(service) = ServiceName::new(&end.service) else {
            warn!(self.core.log, "invalid release of a grant"; "grant" => end.grant);
            return;
        };
        let report = end.report.as_ref().map(report_from_wire);
        let kind = kind_from_wire(end.kind());
        self.core.balancer(&service, |balancer, now| {
            balancer.release_grant(now, end.grant, kind, report);
        });
    }
}

/// Serves one connection until it closes.
pub async fn serve(
    channel: Transport<ClientMessage<PlaceApiRequest>, Response<PlaceApiResponse>>,
    server: PlacementServer,
) {
    BaseChannel::with_defaults(channel)
        .execute(server.serve())
        .for_each(|request| {
            tokio::spawn(request);
            std::future::ready(())
        })
        .await;
}
