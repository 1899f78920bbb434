//! When an attempt without a response is abandoned.

use std::time::Duration;

use attempt::Distribution;
use attempt::silence::Cause;
use attempt::silence::Limits;
use attempt::silence::Silence;
use attempt::silence::Step;
use base::prelude::*;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const EXPECTED: Duration = Duration::from_millis(100);
const SENT_AT: Moment = Moment::from_millis(1_000);

fn limits() -> Limits {
    let mut distribution = Distribution::default();
    for percent in 1..=100_u32 {
        distribution.record(EXPECTED.mul_f64(f64::from(percent) / 50.0), EXPECTED);
    }
    Limits::new(EXPECTED, &distribution)
}

/// Runs an attempt until it is abandoned or `end`; the instance answers the probes as `held` tells,
/// after `delay`.
fn run(
    end: Moment,
    delay: Duration,
    mut held: impl FnMut(Moment) -> Option<u32>,
) -> Option<(Moment, Cause)> {
    let mut silence = Silence::new(SENT_AT, limits());
    let mut now = SENT_AT;
    while now < end {
        match silence.step(now) {
            Step::Wait(until) => now = until,
            Step::Probe => {
                let probed_at = now;
                now = now + delay;
                match held(probed_at) {
                    Some(held) => silence.record_report(now, probed_at, held),
                    None => silence.record_no_report(now),
                }
            }
            Step::Abandon(cause) => return Some((now, cause)),
        }
    }
    None
}

const RTT: Duration = Duration::from_millis(2);
const LATER: Moment = Moment::from_millis(60_000);

/// Guards against requests that wait for their deadline although the instance lost them.
#[test]
fn test_silence_abandons_what_two_reports_do_not_count() {
    let mut reports = 0;
    let (at, cause) = run(LATER, RTT, |_| {
        reports += 1;
        Some(0)
    })
    .expect("abandoned");
    assert_eq!((cause, reports), (Cause::NotHeld, 2));
    assert!(at < SENT_AT + limits().suspected);
}

quickcheck! {
    /// Guards against broken-off work: an attempt that an instance may hold is abandoned only after
    /// the time limit, which is shorter only where a probe had no answer.
    fn test_silence_keeps_what_may_be_held(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let silent = rng.random_bool(0.5);
        let delay = Duration::from_millis(rng.random_range(0..400));
        let mut last = 0;
        let mut unanswered = false;
        let abandoned = run(LATER, delay, |_| {
            if silent && rng.random_bool(0.1) {
                unanswered = true;
                return None;
            }
            // Never two reports in a row without the request.
            last = if last == 0 { rng.random_range(1..9) } else { rng.random_range(0..9) };
            Some(last)
        });
        let limits = limits();
        let limit = if unanswered { limits.suspected } else { limits.unsuspected };
        abandoned.is_some_and(|(at, cause)| at >= SENT_AT + limit && cause != Cause::NotHeld)
    }
}

/// Guards against attempts that are abandoned because this process was stopped while their
/// responses arrived.
#[test]
fn test_silence_waits_after_a_pause_of_the_process() {
    let mut silence = Silence::new(SENT_AT, limits());
    let Step::Wait(until) = silence.step(SENT_AT) else {
        panic!("too early");
    };
    let resumed_at = until + Duration::from_secs(5);
    assert!(matches!(silence.step(resumed_at), Step::Wait(at) if at > resumed_at));
}

/// Guards against limits that ignore how late a route's responses usually are.
#[test]
fn test_silence_limits_follow_the_responses() {
    let mut slow = Distribution::default();
    for number in 0..1_000 {
        let factor = if number % 100 < 3 { 7 } else { 1 };
        slow.record(EXPECTED * factor, EXPECTED);
    }
    let limits = Limits::new(EXPECTED, &slow);
    assert!(limits.suspected >= EXPECTED * 7, "{limits:?}");
    assert!(limits.check < EXPECTED * 2, "{limits:?}");
}
