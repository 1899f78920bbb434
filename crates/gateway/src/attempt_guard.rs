//! Follows one attempt and reports its end to the chooser, however it ends.

use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use http::HeaderMap;
use route::Kind;
use route::Outcome;
use route::Report;
use route::Ticket;
use tokio::sync::OwnedSemaphorePermit;

use crate::balancer::Desk;

/// One attempt in flight; its drop is its end.
#[derive(Debug)]
pub struct Track {
    desk: Arc<Desk>,
    clock: Clock,
    ticket: Option<Ticket>,
    began: Moment,
    latency: Option<Duration>,
    report: Option<Report>,
    kind: Kind,
    _connection: OwnedSemaphorePermit,
}

impl Track {
    /// Follows the attempt of `ticket`, which holds `connection`.
    #[must_use]
    pub fn new(
        desk: Arc<Desk>,
        clock: Clock,
        ticket: Ticket,
        connection: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            desk,
            clock,
            began: ticket.began(),
            ticket: Some(ticket),
            latency: None,
            report: None,
            kind: Kind::Cancelled,
            _connection: connection,
        }
    }

    /// Notes the answer's head: its time and the load report on it.
    pub fn head(&mut self, headers: &HeaderMap) {
        self.latency = Some(self.clock.now().since(self.began));
        self.report = headers.get(header::LOAD).and_then(read_report);
    }

    /// Notes how the attempt goes, until a later note.
    pub fn note(&mut self, kind: Kind) {
        self.kind = kind;
    }
}

impl Drop for Track {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.clock.now();
        let outcome = Outcome {
            kind: self.kind,
            latency: self.latency.unwrap_or_else(|| now.since(self.began)),
            report: self.report,
        };
        self.desk.state().chooser.finished(now, ticket, outcome);
    }
}

/// Reads `in-flight/slots`; anything else is no report.
#[must_use]
pub fn read_report(value: &http::HeaderValue) -> Option<Report> {
    let (in_flight, slots) = value.to_str().ok()?.split_once('/')?;
    let report = Report {
        in_flight: in_flight.parse().ok()?,
        slots: slots.parse().ok()?,
    };
    (report.slots > 0).then_some(report)
}
