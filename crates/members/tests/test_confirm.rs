//! The spread of confirmations: never back, whatever the order.

use std::time::Duration;

use base::prelude::*;
use members::Confirmed;
use members::Standing;
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
    let mut standing = Standing::new(at(START), LEASE);
    for found in found {
        standing.merge(confirmed(*found));
    }
    standing.best()
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
        let mut standing = Standing::new(at(START), LEASE);
        let mut last = 0;
        found.iter().all(|f| {
            standing.merge(confirmed(*f));
            let version = standing.best().map_or(0, |b| b.version);
            std::mem::replace(&mut last, version) <= version
        })
    }
}

type Case = (&'static [(u8, u8)], u64, Option<u64>, bool);

#[test]
fn test_confirm_cases() {
    // Confirmations as (version, moment); now; the version held; whether it is current.
    let cases: [Case; 6] = [
        (&[], 100, None, false),
        (&[(5, 99)], 100, None, false),
        (&[(5, 100)], 3100, Some(5), true),
        (&[(5, 100)], 3101, Some(5), false),
        (&[(5, 150), (4, 200)], 3150, Some(5), true),
        (&[(5, 150), (4, 200)], 3151, Some(5), false),
    ];
    for (found, now, version, current) in cases {
        let mut standing = Standing::new(at(START), LEASE);
        for found in found {
            standing.merge(confirmed(*found));
        }
        assert_eq!(standing.best().map(|b| b.version), version, "{found:?}");
        assert_eq!(standing.is_current(at(now)), current, "{found:?} at {now}");
    }
}

#[test]
fn test_confirm_fenced_until_confirmed_again() {
    let mut standing = Standing::new(Moment::ZERO, LEASE);
    standing.merge(confirmed((1, 10)));
    assert!(!standing.is_current(at(3011)));
    standing.merge(Confirmed {
        version: 1,
        moment: at(3011),
    });
    assert!(standing.is_current(at(3011)));
}
