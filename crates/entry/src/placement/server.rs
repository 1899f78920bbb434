//! Server that grants instances to other entry processes.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use dispatch::parts::PartId;
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
use wire::place::Part;
use wire::place::Placed;
use wire::quota::Acquire;
use wire::quota::GiveBack;
use wire::quota::Permits;
use wire::quota::Transfer;
use wire::quota::TransferReply;

use super::convert::duration_from_micros;
use super::convert::kind_from_wire;
use super::convert::micros;
use super::convert::report_from_wire;
use super::outcome_label;
use crate::balancer::per_second;
use crate::core::Core;
use crate::quota;
use crate::search;
use crate::search::SearchRequest;
use crate::search::SearchResult;
use crate::search::SearchScope;

/// How long a request is held while no instance has capacity. The short hold tells the
/// client quickly whether the dispatcher is alive, at the cost of repeated requests.
pub(super) const MAX_HOLD: Duration = Duration::from_millis(30);

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
        let part = match &ask.part {
            Some(part) => Some(part_from_wire(part)?),
            None => None,
        };
        self.core.balancer(service, |balancer, _| SearchRequest {
            need: balancer.need_from_ask(ask, &domain),
            priority: ask.priority,
            workspace: WorkspaceName::new(&ask.workspace).ok(),
            weight: if ask.weight > 0.0 { ask.weight } else { 1.0 },
            returning: ask.returning,
            exclude: balancer.picks(&ask.exclude),
            max_wait: duration_from_micros(ask.patience_us),
            remaining: duration_from_micros(ask.left_us),
            scope: SearchScope {
                part,
                connected: balancer.picks(&ask.connected),
            },
        })
    }

    /// The answer, with the load of the part that was asked for.
    fn with_load(&self, service: &ServiceName, request: &SearchRequest, placed: Placed) -> Placed {
        let Some(part) = &request.scope.part else {
            return placed;
        };
        let load = self
            .core
            .balancer(service, |balancer, now| balancer.part_load(now, part));
        let load = load.unwrap_or_default();
        Placed {
            part_slots: load.slots,
            part_in_flight: load.in_flight,
            part_waiting: load.waiting,
            ..placed
        }
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
        let placed = match result {
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
        };
        placed.map(|placed| self.with_load(service, &request, placed))
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
            "service" => &ask.service, "part" => part_label(ask),
            "outcome" => outcome_label(placed),
            "workspace" => &ask.workspace, "returning" => ask.returning,
            "waiting" => state.waiting, "slots_per_s" => per_second(&state),
            "overloaded" => state.is_overloaded,
            "instance" => &placed.instance,
            "grant" => placed.grant, "in_flight" => placed.in_flight,
            "age_us" => placed.age_us, "expected_us" => placed.expected_us,
            "back_us" => placed.back_us, "us" => micros(elapsed));
    }
}

fn part_from_wire(part: &Part) -> Option<PartId> {
    Some(PartId {
        domain: DomainName::new(&part.domain).ok()?,
        number: part.number,
    })
}

fn part_label(ask: &Ask) -> String {
    let part = ask.part.as_ref();
    part.map_or_else(
        || "-".to_owned(),
        |part| format!("{}/{}", part.domain, part.number),
    )
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

    async fn acquire(self, _: Context, ask: Acquire) -> Permits {
        quota::serve_acquire(&self.core, &ask).await
    }

    async fn transfer(self, _: Context, ask: Transfer) -> TransferReply {
        quota::serve_transfer(&self.core, &ask)
    }

    async fn give_back(self, _: Context, permits: GiveBack) {
        quota::serve_give_back(&self.core, &permits);
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
