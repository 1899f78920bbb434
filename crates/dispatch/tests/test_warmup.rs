//! Shares of what a cold instance bears.

use base::prelude::*;
use dispatch::Warmup;
use quickcheck::quickcheck;

/// 5.8 requests a second, half as much again, and 8 more.
const WARMUP: Warmup = Warmup {
    rate: 5_800,
    overshoot: 1_500,
    slack: 8,
};

fn id(number: u32) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("a name")
}

fn names(range: std::ops::Range<u32>) -> Vec<String> {
    range
        .map(|number| format!("10.0.0.{number}:7635"))
        .collect()
}

fn sum(warmup: Warmup, instance: &InstanceId, processes: &[String]) -> u32 {
    let shares = processes.iter();
    shares
        .map(|own| warmup.share(instance, own, processes))
        .sum()
}

#[test]
fn test_warmup_bound_and_what_is_shared_of_it() {
    assert_eq!((WARMUP.max_per_second(), WARMUP.shared()), (16, 8));
    let strict = Warmup { slack: 0, ..WARMUP };
    assert_eq!((strict.max_per_second(), strict.shared()), (8, 4));
    let none = Warmup { rate: 0, ..strict };
    assert_eq!((none.max_per_second(), none.shared()), (0, 0));
}

#[test]
fn test_warmup_all_of_it_is_shared_out_among_a_few() {
    let processes = names(0..117);
    for number in 0..50 {
        let keepers = processes
            .iter()
            .filter(|own| WARMUP.share(&id(number), own, &processes) > 0);
        assert_eq!(keepers.count(), 8);
        assert_eq!(sum(WARMUP, &id(number), &processes), 8);
    }
    assert_eq!(sum(WARMUP, &id(1), &names(0..1)), 8);
    assert_eq!(WARMUP.share(&id(1), "10.0.1.1:7635", &processes), 0);
    assert_eq!(WARMUP.share(&id(1), "10.0.0.1:7635", &[] as &[String]), 0);
}

quickcheck! {
    /// Any two lists of processes, of which each process holds either.
    fn prop_warmup_two_lists_stay_within_the_bound(
        instance: u32, first: (u8, u8), second: (u8, u8), rate: u16, slack: u8
    ) -> bool {
        let list = |(from, count): (u8, u8)| names(u32::from(from)..u32::from(from) + u32::from(count));
        let (first, second) = (list(first), list(second));
        let warmup = Warmup { rate: rate.into(), overshoot: 1_500, slack: slack.into() };
        let instance = id(instance);
        sum(warmup, &instance, &first) + sum(warmup, &instance, &second) <= warmup.max_per_second()
    }
}
