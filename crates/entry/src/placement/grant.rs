//! A grant of a dispatcher.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use route::LoadReport;
use route::OutcomeKind;
use tokio::runtime::Handle;
use wire::link::within;
use wire::place::Ended;

use super::convert::kind_to_wire;
use super::convert::report_to_wire;
use crate::place_client::PlaceClient;

/// Timeout of the message that releases a grant. If the message is lost, the grant expires
/// soon after the request's deadline.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A grant of a dispatcher, released when dropped.
pub struct Grant {
    dispatcher: Arc<PlaceClient>,
    service: ServiceName,
    number: u64,
    kind: OutcomeKind,
    report: Option<LoadReport>,
}

impl Grant {
    pub(super) fn new(dispatcher: &Arc<PlaceClient>, service: &ServiceName, number: u64) -> Self {
        Self {
            dispatcher: Arc::clone(dispatcher),
            service: service.clone(),
            number,
            kind: OutcomeKind::Cancelled,
            report: None,
        }
    }

    /// Releases the grant with the result of the attempt.
    pub fn release(mut self, kind: OutcomeKind, report: Option<LoadReport>) {
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
        let release = Ended {
            service: self.service.to_string(),
            grant: self.number,
            kind: kind_to_wire(self.kind).into(),
            report: self.report.map(report_to_wire),
        };
        let dispatcher = Arc::clone(&self.dispatcher);
        // Without a runtime the process is exiting; the grant expires by itself.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let Some(client) = dispatcher.connect().await else {
                return;
            };
            // If the message is lost, the grant expires by itself.
            let _ = dispatcher
                .link()
                .check_result(client.ended(within(RELEASE_TIMEOUT), release).await);
        });
    }
}
