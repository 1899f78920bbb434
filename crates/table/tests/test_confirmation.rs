//! When the table in force counts as the newest.

use std::time::Duration;

use base::prelude::*;
use table::Confirmation;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn age(confirmation: &Confirmation) -> Option<u128> {
    confirmation.age(at(100)).map(|age| age.as_millis())
}

/// Guards against a confirmation that counts while no table is in force, because version 0 is
/// taken for "no table".
#[test]
fn test_confirmation_of_version_zero_counts_once_it_is_in_force() {
    let mut confirmation = Confirmation::default();
    confirmation.record(0, at(10));
    assert_eq!(age(&confirmation), None);
    assert!(!confirmation.is_within(at(100), Duration::MAX));
    confirmation.put_in_force(0);
    assert_eq!(age(&confirmation), Some(90));
    confirmation.record(0, at(40));
    assert_eq!(age(&confirmation), Some(60));
    // The newest table is another one, which isn't in force yet.
    confirmation.record(1, at(70));
    assert_eq!(age(&confirmation), Some(60));
    confirmation.put_in_force(1);
    assert_eq!(age(&confirmation), Some(30));
}
