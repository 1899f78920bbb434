//! When an attempt is late, how long a retry waits, and the deadline passed on.

use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rand::RngExt;

use crate::call::CallContext;
use crate::service::Service;

/// Thousandths of answers that come before a hedge is sent.
pub const HEDGE_PERMILLE: u32 = 950;
/// An attempt is taken as stalled after this many times the 99th percentile.
pub const STALL_FACTOR: u32 = 4;
/// Least time before an attempt is taken as stalled.
pub const STALL_FLOOR: Duration = Duration::from_millis(10);
/// Longest backoff before the second retry; doubled for each further one.
pub const BACKOFF: Duration = Duration::from_millis(5);
/// Most that [`told`] keeps from what remains.
pub const MARGIN: Duration = Duration::from_millis(5);

// Least part of what remains that is kept from a level below.
const MARGIN_PART: u32 = 16;

/// When the first attempt that starts now is late; none where nobody may act on that.
///
/// Under load a call that is merely slow must not cost a second attempt, so only one
/// that stalled is late.
#[must_use]
pub fn late_at(terms: &CallContext, service: &Service, now: Moment) -> Option<Moment> {
    if terms.depth > 0 || !terms.class.is_idempotent() {
        return None;
    }
    let half = terms.deadline.since(now) / 2;
    let late = match (terms.class, service.backlogged) {
        (_, true) => Some(stall(service)?),
        (Class::Urgent, false) => service.latency.quantile(HEDGE_PERMILLE),
        _ => stall(service).map(|span| span.min(half)),
    };
    Some(now + late.unwrap_or(half))
}

/// Pause before a retry of a call with `counted` attempts.
///
/// The first retry goes at once; later ones wait, spread over a growing span.
pub fn backoff(counted: u8, rng: &mut impl Rng) -> Duration {
    if counted <= 1 {
        return Duration::ZERO;
    }
    let span = BACKOFF * (1 << (counted - 2).min(8));
    span.mul_f64(rng.random::<f64>())
}

/// The time passed on to a level below when `remains` is left here.
#[must_use]
pub fn upstream_timeout(remains: Duration) -> Duration {
    remains.saturating_sub(MARGIN.min(remains / MARGIN_PART))
}

fn stall(service: &Service) -> Option<Duration> {
    let high = service.latency.quantile(990)?;
    Some((high * STALL_FACTOR).max(STALL_FLOOR))
}
