//! Grants instances to other entry processes.

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
use super::word;
use crate::balancer::Balancer;
use crate::core::Core;
use crate::search;
use crate::search::SearchRequest;
use crate::search::SearchResult;

/// How long a question is held while there is no room. The asker asks again, so that it
/// learns soon whether the dispatcher lives; each time costs both a question.
const HOLD: Duration = Duration::from_millis(30);

/// The service, one clone a question.
#[derive(Clone)]
pub struct PlacementServer {
    core: Arc<Core>,
}

impl PlacementServer {
    /// Grants what the desks of `core` choose.
    #[must_use]
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    fn want(&self, service: &ServiceName, ask: &Ask) -> Option<SearchRequest> {
        let domain = DomainName::new(&ask.domain).ok()?;
        self.core.balancer(service, |balancer, _| SearchRequest {
            need: balancer.need_from_ask(ask, &domain),
            rank: ask.priority,
            exclude: balancer.picks(&ask.exclude),
            patience: duration_from_micros(ask.patience_us),
            left: duration_from_micros(ask.left_us),
        })
    }

    async fn find(&self, service: &ServiceName, ask: &Ask) -> Option<Placed> {
        let want = self.want(service, ask)?;
        let began = Instant::now();
        let found = search::search(&self.core, service, &want, HOLD).await;
        let left = want.left.saturating_sub(began.elapsed());
        match found {
            SearchResult::Selected(chosen) => self.core.balancer(service, |balancer, now| {
                balancer.grant(now, &chosen, now + left)
            }),
            SearchResult::Wait => Some(outcome(Outcome::Wait)),
            SearchResult::Full(_) => {
                let back = self.core.balancer(service, Balancer::retry_after)?;
                Some(Placed {
                    back_us: micros(back),
                    ..outcome(Outcome::Full)
                })
            }
            SearchResult::None => None,
        }
    }

    fn note(&self, ask: &Ask, placed: &Placed, span: Duration) {
        if placed.outcome() == Outcome::Wait {
            // The asker asks again at once; its last answer is told.
            return;
        }
        info!(self.core.log, "placed"; "request" => &ask.request, "from" => &ask.host,
            "service" => &ask.service, "outcome" => word(placed), "instance" => &placed.instance,
            "grant" => placed.grant, "in_flight" => placed.in_flight,
            "age_us" => placed.age_us, "expected_us" => placed.expected_us,
            "back_us" => placed.back_us, "us" => micros(span));
    }
}

fn outcome(outcome: Outcome) -> Placed {
    Placed {
        outcome: outcome.into(),
        ..Placed::default()
    }
}

impl PlaceApi for PlacementServer {
    async fn place(self, _: Context, ask: Ask) -> Placed {
        let began = Instant::now();
        let Ok(service) = ServiceName::new(&ask.service) else {
            warn!(self.core.log, "bad question for an instance"; "from" => &ask.host);
            return Placed::default();
        };
        let placed = self.find(&service, &ask).await.unwrap_or_default();
        self.note(&ask, &placed, began.elapsed());
        placed
    }

    async fn ended(self, _: Context, end: Ended) {
        let Ok(service) = ServiceName::new(&end.service) else {
            warn!(self.core.log, "bad end of an attempt"; "grant" => end.grant);
            return;
        };
        let told = end.report.as_ref().map(report_from_wire);
        let kind = kind_from_wire(end.kind());
        self.core.balancer(&service, |balancer, now| {
            balancer.release_grant(now, end.grant, kind, told)
        });
    }
}

/// Serves one connection to its end.
pub async fn serve(
    channel: Transport<ClientMessage<PlaceApiRequest>, Response<PlaceApiResponse>>,
    server: PlacementServer,
) {
    BaseChannel::with_defaults(channel)
        .execute(server.serve())
        .for_each(|question| {
            tokio::spawn(question);
            std::future::ready(())
        })
        .await;
}
