//! What the process counts, for the metrics.

use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;

/// Names and tags of what is counted. A metric that can't be sent is lost, and
/// holds nobody up.
#[derive(Debug)]
pub struct Counters {
    client: StatsdClient,
}

impl Counters {
    /// Counts by way of `client`.
    #[must_use]
    pub fn new(client: StatsdClient) -> Self {
        Self { client }
    }

    /// A request that was answered, after `span`.
    pub fn request(&self, service: &str, outcome: &str, span: Duration) {
        self.client
            .count_with_tags("entry.requests", 1)
            .with_tag("service", service)
            .with_tag("outcome", outcome)
            .send();
        self.client
            .time_with_tags("entry.request", span)
            .with_tag("service", service)
            .with_tag("outcome", outcome)
            .send();
    }

    /// An attempt at an instance, ended so.
    pub fn attempt(&self, service: &ServiceName, end: &str) {
        self.client
            .count_with_tags("entry.attempts", 1)
            .with_tag("service", service.as_str())
            .with_tag("end", end)
            .send();
    }

    /// An answer that broke off after its head was passed on.
    pub fn response_aborted(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.answers.broken", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// An attempt that broke off, and what became of its instance.
    pub fn broken(&self, service: &ServiceName, fate: &str) {
        self.client
            .count_with_tags("entry.attempts.broken", 1)
            .with_tag("service", service.as_str())
            .with_tag("instance", fate)
            .send();
    }

    /// A request that waited for room.
    pub fn waited(&self, service: &ServiceName, span: Duration) {
        self.client
            .time_with_tags("entry.waited", span)
            .with_tag("service", service.as_str())
            .send();
    }

    /// A question to a dispatcher.
    pub fn placed(&self, service: &ServiceName, outcome: &str, span: Duration) {
        self.client
            .time_with_tags("entry.placing", span)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome)
            .send();
    }

    /// How many failure domains get nothing.
    pub fn evacuated(&self, domains: usize) {
        let domains = u64::try_from(domains).unwrap_or(u64::MAX);
        self.client
            .gauge_with_tags("entry.evacuated", domains)
            .send();
    }

    /// A request that is refused from now on, as it crashes instances.
    pub fn refused(&self) {
        self.client.count_with_tags("entry.quarantined", 1).send();
    }

    /// A retry that no allowance was left for.
    pub fn unpaid(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.retries.unpaid", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// A probe, answered or not.
    pub fn probe(&self, service: &ServiceName, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.client
            .count_with_tags("entry.probes", 1)
            .with_tag("service", service.as_str())
            .with_tag("result", result)
            .send();
    }
}
