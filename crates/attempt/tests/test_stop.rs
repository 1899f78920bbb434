//! When a request may still be passed on by a process that stops.

use std::time::Duration;

use attempt::stop::Grace;
use attempt::stop::RecentTimes;
use base::prelude::*;
use quickcheck::quickcheck;

const END: Moment = Moment::from_millis(10_000);

fn latest_start(time: u64, deadline: u64) -> Moment {
    let grace = Grace::until(END);
    grace.latest_start(Duration::from_millis(time), Moment::from_millis(deadline))
}

/// Guards against passing requests on that end after the process.
#[test]
fn test_stop_latest_start_leaves_the_response_time() {
    assert_eq!(latest_start(3_000, 60_000), Moment::from_millis(6_900));
    assert_eq!(latest_start(20_000, 60_000), Moment::ZERO);
    // Its caller waits no longer, so it ends by its deadline.
    assert_eq!(latest_start(20_000, 9_000), Moment::from_millis(9_000));
    assert_eq!(latest_start(20_000, 9_950), Moment::ZERO);
}

quickcheck! {
    /// Guards against any request that is passed on and whose response, or deadline, comes after the
    /// end.
    fn test_stop_what_is_passed_on_ends_in_time(time: u16, deadline: u16) -> bool {
        let start = latest_start(time.into(), deadline.into());
        let response = start + Duration::from_millis(time.into());
        let ends_at = response.min(Moment::from_millis(deadline.into()));
        start == Moment::ZERO || ends_at < END
    }
}

/// Guards against a response time that is forgotten too soon, or never.
#[test]
fn test_stop_longest_recent_time() {
    let mut times = RecentTimes::default();
    assert_eq!(times.longest(), None);
    times.record(Duration::from_secs(5));
    for _ in 0..63 {
        times.record(Duration::from_millis(20));
    }
    assert_eq!(times.longest(), Some(Duration::from_secs(5)));
    times.record(Duration::from_millis(20));
    assert_eq!(times.longest(), Some(Duration::from_millis(20)));
}
