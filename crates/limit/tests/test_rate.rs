//! Rates and the texts that instances send.

use std::time::Duration;

use limit::RequestRate;

#[test]
fn test_rate_parses_decimal_numbers_only() {
    for (text, milli) in [("2.4", 2_400), (" 13 ", 13_000), ("0", 0), ("0.05", 50)] {
        let rate = RequestRate::parse(text);
        assert_eq!(rate, Some(RequestRate::from_milli(milli)), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "2,4", "2.4/s"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    let most = RequestRate::parse("1e300");
    assert_eq!(most, Some(RequestRate::from_milli(u32::MAX)));
}

#[test]
fn test_rate_parts_and_intervals() {
    let rate = RequestRate::from_milli(2_500);
    assert_eq!(rate.interval(), Some(Duration::from_millis(400)));
    assert_eq!(rate.divided_by(5), RequestRate::from_milli(500));
    assert_eq!(rate.divided_by(0), RequestRate::ZERO);
    assert_eq!(RequestRate::ZERO.interval(), None);
    assert_eq!(rate.to_string(), "2.5");
}
