//! Reports the outcome of an attempt to the chooser, also when the attempt is cancelled.

use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use http::HeaderMap;
use route::Outcome;
use route::OutcomeKind;
use route::Pick;
use route::Report;
use route::Ticket;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::balancer::Balancer;
use crate::view::UpstreamInstance;

/// An attempt in flight. Dropping the guard ends the attempt and reports its outcome.
#[derive(Debug)]
pub struct AttemptGuard {
    balancer: Arc<Balancer>,
    clock: Clock,
    ticket: Option<Ticket>,
    started_at: Moment,
    latency: Option<Duration>,
    report: Option<Report>,
    kind: OutcomeKind,
    upstream: Arc<UpstreamInstance>,
    // `None` only after the attempt has ended.
    ended: Option<EndedAttempt>,
}

/// What is left of an attempt that has ended.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The instance to which the request was sent.
    pub upstream: Arc<UpstreamInstance>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The reserved connection.
    pub connection: OwnedSemaphorePermit,
}

impl AttemptGuard {
    /// Creates the guard of the attempt `ticket` at `upstream`, which uses `connection`.
    #[must_use]
    pub fn new(
        balancer: Arc<Balancer>,
        clock: Clock,
        ticket: Ticket,
        upstream: Arc<UpstreamInstance>,
        connection: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            balancer,
            clock,
            started_at: ticket.started_at(),
            ticket: Some(ticket),
            latency: None,
            report: None,
            kind: OutcomeKind::Cancelled,
            upstream: upstream.clone(),
            ended: Some(EndedAttempt {
                upstream,
                sent_at: Instant::now(),
                connection,
            }),
        }
    }

    /// The chosen instance.
    #[must_use]
    pub fn pick(&self) -> Option<Pick> {
        self.ticket.as_ref().map(Ticket::pick)
    }

    /// The instance to which the request is sent.
    #[must_use]
    pub fn upstream(&self) -> Arc<UpstreamInstance> {
        self.upstream.clone()
    }

    /// Records the latency and the load report of the response's head.
    pub fn record_head(&mut self, headers: &HeaderMap) {
        self.latency = Some(self.clock.now().since(self.started_at));
        self.report = headers.get(header::LOAD).and_then(parse_load);
    }

    /// Records the time until the end of a successful response.
    pub fn record_end(&self) {
        let time = self.clock.now().since(self.started_at);
        self.balancer.state().recent.record(time);
    }

    /// Sets the outcome to report when the guard is dropped; the last call wins.
    pub fn set_kind(&mut self, kind: OutcomeKind) {
        self.kind = kind;
    }

    /// Ends the attempt and reports its outcome `kind`.
    #[must_use]
    pub fn end(mut self, kind: OutcomeKind) -> Option<EndedAttempt> {
        self.kind = kind;
        self.ended.take()
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.clock.now();
        let outcome = Outcome {
            kind: self.kind,
            latency: self.latency.unwrap_or_else(|| now.since(self.started_at)),
            report: self.report,
        };
        self.balancer.state().chooser.finished(now, ticket, outcome);
    }
}

/// Parses a load report `in-flight/slots`; returns `None` for any other text.
#[must_use]
pub fn parse_load(value: &http::HeaderValue) -> Option<Report> {
    let (in_flight, slots) = value.to_str().ok()?.split_once('/')?;
    let report = Report {
        in_flight: in_flight.parse().ok()?,
        slots: slots.parse().ok()?,
    };
    (report.slots > 0).then_some(report)
}
