//! What a dispatcher granted.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use route::LoadReport;
use route::OutcomeKind;
use tokio::runtime::Handle;
use wire::link::within;
use wire::place::Ended;

use super::CONNECT;
use super::Place;
use super::convert::kind_to_wire;
use super::convert::report_to_wire;

/// How long the end of an attempt may take to arrive. One that doesn't is known to be
/// over when the request's time is.
const ENDED_TIMEOUT: Duration = Duration::from_secs(1);

/// What a dispatcher granted. It learns of the end, also where the attempt is dropped.
pub struct Grant {
    place: Arc<Place>,
    service: ServiceName,
    number: u64,
    kind: OutcomeKind,
    report: Option<LoadReport>,
}

impl Grant {
    pub(super) fn new(place: &Arc<Place>, service: &ServiceName, number: u64) -> Self {
        Self {
            place: Arc::clone(place),
            service: service.clone(),
            number,
            kind: OutcomeKind::Cancelled,
            report: None,
        }
    }

    /// Gives it back.
    pub fn end(mut self, kind: OutcomeKind, report: Option<LoadReport>) {
        self.kind = kind;
        self.report = report;
    }
}

impl fmt::Debug for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Grant")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let ended = Ended {
            service: self.service.to_string(),
            grant: self.number,
            kind: kind_to_wire(self.kind).into(),
            report: self.report.map(report_to_wire),
        };
        let place = Arc::clone(&self.place);
        // Outside of the runtime the process ends, and the grant ends with its time.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let Ok(client) = place.link.client_within(CONNECT).await else {
                return;
            };
            // What gets lost ends with its time.
            let _ = place
                .link
                .judge(client.ended(within(ENDED_TIMEOUT), ended).await);
        });
    }
}
