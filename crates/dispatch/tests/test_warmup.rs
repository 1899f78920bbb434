//! Shares of cold instances.

use base::prelude::*;
use dispatch::Warmup;
use quickcheck::quickcheck;

/// 5.8 requests per second, half as many again, and 8 more.
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
fn test_warmup_limit_and_shares() {
    assert_eq!(
        (WARMUP.max_per_second(), WARMUP.shared_per_second()),
        (16, 8)
    );
    let strict = Warmup { slack: 0, ..WARMUP };
    assert_eq!(
        (strict.max_per_second(), strict.shared_per_second()),
        (8, 4)
    );
    let none = Warmup { rate: 0, ..strict };
    assert_eq!((none.max_per_second(), none.shared_per_second()), (0, 0));
}

#[test]
fn test_warmup_few_senders_get_all_shares() {
    let processes = names(0..117);
    for number in 0..50 {
        let senders = processes
            .iter()
            .filter(|own| WARMUP.share(&id(number), own, &processes) > 0);
        assert_eq!(senders.count(), 8);
        assert_eq!(sum(WARMUP, &id(number), &processes), 8);
    }
    assert_eq!(sum(WARMUP, &id(1), &names(0..1)), 8);
    assert_eq!(WARMUP.share(&id(1), "10.0.1.1:7635", &processes), 0);
    assert_eq!(WARMUP.share(&id(1), "10.0.0.1:7635", &[] as &[String]), 0);
}

quickcheck! {
    /// Guards against overload while processes hold either of two different process lists.
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
