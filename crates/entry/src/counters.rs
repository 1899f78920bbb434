//! The metrics of the entry process.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use http::StatusCode;
use quota::Tokens;

/// Sends metrics. A metric that can't be sent is dropped without delaying the caller.
#[derive(Debug)]
pub struct Counters {
    client: Arc<StatsdClient>,
}

impl Counters {
    /// Sends metrics through `client`.
    #[must_use]
    pub fn new(client: StatsdClient) -> Self {
        Self {
            client: Arc::new(client),
        }
    }

    /// The client that the metrics go through.
    #[must_use]
    pub fn client(&self) -> &Arc<StatsdClient> {
        &self.client
    }

    /// Counts a request that ended after `elapsed`.
    pub fn request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.client
            .count_with_tags("entry.requests", 1)
            .with_tag("service", service)
            .with_tag("outcome", outcome)
            .send();
        self.client
            .time_with_tags("entry.request", elapsed)
            .with_tag("service", service)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Counts an attempt, which ended as `end` tells.
    pub fn attempt(&self, service: &ServiceName, end: &str) {
        self.client
            .count_with_tags("entry.attempts", 1)
            .with_tag("service", service.as_str())
            .with_tag("end", end)
            .send();
    }

    /// Counts an attempt that had no response in time; `outcome` is whether it was abandoned, and
    /// why not.
    pub fn silent(&self, service: &ServiceName, outcome: &str, cause: &str) {
        self.client
            .count_with_tags("entry.attempts.silent", 1)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome)
            .with_tag("cause", cause)
            .send();
    }

    /// Counts a response that broke off after its head was forwarded.
    pub fn response_aborted(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.answers.broken", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Counts a response that doesn't name the request that was sent; `owner` is what it names.
    pub fn foreign_response(&self, service: &ServiceName, owner: &str, status: StatusCode) {
        self.client
            .count_with_tags("entry.answers.foreign", 1)
            .with_tag("service", service.as_str())
            .with_tag("owner", owner)
            .with_tag("status", status_class(status))
            .send();
    }

    /// Counts a connection that is closed because a response on it doesn't name the request.
    pub fn foreign_closed(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.connections.foreign", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Counts a refusal of an instance; `owner` is what it names.
    pub fn refusal(&self, service: &ServiceName, owner: &str) {
        self.client
            .count_with_tags("entry.refusals", 1)
            .with_tag("service", service.as_str())
            .with_tag("owner", owner)
            .send();
    }

    /// Counts an attempt that broke off; `fate` is what happened to the instance.
    pub fn broken(&self, service: &ServiceName, fate: &str) {
        self.client
            .count_with_tags("entry.attempts.broken", 1)
            .with_tag("service", service.as_str())
            .with_tag("instance", fate)
            .send();
    }

    /// Records how long a request waited for a free slot.
    pub fn waited(&self, service: &ServiceName, elapsed: Duration) {
        self.client
            .time_with_tags("entry.waited", elapsed)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Counts a waiting request that more urgent ones leave no slot in time.
    pub fn hopeless(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.queue.hopeless", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Counts a free slot that a request left to one that waited.
    pub fn yielded(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.queue.yielded", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Records the time that a request refused for lack of capacity was told to come back after;
    /// `returning` is whether it had come back before.
    pub fn told(&self, service: &ServiceName, returning: bool, delay: Duration) {
        let kind = if returning { "returning" } else { "new" };
        self.client
            .time_with_tags("entry.queue.told", delay)
            .with_tag("service", service.as_str())
            .with_tag("request", kind)
            .send();
    }

    /// Records a placement request to a dispatcher.
    pub fn placed(&self, service: &ServiceName, outcome: &str, elapsed: Duration) {
        self.client
            .time_with_tags("entry.placing", elapsed)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome)
            .send();
    }

    /// Counts a part that was asked for an instance; `reason` is why it was chosen.
    pub fn part(&self, service: &ServiceName, reason: &str, outcome: &str) {
        self.client
            .count_with_tags("entry.parts", 1)
            .with_tag("service", service.as_str())
            .with_tag("reason", reason)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Sets the number of evacuated failure domains.
    pub fn evacuated(&self, domains: usize) {
        let domains = u64::try_from(domains).unwrap_or(u64::MAX);
        self.client
            .gauge_with_tags("entry.evacuated", domains)
            .send();
    }

    /// Counts a request that was relayed to another entry process.
    pub fn relayed(&self, service: &ServiceName, outcome: &str, elapsed: Duration) {
        self.client
            .time_with_tags("entry.relayed", elapsed)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome)
            .send();
    }

    /// Counts an answer of another process to the question whether it reaches the instances, or
    /// that there was none.
    pub fn peer_asked(&self, service: &ServiceName, path: &str) {
        self.client
            .count_with_tags("entry.peers.asked", 1)
            .with_tag("service", service.as_str())
            .with_tag("path", path)
            .send();
    }

    /// Counts a request that is refused for its key.
    pub fn key_refused(&self, cause: &str) {
        self.client
            .count_with_tags("entry.keys.refused", 1)
            .with_tag("cause", cause)
            .send();
    }

    /// Counts a request that becomes quarantined.
    pub fn quarantined(&self) {
        self.client.count_with_tags("entry.quarantined", 1).send();
    }

    /// Counts a change of an instance's limit; `source` is where it was heard.
    pub fn limit_changed(&self, service: &ServiceName, source: &str) {
        self.client
            .count_with_tags("entry.limits", 1)
            .with_tag("service", service.as_str())
            .with_tag("source", source)
            .send();
    }

    /// Counts an instance that asked this process to send it nothing.
    pub fn backed_off(&self, service: &ServiceName, reason: &str) {
        self.client
            .count_with_tags("entry.holds", 1)
            .with_tag("service", service.as_str())
            .with_tag("reason", reason)
            .send();
    }

    /// Counts a retry that exceeded the budget.
    pub fn retry_denied(&self, service: &ServiceName) {
        self.client
            .count_with_tags("entry.retries.unpaid", 1)
            .with_tag("service", service.as_str())
            .send();
    }

    /// Counts permits; `outcome` is what became of them.
    pub fn quota(&self, outcome: &str, count: u32) {
        if count > 0 {
            self.client
                .count_with_tags("entry.quota.permits", i64::from(count))
                .with_tag("outcome", outcome)
                .send();
        }
    }

    /// Counts tokens that another holder sent, in thousandths.
    pub fn quota_transferred(&self, tokens: Tokens) {
        let thousandths = i64::try_from(tokens.micros() / 1000).unwrap_or(i64::MAX);
        self.client
            .count_with_tags("entry.quota.transferred", thousandths)
            .send();
    }

    /// Sets what is left of a workspace's quota at this process, its holder.
    pub fn quota_left(&self, workspace: &WorkspaceName, tokens: u64) {
        self.client
            .gauge_with_tags("entry.quota.tokens", tokens)
            .with_tag("workspace", workspace.as_str())
            .send();
    }

    /// Counts a probe.
    pub fn probe(&self, service: &ServiceName, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.client
            .count_with_tags("entry.probes", 1)
            .with_tag("service", service.as_str())
            .with_tag("result", result)
            .send();
    }
}

/// The class of a status, for a metric's tag.
fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        1 => "1xx",
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    }
}
