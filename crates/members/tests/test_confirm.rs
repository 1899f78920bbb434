//! Confirmations must merge in any order, and the version must never decrease.

use std::time::Duration;

use base::prelude::*;
use members::Confirmed;
use members::Freshness;
use quickcheck::quickcheck;

use crate::common::at;

const LEASE: Duration = Duration::from_secs(3);
const START: u64 = 100;

fn confirmed((version, millis): (u8, u8)) -> Confirmed {
    Confirmed {
        version: version.into(),
        moment: at(millis.into()),
    }
}

fn merged(found: &[(u8, u8)]) -> Option<Confirmed> {
    let mut freshness = Freshness::new(at(START), LEASE);
    for found in found {
        freshness.merge(confirmed(*found));
    }
    freshness.latest()
}

quickcheck! {
    fn test_confirm_order_and_repetition_dont_matter(found: Vec<(u8, u8)>, again: Vec<usize>) -> bool {
        let mut other: Vec<(u8, u8)> = found.iter().rev().copied().collect();
        for i in again {
            if let Some(twice) = found.get(i % found.len().max(1)) {
                other.push(*twice);
            }
        }
        merged(&found) == merged(&other)
    }

    fn test_confirm_version_never_goes_back(found: Vec<(u8, u8)>) -> bool {
        let mut freshness = Freshness::new(at(START), LEASE);
        let mut last = 0;
        found.iter().all(|f| {
            freshness.merge(confirmed(*f));
            let version = freshness.latest().map_or(0, |b| b.version);
            std::mem::replace(&mut last, version) <= version
        })
    }
}

type Case = (&'static [(u8, u8)], u64, Option<u64>, bool);

#[test]
fn test_confirm_cases() {
    // Confirmations as (version, moment); now; expected version; expected to be current.
    let cases: [Case; 6] = [
        (&[], 100, None, false),
        (&[(5, 99)], 100, None, false),
        (&[(5, 100)], 3100, Some(5), true),
        (&[(5, 100)], 3101, Some(5), false),
        (&[(5, 150), (4, 200)], 3150, Some(5), true),
        (&[(5, 150), (4, 200)], 3151, Some(5), false),
    ];
    for (found, now, version, current) in cases {
        let mut freshness = Freshness::new(at(START), LEASE);
        for found in found {
            freshness.merge(confirmed(*found));
        }
        assert_eq!(freshness.latest().map(|b| b.version), version, "{found:?}");
        assert_eq!(freshness.is_current(at(now)), current, "{found:?} at {now}");
    }
}

#[test]
fn test_confirm_fenced_until_confirmed_again() {
    let mut freshness = Freshness::new(Moment::ZERO, LEASE);
    freshness.merge(confirmed((1, 10)));
    assert!(!freshness.is_current(at(3011)));
    freshness.merge(Confirmed {
        version: 1,
        moment: at(3011),
    });
    assert!(freshness.is_current(at(3011)));
}
