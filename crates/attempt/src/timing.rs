//! When an attempt is late, the backoff of retries, and the timeout passed to upstreams.

use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rand::RngExt;

use crate::call::CallContext;
use crate::service::Service;

/// Latency quantile, in thousandths, after which a hedge is sent.
pub const HEDGE_PERMILLE: u32 = 950;
/// An attempt is considered stalled after this multiple of the 99th latency percentile.
pub const STALL_FACTOR: u32 = 4;
/// Minimum time before an attempt is considered stalled.
pub const MIN_STALL: Duration = Duration::from_millis(10);
/// Maximum backoff before the second retry; doubled for each further one.
pub const MAX_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum that [`upstream_timeout`] subtracts from the remaining time.
pub const MAX_MARGIN: Duration = Duration::from_millis(5);

// Share of the remaining time that is subtracted, as a divisor.
const MARGIN_DIVISOR: u32 = 16;

/// When a first attempt that starts now is late; none if this level must not react to that.
///
/// While calls are queued, only a stalled attempt is late, so that attempts slowed down by load
/// don't cause more load.
#[must_use]
pub fn late_at(context: &CallContext, service: &Service, now: Moment) -> Option<Moment> {
    if context.depth > 0 || !context.class.is_idempotent() {
        return None;
    }
    let half = context.deadline.since(now) / 2;
    let late = match (context.class, service.backlogged) {
        (_, true) => Some(stall_timeout(service)?),
        (Class::Urgent, false) => service.latency.quantile(HEDGE_PERMILLE),
        _ => stall_timeout(service).map(|timeout| timeout.min(half)),
    };
    Some(now + late.unwrap_or(half))
}

/// Backoff with jitter before a retry of a call with `counted_attempts` attempts. The first
/// retry starts at once.
pub fn backoff(counted_attempts: u8, rng: &mut impl Rng) -> Duration {
    if counted_attempts <= 1 {
        return Duration::ZERO;
    }
    let max = MAX_BACKOFF * (1 << (counted_attempts - 2).min(8));
    max.mul_f64(rng.random::<f64>())
}

/// The timeout passed to the upstream of an attempt when `remaining` is left at this level.
#[must_use]
pub fn upstream_timeout(remaining: Duration) -> Duration {
    remaining.saturating_sub(MAX_MARGIN.min(remaining / MARGIN_DIVISOR))
}

fn stall_timeout(service: &Service) -> Option<Duration> {
    let p99 = service.latency.quantile(990)?;
    Some((p99 * STALL_FACTOR).max(MIN_STALL))
}
