//! Tracks a response whose body is streamed to the caller, until it ends.
//!
//! A complete response updates the route's statistics and releases its connection; one that
//! breaks off counts as a failure of the instance. Neither is known of a response that another
//! entry process relays.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bounds::ResponseCharge;
use route::ScoredChoice;
use slog::warn;
use table::Route;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::body::BodyError;
use crate::core::Core;
use crate::crash;
use crate::crash::BrokenAttempt;
use crate::crash::RequestIdentity;
use crate::pool::Connection;
use crate::relay::PeerLease;
use crate::route_stats::RouteStats;
use crate::view::Upstream;

/// A streamed response ends if no data arrives for this long after the request's deadline.
/// Covers the retransmission of a lost packet.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The connection on which a response arrives.
#[derive(Debug)]
pub struct ResponseSource {
    /// The memory of its buffers.
    pub charge: ResponseCharge,
    /// The connection.
    pub connection: Connection,
    /// Whether the connection can be used for another request afterwards.
    pub reusable: bool,
    /// How long the instance keeps the connection open, if it says so.
    pub keep_alive: Option<Duration>,
}

/// The request to which a response belongs.
pub struct ResponseContext {
    /// State of the process.
    pub core: Arc<Core>,
    /// The request.
    pub request: RequestIdentity,
    /// Its route.
    pub route: Arc<Route>,
    /// Who responds.
    pub responder: Responder,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Size of the request body, 0 if unknown.
    pub request_bytes: u64,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// The process that a response comes from.
pub enum Responder {
    /// An instance, and the data on which its choice is based.
    Instance(Arc<Upstream>, ScoredChoice),
    /// Another entry process, which relays the response.
    Peer(PeerLease),
}

/// A response in progress. If dropped before its end, the caller has disconnected.
pub struct StreamTracker {
    context: ResponseContext,
    source: ResponseSource,
    /// Size of the response body received so far.
    received: u64,
    last_progress: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StreamTracker {
    /// Starts tracking a response whose head has arrived.
    #[must_use]
    pub fn new(context: ResponseContext, source: ResponseSource) -> Self {
        Self {
            timer: Box::pin(tokio::time::sleep_until(context.deadline + STALL_TIMEOUT)),
            context,
            source,
            received: 0,
            last_progress: Instant::now(),
        }
    }

    /// Records that `bytes` more of the body have arrived.
    pub fn record_received(&mut self, bytes: usize) {
        self.received += bytes as u64;
        self.last_progress = Instant::now();
    }

    /// Ready once the response has stalled after the request's deadline.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let next = self.last_progress + STALL_TIMEOUT;
            if next <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next);
        }
        Poll::Pending
    }

    /// Records that the response is complete.
    pub fn complete(self) {
        let context = self.context;
        let pool = match &context.responder {
            Responder::Peer(lease) => {
                let latency = context.sent_at.elapsed();
                let record = |stats: &mut RouteStats| stats.record_relayed(latency);
                context.core.route_stats(&context.route, record);
                &lease.peer().pool
            }
            Responder::Instance(upstream, choice) => {
                context.request.record_success(&context.core);
                let latency = context.sent_at.elapsed();
                let bytes = context.request_bytes + self.received;
                let record = |stats: &mut RouteStats| stats.record_response(latency, choice, bytes);
                context.core.route_stats(&context.route, record);
                &upstream.pool
            }
        };
        if self.source.reusable {
            pool.keep(self.source.connection, self.source.keep_alive);
        }
    }

    /// Records that the response broke off.
    pub fn record_error(self, err: &BodyError) {
        let context = &self.context;
        let (upstream, choice) = match &context.responder {
            Responder::Instance(upstream, choice) => (upstream, choice),
            Responder::Peer(lease) => {
                let address = lease.peer().address;
                self.log_error(&address.to_string(), err);
                return;
            }
        };
        self.log_error(upstream.id.as_str(), err);
        let service = &upstream.service;
        context.core.counters.response_aborted(service);
        let pick = choice.pick;
        context.core.balancer(service, |balancer, now| {
            balancer.record_broken_response(now, pick);
        });
        let broken = BrokenAttempt {
            request: context.request.clone(),
            upstream: Arc::clone(upstream),
            sent_at: context.sent_at,
            broken_at: Instant::now(),
        };
        crash::check(&context.core, broken);
    }

    fn log_error(&self, responder: &str, err: &BodyError) {
        let context = &self.context;
        warn!(context.core.log, "answer broke off";
            "request" => context.request.id.to_str().unwrap_or("-"), "instance" => responder,
            "route" => &*context.route.name, "bytes" => self.received,
            "ms" => u64::try_from(context.sent_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            "error" => %err);
    }
}
