//! The rest of an answer whose head was passed on, until it has ended.
//!
//! What its instance does then counts as what it does before its head: an answer that is
//! whole teaches how long the route's work takes and leaves a connection for the next
//! request, one that breaks off tells against the instance.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use route::FreshChoice;
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
use crate::route_stats::RouteStats;
use crate::view::Upstream;

/// An answer that has come no further for so long after its request's time was up has ended
/// for its caller: over the time in which a lost packet is sent again, and half of what
/// callers are kept waiting beyond that time at most.
const STALL: Duration = Duration::from_millis(250);

/// Where the answer comes from.
#[derive(Debug)]
pub struct ResponseSource {
    /// The connection on which it comes.
    pub connection: Connection,
    /// Whether that may take another request after it.
    pub reusable: bool,
    /// How long the instance keeps it, where it says so.
    pub kept: Option<Duration>,
}

/// What it answers.
pub struct ResponseContext {
    /// The process.
    pub core: Arc<Core>,
    /// The request.
    pub subject: RequestIdentity,
    /// The request's route.
    pub route: Arc<Route>,
    /// The instance.
    pub upstream: Arc<Upstream>,
    /// What the choice of it rested on.
    pub choice: FreshChoice,
    /// When the request was sent there.
    pub sent: Instant,
    /// Bytes of the request's body.
    pub bytes: u64,
    /// When the request's time is up.
    pub end: Instant,
}

/// An answer under way. One that is dropped before its end was left by its caller.
pub struct StreamTracker {
    context: ResponseContext,
    origin: ResponseSource,
    /// Bytes of the answer's body that have come.
    came: u64,
    at: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StreamTracker {
    /// An answer whose head has come.
    #[must_use]
    pub fn new(context: ResponseContext, origin: ResponseSource) -> Self {
        Self {
            timer: Box::pin(tokio::time::sleep_until(context.end + STALL)),
            context,
            origin,
            came: 0,
            at: Instant::now(),
        }
    }

    /// Takes that so many bytes have come.
    pub fn came(&mut self, bytes: usize) {
        self.came += bytes as u64;
        self.at = Instant::now();
    }

    /// Ready once the answer has stalled after its request's time.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let next = self.at + STALL;
            if next <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next);
        }
        Poll::Pending
    }

    /// The answer has ended whole.
    pub fn whole(self) {
        let context = self.context;
        context.subject.succeeded(&context.core);
        let latency = context.sent.elapsed();
        let bytes = context.bytes + self.came;
        let learn =
            |route_stats: &mut RouteStats| route_stats.learn(latency, &context.choice, bytes);
        context.core.route_stats(&context.route, learn);
        if self.origin.reusable {
            let ResponseSource {
                connection, kept, ..
            } = self.origin;
            context.upstream.pool.keep(connection, kept);
        }
    }

    /// The answer ended before it was whole.
    pub fn broke_off(self, err: &BodyError) {
        let context = &self.context;
        let service = &context.upstream.service;
        warn!(context.core.log, "answer broke off";
            "request" => context.subject.id.to_str().unwrap_or("-"), "instance" => %context.upstream.id,
            "service" => %service, "bytes" => self.came,
            "ms" => u64::try_from(context.sent.elapsed().as_millis()).unwrap_or(u64::MAX),
            "error" => %err);
        context.core.counters.broke_off(service);
        let pick = context.choice.pick;
        context.core.balancer(service, |balancer, now| {
            balancer.record_broken_response(now, pick)
        });
        let broken = BrokenAttempt {
            subject: context.subject.clone(),
            upstream: Arc::clone(&context.upstream),
            sent: context.sent,
            at: Instant::now(),
        };
        crash::look(&context.core, broken);
    }
}
