//! Counts what happens and sends the sums once a second.
//!
//! A request costs a few atomic additions, with or without a sink; without one
//! nothing else happens.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use strum::EnumCount;
use strum::IntoEnumIterator;

use crate::core::Core;
use crate::refusal::Reason;

/// Calls that ended.
pub const CALLS: &str = "gateway.calls";
/// Microseconds that ended calls took together.
pub const CALL_MICROS: &str = "gateway.call_micros";
/// Attempts at upstreams.
pub const ATTEMPTS: &str = "gateway.attempts";
/// Requests refused or given up, tag `reason`.
pub const REFUSED: &str = "gateway.refused";
/// Probes sent.
pub const PROBES: &str = "gateway.probes";
/// Claims asked for.
pub const CLAIMS: &str = "gateway.claims";
/// Calls in flight.
pub const IN_FLIGHT: &str = "gateway.in_flight";
/// Catalogue version in force.
pub const VERSION: &str = "gateway.version";
/// Milliseconds since the version was confirmed.
pub const CONFIRMED_AGE: &str = "gateway.confirmed_age";
/// 1 while the gateway refuses new work for want of a confirmation, else 0.
pub const FENCED: &str = "gateway.fenced";

/// How often sums are sent.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Sums since the last sending.
#[derive(Debug)]
pub struct Counters {
    /// Calls that ended.
    pub calls: AtomicU64,
    /// Microseconds that they took.
    pub call_micros: AtomicU64,
    /// Attempts begun.
    pub attempts: AtomicU64,
    /// Probes sent.
    pub probes: AtomicU64,
    /// Claims asked for.
    pub claims: AtomicU64,
    refused: [AtomicU64; Reason::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            calls: AtomicU64::default(),
            call_micros: AtomicU64::default(),
            attempts: AtomicU64::default(),
            probes: AtomicU64::default(),
            claims: AtomicU64::default(),
            refused: std::array::from_fn(|_| AtomicU64::default()),
        }
    }
}

impl Counters {
    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        add(&self.refused[reason as usize], 1);
    }
}

/// Adds to a sum.
pub fn add(sum: &AtomicU64, count: u64) {
    sum.fetch_add(count, Ordering::Relaxed);
}

/// Sends the sums for as long as the process lives; ends at once without a sink.
pub async fn run(core: Arc<Core>) {
    if core.settings.telemetry.sink.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(PERIOD).await;
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
        (CLAIMS, &counters.claims),
    ];
    for (name, sum) in sums {
        // Metrics may be lost; a failure has nowhere to go.
        let _ = core.metrics.count(name, take(sum));
    }
    for reason in Reason::iter() {
        let count = take(&counters.refused[reason as usize]);
        if count > 0 {
            let metric = core.metrics.count_with_tags(REFUSED, count);
            metric.with_tag("reason", reason.into()).send();
        }
    }
    let view = core.view();
    let age = view.confirmed_age(core.clock.now()).unwrap_or_default();
    let _ = core
        .metrics
        .gauge(IN_FLIGHT, u64::from(core.flying.count()));
    let _ = core.metrics.gauge(VERSION, view.version());
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let _ = core.metrics.gauge(CONFIRMED_AGE, age);
    let _ = core.metrics.gauge(FENCED, u64::from(core.is_fenced()));
}

fn take(sum: &AtomicU64) -> u64 {
    sum.swap(0, Ordering::Relaxed)
}
