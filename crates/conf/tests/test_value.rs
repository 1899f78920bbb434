//! Guards against values that change when they are formatted and parsed again.

use std::time::Duration;

use conf::Value;
use conf::value::Bytes;
use conf::value::Percent;
use conf::value::Rate;
use conf::value::duration_text;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 1_848;

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1 << 20, SEED))
        .tests(2_000)
}

#[test]
fn test_value_round_trips() {
    check()
        .quickcheck((|n| Bytes::read(&Bytes(n).to_string()) == Some(Bytes(n))) as fn(u64) -> bool);
    check().quickcheck((|n| Rate::read(&Rate(n).to_string()) == Some(Rate(n))) as fn(u32) -> bool);
    check().quickcheck(
        (|n| {
            let duration = Duration::from_millis(n);
            Duration::read(&duration_text(duration)) == Some(duration)
        }) as fn(u64) -> bool,
    );
    for n in 0..=100 {
        assert_eq!(Percent::read(&Percent(n).to_string()), Some(Percent(n)));
    }
}

#[test]
fn test_value_texts() {
    let durations = [
        (0, "0ms"),
        (250, "250ms"),
        (2_000, "2s"),
        (60_000, "1min"),
        (61_000, "61s"),
    ];
    for (millis, text) in durations {
        assert_eq!(duration_text(Duration::from_millis(millis)), text);
    }
    let sizes = [
        (0, "0B"),
        (1_000, "1000B"),
        (1_024, "1KiB"),
        (1 << 20, "1MiB"),
        ((1 << 20) + 1_024, "1025KiB"),
    ];
    for (count, text) in sizes {
        assert_eq!(Bytes(count).to_string(), text);
    }
    let rates = [
        (0, "0/s"),
        (1, "0.001/s"),
        (2_500, "2.5/s"),
        (10_000, "10/s"),
    ];
    for (millis, text) in rates {
        assert_eq!(Rate(millis).to_string(), text);
    }
}
