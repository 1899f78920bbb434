//! Which route tables a process may obey, by what the hubs say of theirs.

use std::net::SocketAddr;

use entry::sync::trust::Trust;
use entry::sync::trust::Verdict;
use wire::hub::Currency;

fn hub(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7012).into()
}

/// Guards against a table that is obeyed before any hub has said that it is the newest, or not any
/// more once one has, whatever the others say.
#[test]
fn test_trust_obeys_from_the_confirmed_version_on() {
    let mut trust = Trust::default();
    assert_eq!(trust.verdict(7), Verdict::Withheld);
    assert_eq!(trust.known(hub(1)), Some(Currency::Unspecified));
    trust.record(hub(1), Currency::Undecided, Some(7));
    trust.record(hub(2), Currency::Unspecified, None);
    assert_eq!(trust.verdict(7), Verdict::Withheld);
    assert_eq!(trust.known(hub(1)), Some(Currency::Undecided));
    trust.record(hub(3), Currency::Confirmed, Some(8));
    assert_eq!(trust.verdict(7), Verdict::Withheld, "another hub is behind");
    assert_eq!(trust.verdict(8), Verdict::Confirmed);
    assert_eq!(trust.verdict(9), Verdict::Confirmed);
    assert_eq!(trust.known(hub(1)), None, "nothing more to ask");
    trust.forget(hub(3));
    assert_eq!(trust.verdict(8), Verdict::Confirmed);
    trust.record(hub(1), Currency::NoMajority, Some(7));
    assert_eq!(
        trust.verdict(7),
        Verdict::Withheld,
        "it is older for certain"
    );
    assert!(!trust.must_withhold(8));
    assert!(trust.must_withhold(7));
}

/// Guards against a process that never serves a system whose first table is still to come.
#[test]
fn test_trust_without_any_table_obeys_the_first() {
    let mut trust = Trust::default();
    trust.record(hub(1), Currency::Confirmed, None);
    assert_eq!(trust.verdict(0), Verdict::Confirmed);
}

/// Guards against a process that serves nothing although most hubs are lost for good, or goes on with a
/// table that may be older while a hub is about to find out.
#[test]
fn test_trust_obeys_a_recovered_table_only_while_nobody_can_find_out() {
    let mut trust = Trust::default();
    assert!(trust.record(hub(1), Currency::Undecided, Some(7)));
    assert!(!trust.record(hub(1), Currency::Undecided, Some(7)));
    assert!(trust.record(hub(1), Currency::NoMajority, Some(7)));
    assert_eq!(trust.verdict(7), Verdict::Provisional);
    trust.record(hub(2), Currency::Unspecified, None);
    assert_eq!(
        trust.verdict(7),
        Verdict::Provisional,
        "a hub without a disk"
    );
    trust.record(hub(3), Currency::Undecided, Some(6));
    assert_eq!(
        trust.verdict(7),
        Verdict::Withheld,
        "others are about to find out"
    );
    assert!(trust.must_withhold(7));
    trust.forget(hub(3));
    assert_eq!(trust.verdict(7), Verdict::Provisional);
    trust.forget(hub(1));
    assert_eq!(trust.verdict(7), Verdict::Withheld);
    assert!(
        !trust.must_withhold(7),
        "hubs that fall silent are no reason"
    );
    trust.record(hub(4), Currency::Confirmed, Some(7));
    assert_eq!(trust.verdict(7), Verdict::Confirmed);
}
