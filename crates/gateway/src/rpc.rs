//! Operators' port, which serves the requests `explain` and `drain`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use futures::StreamExt;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::accept::Acceptor;
use wire::api::GatewayApi;
use wire::api::GatewayApiRequest;
use wire::api::GatewayApiResponse;
use wire::gateway::Candidate;
use wire::gateway::DrainReply;
use wire::gateway::Explain;
use wire::gateway::ExplainReply;
use wire::link;
use wire::link::MAX_PENDING;

use crate::core::Core;
use crate::core::Phase;

/// Maximum number of concurrent connections from operators.
const MAX_CONNECTIONS: usize = 64;

#[derive(Clone)]
struct Operators(Arc<Core>);

/// Serves operators at `address`; returns the bound address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(core: Arc<Core>, address: SocketAddr) -> io::Result<SocketAddr> {
    let incoming =
        link::listen::<ClientMessage<GatewayApiRequest>, Response<GatewayApiResponse>>(address)
            .await?;
    let bound = incoming.local_addr();
    let acceptor = Acceptor {
        max_connections: MAX_CONNECTIONS,
        stop: core.shutdown_token().clone(),
        log: core.log.clone(),
    };
    let spawner = core.clone();
    spawner.spawn(acceptor.run(incoming, move |transport| {
        let config = tarpc::server::Config {
            pending_response_buffer: MAX_PENDING,
        };
        BaseChannel::new(config, transport)
            .execute(Operators(core.clone()).serve())
            .for_each_concurrent(MAX_PENDING, |call| call)
    }));
    Ok(bound)
}

impl GatewayApi for Operators {
    async fn explain(self, _: Context, request: Explain) -> ExplainReply {
        let core = &self.0;
        let view = core.view();
        let mut reply = ExplainReply {
            version: view.version(),
            fenced: core.is_fenced(),
            queued: 0,
            in_flight: core.in_flight.count(),
            candidates: Vec::new(),
        };
        let Ok(service) = ServiceName::new(&request.service) else {
            return reply;
        };
        let counts = core.queue.counts(&service);
        reply.queued = counts.queued;
        reply.in_flight = counts.running;
        if let Some(balancer) = core.balancers.get(&service) {
            let views = balancer.state().chooser.views(core.clock.now());
            reply.candidates = views.iter().map(candidate).collect();
        }
        reply
    }

    async fn drain(self, _: Context) -> DrainReply {
        self.0.phase.send_if_modified(|phase| {
            let serving = *phase == Phase::Serving;
            if serving {
                *phase = Phase::Stopping;
            }
            serving
        });
        DrainReply {
            in_flight: self.0.in_flight.count(),
        }
    }
}

fn candidate(view: &route::View) -> Candidate {
    Candidate {
        instance: view.id.to_string(),
        health: format!("{}/{}", view.phase, view.health),
        in_flight: view.in_flight,
        latency_us: u32::try_from(view.latency.as_micros()).unwrap_or(u32::MAX),
        age_ms: view
            .age
            .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
        chosen_millis: view.chosen,
        reason: view.reason.map(|r| r.to_string()).unwrap_or_default(),
    }
}
