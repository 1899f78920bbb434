//! How long a request may take, and how often it may be sent.

use std::time::Duration;

use table::Route;

use crate::core::Core;
use crate::relay::Hop;

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Share of its time, and of its latency target, for which a request that came back may wait
/// instead of being refused again. Held longer, it takes slots of requests that can still be
/// answered in time, and has lost that time if it is refused nevertheless.
const RETURN_WAIT_SHARE: f64 = 0.125;

/// Limits of a request, counted from its arrival.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLimits {
    /// How long the caller waits.
    pub caller_timeout: Duration,
    /// Time until the final response, at most `caller_timeout`.
    pub timeout: Duration,
    /// Latency target, less the time that the caller has spent on earlier tries.
    pub aim: Duration,
    /// Maximum number of attempts.
    pub attempts: u32,
    /// How long a request that was refused before may wait instead of being refused again;
    /// `None` if the caller has spent no time on earlier tries.
    pub return_wait: Option<Duration>,
}

/// How long the caller waits, given the value of the deadline header in milliseconds.
pub(super) fn caller_timeout(header: Option<u64>) -> Duration {
    header.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

impl RequestLimits {
    /// The limits of a request to `route`; `header` is the value of its deadline header in
    /// milliseconds, and `hop` how it was relayed.
    pub(super) fn new(core: &Core, route: &Route, header: Option<u64>, hop: Option<&Hop>) -> Self {
        let caller_timeout = caller_timeout(header);
        let timeout = caller_timeout.min(route.timeout.unwrap_or(caller_timeout));
        if let Some(hop) = hop {
            return Self {
                caller_timeout,
                timeout: hop.remaining.min(timeout),
                aim: hop.aim,
                attempts: hop.attempts.min(route.attempts),
                return_wait: None,
            };
        }
        let spent = header.map_or(Duration::ZERO, |_| {
            core.route_stats(route, |stats| stats.spent(core.clock.now(), caller_timeout))
        });
        let aim = route.aim.unwrap_or(caller_timeout / 2);
        Self {
            caller_timeout,
            timeout,
            aim: aim.saturating_sub(spent),
            attempts: route.attempts,
            return_wait: (!spent.is_zero()).then(|| timeout.min(aim).mul_f64(RETURN_WAIT_SHARE)),
        }
    }
}
