//! What the balancer knows of an instance that doesn't answer.

use base::prelude::*;
use route::Evidence;
use route::Pick;

use super::Balancer;

/// Probes per second from which a process gets young reports when it needs them. With fewer, as
/// where many processes share the budget of a few instances, requests would wait for probes while
/// instances are idle.
const MIN_PROBE_RATE: f64 = 10.0;

impl Balancer {
    /// Takes a probe of one instance from the budget. Returns false if none may be sent.
    pub fn begin_probe(&mut self, now: Moment, pick: Pick) -> bool {
        self.probe_allowance.take(now, 1) == 1 && self.chooser.begin_probe(pick)
    }

    /// Whether the instance may lose requests.
    #[must_use]
    pub fn is_suspected(&self, pick: Pick) -> bool {
        self.chooser.is_suspected(pick)
    }

    /// Whether the service's reports count requests.
    #[must_use]
    pub fn reports_count_requests(&self) -> bool {
        self.chooser.reports_count_requests()
    }

    /// What must be known of an instance before a request that may run only once is sent there.
    #[must_use]
    pub fn evidence_for_once(&self) -> Evidence {
        if self.probe_allowance.rate() >= MIN_PROBE_RATE {
            Evidence::Report
        } else {
            Evidence::Share
        }
    }
}
