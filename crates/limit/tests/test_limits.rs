//! Which limits are known, for any order of responses and reports.

use base::prelude::*;
use limit::Change;
use limit::Limits;
use limit::NamedLimit;
use limit::RequestRate;
use limit::Source;
use limit::limits::REFRESH_INTERVAL;
use limit::limits::RETENTION;
use quickcheck::quickcheck;

const TWO: RequestRate = RequestRate::from_milli(2_000);

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

fn run(number: u64) -> InstanceRun {
    InstanceRun {
        instance: InstanceId::new(&format!("i-{number}")).expect("a valid name"),
        incarnation: 1,
    }
}

fn service() -> ServiceName {
    ServiceName::new("status").expect("a valid name")
}

/// Instance `number` names `milli` requests per 1000 seconds; 0 stands for no limit.
fn named(number: u64, milli: u32, millis: u64) -> NamedLimit {
    NamedLimit {
        run: run(number),
        service: service(),
        rate: (milli > 0).then_some(RequestRate::from_milli(milli)),
        heard_at: at(millis),
    }
}

fn with_limit(source: Source) -> Limits {
    let mut limits = Limits::default();
    let change = limits.record(at(0), named(1, 2_000, 0), source);
    assert_eq!(change, Change::Limited(TWO));
    limits
}

#[test]
fn test_limits_last_heard_counts() {
    let mut limits = with_limit(Source::Response);
    let change = limits.record(at(20), named(1, 5_000, 20), Source::Hub);
    assert_eq!(change, Change::Limited(RequestRate::from_milli(5_000)));
    let late = limits.record(at(21), named(1, 9_000, 10), Source::Hub);
    assert_eq!(late, Change::Unchanged);
    let ended = limits.record(at(30), named(1, 0, 30), Source::Hub);
    assert_eq!(ended, Change::Ended);
    assert_eq!(limits.rate(at(31), &run(1)), None);
}

/// Guards against a response that was on its way when the limit was named.
#[test]
fn test_limits_response_to_an_earlier_request_ends_nothing() {
    let mut limits = with_limit(Source::Response);
    let overtaken = limits.record_absence(at(5), &run(1), at(0), Source::Response);
    assert_eq!(overtaken, Change::Unchanged);
    let later = limits.record_absence(at(9), &run(1), at(1), Source::Response);
    assert_eq!(later, Change::Ended);
}

/// Guards against instances that name limits in responses to requests only.
#[test]
fn test_limits_probe_ends_only_what_a_probe_named() {
    let mut limits = with_limit(Source::Response);
    let probe = limits.record_absence(at(5), &run(1), at(4), Source::Probe);
    assert_eq!(probe, Change::Unchanged);
    assert_eq!(limits.rate(at(5), &run(1)), Some(TWO));
    limits.record(at(6), named(1, 2_000, 6), Source::Probe);
    let probe = limits.record_absence(at(8), &run(1), at(7), Source::Probe);
    assert_eq!(probe, Change::Ended);
}

#[test]
fn test_limits_of_a_restarted_instance_are_its_own() {
    let limits = with_limit(Source::Response);
    let mut restarted = run(1);
    restarted.incarnation += 1;
    assert_eq!(limits.rate(at(1), &restarted), None);
}

#[test]
fn test_limits_expire_after_the_last_word() {
    let mut limits = with_limit(Source::Response);
    let middle = RETENTION / 2;
    let millis = u64::try_from(middle.as_millis()).expect("fits");
    limits.record(at(millis), named(1, 2_000, millis), Source::Hub);
    assert!(limits.remove_expired(at(0) + RETENTION).is_empty());
    assert_eq!(limits.rate(at(0) + RETENTION, &run(1)), Some(TWO));
    let expired = limits.remove_expired(at(millis) + RETENTION);
    assert_eq!(expired.len(), 1);
    assert_eq!(limits.of_service(at(0), &service()).count(), 0);
}

/// Guards against hubs that are told nothing, or each response.
#[test]
fn test_limits_reports_changes_and_repeats_them_rarely() {
    let mut limits = with_limit(Source::Response);
    assert_eq!(limits.since(0).len(), 1);
    let first = limits.newest();
    let refresh = u64::try_from(REFRESH_INTERVAL.as_millis()).expect("fits");
    for millis in 1..refresh {
        limits.record(at(millis), named(1, 2_000, millis), Source::Response);
    }
    assert!(limits.since(first).is_empty());
    limits.record(at(refresh), named(1, 2_000, refresh), Source::Response);
    assert_eq!(limits.since(first).len(), 1);
    let second = limits.newest();
    limits.record(at(refresh), named(1, 2_100, refresh), Source::Response);
    assert!(limits.since(second).is_empty(), "nearly the same");
    limits.record(at(refresh), named(1, 2_500, refresh), Source::Response);
    assert_eq!(limits.since(second).len(), 1);
    // Other processes report what they hear themselves.
    let second = limits.newest();
    limits.record(at(refresh + 1), named(2, 2_000, refresh + 1), Source::Hub);
    assert!(limits.since(second).is_empty());
}

quickcheck! {
    /// Processes that receive the same reports in any order know the same limits.
    fn test_limits_order_of_reports_changes_nothing(reports: Vec<(u8, u8)>, rotation: usize) -> bool {
        let known = |order: &[usize]| {
            let mut limits = Limits::default();
            for index in order {
                let (number, milli) = reports[*index];
                let heard = u64::try_from(*index).expect("fits");
                let named = named(u64::from(number % 4), u32::from(milli % 3), heard);
                limits.record(at(1_000), named, Source::Hub);
            }
            (0..4).map(|number| limits.rate(at(1_000), &run(number))).collect::<Vec<_>>()
        };
        let order: Vec<usize> = (0..reports.len()).collect();
        let mut rotated = order.clone();
        rotated.rotate_left(rotation % order.len().max(1));
        known(&order) == known(&rotated)
    }
}
