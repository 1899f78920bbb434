//! Statistics of a route's requests: the time that callers have already spent elsewhere.

use std::time::Duration;

use base::prelude::*;
use entry::route_stats::RouteStats;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A route whose callers arrive at intervals of 100 ms.
struct Route {
    route_stats: RouteStats,
    now: Moment,
}

impl Route {
    fn new() -> Self {
        Self {
            route_stats: RouteStats::initial(Some(millis(300)), None),
            now: Moment::from_millis(1_000),
        }
    }

    /// A route that has seen many callers with about `remaining` milliseconds remaining.
    fn with_callers(remaining: u64) -> Self {
        let mut route = Self::new();
        for step in 0..100 {
            route.spent(remaining + step % 4);
        }
        route
    }

    fn spent(&mut self, remaining: u64) -> Duration {
        self.now = self.now + millis(100);
        self.route_stats.spent(self.now, millis(remaining))
    }
}

#[test]
fn test_route_stats_caller_that_retries_has_spent_the_difference() {
    let mut route = Route::with_callers(1_494);
    let spent = route.spent(1_490);
    assert!(spent <= millis(10), "{spent:?}");
    let spent = route.spent(800);
    assert!((millis(680)..=millis(710)).contains(&spent), "{spent:?}");
}

#[test]
fn test_route_stats_callers_who_differ_in_patience_have_spent_nothing() {
    let mut route = Route::new();
    let mut late = 0;
    for step in 0..1_000 {
        // From 4.3 to 5 s, in an order with a long period.
        let remaining = 4_300 + step * 383 % 700;
        late += u32::from(route.spent(remaining) > Duration::ZERO);
    }
    assert!(late <= 100, "{late} of 1000 taken for late");
    assert!(route.spent(3_000) > millis(1_400));
}

#[test]
fn test_route_stats_callers_after_an_outage_are_known_to_be_late() {
    let mut route = Route::with_callers(1_495);
    for step in 0..20 {
        let spent = route.spent(900 - step * 10);
        assert!(spent > millis(400), "{spent:?} at {step}");
    }
    // The first callers after the outage are on time.
    let spent = route.spent(1_495);
    assert!(spent.is_zero(), "{spent:?}");
}

#[test]
fn test_route_stats_first_callers_after_a_restart_are_known_to_be_late() {
    let mut route = Route::new();
    route.spent(1_495);
    for step in 0..18 {
        let spent = route.spent(900 - step * 10);
        assert!(spent > millis(400), "{spent:?} at {step}");
    }
}

#[test]
fn test_route_stats_few_longer_timeouts_make_no_other_caller_late() {
    let mut route = Route::with_callers(1_000);
    for _ in 0..3 {
        route.spent(3_000);
        let spent = route.spent(1_000);
        assert!(spent <= millis(10), "{spent:?}");
    }
    assert!(route.spent(500) > millis(400));
}

/// Guards against treating most callers as late after a restart of the whole system, when one in
/// twenty-five waits three times as long.
#[test]
fn test_route_stats_longest_timeout_after_a_restart_makes_no_other_caller_late() {
    let timeout = Some(millis(500));
    let mut route_stats = RouteStats::initial(Some(millis(200)), timeout);
    let mut now = Moment::from_millis(1_000);
    for step in 0..50 {
        now = now + millis(20);
        let remaining = if step % 25 == 0 {
            1_430
        } else {
            425 + step * 7 % 75
        };
        let spent = route_stats.spent(now, millis(remaining));
        assert!(spent.is_zero(), "{spent:?} at {step}");
    }
    // A caller that retries after a refusal.
    assert!(route_stats.spent(now, millis(300)) >= millis(190));
}
