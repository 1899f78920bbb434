//! Parts of a limit, and the pace at which one process uses its part.

use base::prelude::*;
use limit::Pacer;
use limit::RequestRate;
use limit::share;
use quickcheck::quickcheck;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn instance(number: u64) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("a valid name")
}

fn names(count: u8) -> Vec<String> {
    (0..count)
        .map(|number| format!("10.0.0.{number}:7635"))
        .collect()
}

/// The parts of all processes that have one.
fn shares(rate: RequestRate, instance: &InstanceId, processes: &[String]) -> Vec<RequestRate> {
    let shares = processes
        .iter()
        .map(|own| share(rate, instance, own, processes));
    shares.filter(|share| *share > RequestRate::ZERO).collect()
}

#[test]
fn test_share_is_given_to_few_processes() {
    for (milli, senders) in [
        (300, 1),
        (1_200, 1),
        (2_400, 2),
        (30_000, 30),
        (200_000, 117),
    ] {
        let rate = RequestRate::from_milli(milli);
        assert_eq!(
            shares(rate, &instance(1), &names(117)).len(),
            senders,
            "{rate}"
        );
    }
    let rate = RequestRate::from_milli(2_400);
    assert_eq!(
        share(rate, &instance(1), "10.0.1.1:7635", &names(117)),
        RequestRate::ZERO,
        "not in the list"
    );
    assert!(shares(RequestRate::ZERO, &instance(1), &names(9)).is_empty());
}

#[test]
fn test_pacer_saves_up_one_request() {
    let mut pacer = Pacer::new(at(0), RequestRate::from_milli(2_000));
    assert_eq!(pacer.next_start(), Some(at(500)));
    pacer.record_start(at(5_000));
    assert_eq!(pacer.next_start(), Some(at(5_000)));
    pacer.record_start(at(5_000));
    assert_eq!(pacer.next_start(), Some(at(5_500)));
    // One that was granted elsewhere counts as well.
    pacer.record_start(at(5_100));
    assert_eq!(pacer.next_start(), Some(at(6_000)));
}

#[test]
fn test_pacer_new_rate_takes_effect_at_once() {
    let mut pacer = Pacer::new(at(0), RequestRate::from_milli(10));
    pacer.set_rate(at(0), RequestRate::from_milli(2_000));
    assert_eq!(pacer.next_start(), Some(at(500)));
    pacer.set_rate(at(0), RequestRate::ZERO);
    assert_eq!(pacer.next_start(), None);
    pacer.set_rate(at(900), RequestRate::from_milli(1_000));
    assert_eq!(pacer.next_start(), Some(at(1_900)));
}

quickcheck! {
    /// The parts never add up to more than the limit, nor to much less.
    fn test_share_parts_add_up_to_the_limit(milli: u32, number: u64, count: u8) -> bool {
        let milli = milli % 100_000;
        let rate = RequestRate::from_milli(milli);
        let shares = shares(rate, &instance(number), &names(count));
        let sum: u32 = shares.iter().map(|share| share.milli()).sum();
        let rounding = u32::from(count);
        sum <= milli && (count == 0 || sum + rounding >= milli)
    }
}
