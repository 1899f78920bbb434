//! Counts events and sends the sums as metrics once a second.
//!
//! Counting costs a few atomic additions per request. Without a sink nothing is sent.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use correlate::Owner;
use crash::Fate;
use strum::EnumCount;
use strum::IntoEnumIterator;

use crate::core::Core;
use crate::refusal::Reason;

/// Number of finished calls.
pub const CALLS: &str = "gateway.calls";
/// Total duration of finished calls in microseconds.
pub const CALL_MICROS: &str = "gateway.call_micros";
/// Number of attempts.
pub const ATTEMPTS: &str = "gateway.attempts";
/// Number of refused or failed requests, with the tag `reason`.
pub const REFUSED: &str = "gateway.refused";
/// Number of probes sent.
pub const PROBES: &str = "gateway.probes";
/// Number of times that an instance asked the gateway to send it nothing.
pub const BACKOFFS: &str = "gateway.holds";
/// Number of claims requested.
pub const CLAIMS: &str = "gateway.claims";
/// Number of attempts that broke off, with the tag `instance`: what became of the instance.
pub const BROKEN: &str = "gateway.attempts.broken";
/// Number of responses that name another request than the one that was sent.
pub const FOREIGN_RESPONSES: &str = "gateway.answers.foreign";
/// Number of refusals by instances, with the tag `owner`: what the refusal names.
pub const UPSTREAM_REFUSALS: &str = "gateway.refusals";
/// Number of requests that became quarantined.
pub const QUARANTINED: &str = "gateway.quarantined";
/// Number of calls in flight.
pub const IN_FLIGHT: &str = "gateway.in_flight";
/// Current catalogue version.
pub const VERSION: &str = "gateway.version";
/// Milliseconds since the catalogue version was confirmed.
pub const CONFIRMED_AGE: &str = "gateway.confirmed_age";
/// 1 while the gateway is fenced, else 0.
pub const FENCED: &str = "gateway.fenced";

/// Interval at which metrics are sent.
pub const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// What a refusal that counts may name; one that names another request isn't taken for a refusal.
const REFUSAL_OWNERS: [Owner; 2] = [Owner::Sent, Owner::Unnamed];

/// Sums since metrics were last sent.
#[derive(Debug)]
pub struct Counters {
    /// Number of finished calls.
    pub calls: AtomicU64,
    /// Total duration of finished calls in microseconds.
    pub call_micros: AtomicU64,
    /// Number of attempts started.
    pub attempts: AtomicU64,
    /// Number of probes sent.
    pub probes: AtomicU64,
    /// Number of times that an instance asked the gateway to send it nothing.
    pub backoffs: AtomicU64,
    /// Number of claims requested.
    pub claims: AtomicU64,
    /// Number of requests that became quarantined.
    pub quarantined: AtomicU64,
    /// Number of responses that name another request than the one that was sent.
    pub foreign_responses: AtomicU64,
    upstream_refusals: [AtomicU64; REFUSAL_OWNERS.len()],
    refused: [AtomicU64; Reason::COUNT],
    broken: [AtomicU64; Fate::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            calls: AtomicU64::default(),
            call_micros: AtomicU64::default(),
            attempts: AtomicU64::default(),
            probes: AtomicU64::default(),
            backoffs: AtomicU64::default(),
            claims: AtomicU64::default(),
            quarantined: AtomicU64::default(),
            foreign_responses: AtomicU64::default(),
            upstream_refusals: std::array::from_fn(|_| AtomicU64::default()),
            refused: std::array::from_fn(|_| AtomicU64::default()),
            broken: std::array::from_fn(|_| AtomicU64::default()),
        }
    }
}

impl Counters {
    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        add(&self.refused[reason as usize], 1);
    }

    /// Counts a refusal by an instance.
    pub fn upstream_refusal(&self, owner: Owner) {
        let mut sums = REFUSAL_OWNERS.iter().zip(&self.upstream_refusals);
        if let Some((_, sum)) = sums.find(|(counted, _)| **counted == owner) {
            add(sum, 1);
        }
    }

    /// Counts an attempt that broke off.
    pub fn broken(&self, fate: Fate) {
        add(&self.broken[fate as usize], 1);
    }
}

/// Adds `count` to `sum`.
pub fn add(sum: &AtomicU64, count: u64) {
    sum.fetch_add(count, Ordering::Relaxed);
}

/// Sends the metrics periodically; returns at once without a sink.
pub async fn run(core: Arc<Core>) {
    if core.settings.telemetry.sink.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        send(&core);
    }
}

fn send(core: &Core) {
    let counters = &core.counters;
    let sums = [
        (CALLS, &counters.calls),
        (CALL_MICROS, &counters.call_micros),
        (ATTEMPTS, &counters.attempts),
        (PROBES, &counters.probes),
        (BACKOFFS, &counters.backoffs),
        (CLAIMS, &counters.claims),
        (QUARANTINED, &counters.quarantined),
        (FOREIGN_RESPONSES, &counters.foreign_responses),
    ];
    for (name, sum) in sums {
        // Metrics are best effort, so errors are ignored.
        let _ = core.metrics.count(name, take(sum));
    }
    for reason in Reason::iter() {
        let count = take(&counters.refused[reason as usize]);
        if count > 0 {
            let metric = core.metrics.count_with_tags(REFUSED, count);
            metric.with_tag("reason", reason.into()).send();
        }
    }
    for (owner, sum) in REFUSAL_OWNERS.into_iter().zip(&counters.upstream_refusals) {
        let count = take(sum);
        if count > 0 {
            let metric = core.metrics.count_with_tags(UPSTREAM_REFUSALS, count);
            metric.with_tag("owner", owner.into()).send();
        }
    }
    for fate in Fate::iter() {
        let count = take(&counters.broken[fate as usize]);
        if count > 0 {
            let metric = core.metrics.count_with_tags(BROKEN, count);
            metric.with_tag("instance", fate.into()).send();
        }
    }
    let view = core.view();
    let age = view.confirmed_age(core.clock.now()).unwrap_or_default();
    let _ = core
        .metrics
        .gauge(IN_FLIGHT, u64::from(core.in_flight.count()));
    let _ = core.metrics.gauge(VERSION, view.version());
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let _ = core.metrics.gauge(CONFIRMED_AGE, age);
    let _ = core.metrics.gauge(FENCED, u64::from(core.is_fenced()));
}

fn take(sum: &AtomicU64) -> u64 {
    sum.swap(0, Ordering::Relaxed)
}
