//! Membership under faults: outdated announcements, silence, partitions and restarts.

use base::prelude::*;
use members::Accepted;
use members::AnnounceError;
use members::HostPhase;
use members::Phase;

use crate::common;
use crate::common::at;
use crate::common::instance;

/// Expected result of an announcement.
#[derive(Debug, PartialEq, Eq)]
enum Expected {
    Accepted(Accepted),
    Older,
    Left,
}

fn classify(result: &Result<Accepted, AnnounceError>) -> Expected {
    match result {
        Ok(accepted) => Expected::Accepted(*accepted),
        Err(AnnounceError::Older(_)) => Expected::Older,
        Err(AnnounceError::Left(_)) => Expected::Left,
        Err(AnnounceError::Full(_)) => panic!("there is room"),
    }
}

#[test]
fn test_members_order_of_announcements() {
    use Expected::Accepted as H;
    use Phase::Draining;
    use Phase::Gone;
    use Phase::Ready;
    // Announcements as (phase, incarnation, sequence, expected result); expected phase at the end.
    type Step = (Phase, u64, u64, Expected);
    let cases: [(&str, &[Step], Option<Phase>); 8] = [
        (
            "renewed",
            &[
                (Ready, 1, 1, H(Accepted::Changed)),
                (Ready, 1, 2, H(Accepted::Renewed)),
            ],
            Some(Ready),
        ),
        (
            "repeated",
            &[
                (Ready, 1, 1, H(Accepted::Changed)),
                (Ready, 1, 1, H(Accepted::Repeated)),
            ],
            Some(Ready),
        ),
        (
            "draining",
            &[
                (Ready, 1, 1, H(Accepted::Changed)),
                (Draining, 1, 2, H(Accepted::Changed)),
            ],
            Some(Draining),
        ),
        (
            "older sequence",
            &[
                (Draining, 1, 2, H(Accepted::Changed)),
                (Ready, 1, 1, Expected::Older),
            ],
            Some(Draining),
        ),
        (
            "older incarnation",
            &[
                (Ready, 2, 1, H(Accepted::Changed)),
                (Draining, 1, 9, Expected::Older),
            ],
            Some(Ready),
        ),
        (
            "newer incarnation",
            &[
                (Draining, 1, 9, H(Accepted::Changed)),
                (Ready, 2, 1, H(Accepted::Changed)),
            ],
            Some(Ready),
        ),
        (
            "resurrect after gone",
            &[
                (Ready, 1, 1, H(Accepted::Changed)),
                (Gone, 1, 2, H(Accepted::Changed)),
                (Ready, 1, 3, Expected::Left),
                (Gone, 1, 4, H(Accepted::Repeated)),
            ],
            None,
        ),
        (
            "restart after gone",
            &[
                (Ready, 1, 1, H(Accepted::Changed)),
                (Gone, 1, 2, H(Accepted::Changed)),
                (Ready, 2, 1, H(Accepted::Changed)),
            ],
            Some(Ready),
        ),
    ];
    for (name, steps, seen) in cases {
        let mut directory = common::directory("a", 1, Moment::ZERO);
        for (phase, incarnation, sequence, expected) in steps {
            let found = directory.announce(instance("g1", *phase, *incarnation, *sequence), at(1));
            assert_eq!(
                classify(&found),
                *expected,
                "{name}: {phase} {incarnation} {sequence}"
            );
        }
        assert_eq!(common::phase(&directory, "g1"), seen, "{name}");
    }
}

#[test]
fn test_members_expired_lease_is_not_revived_by_old_announcements() {
    let mut directory = common::directory("a", 1, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 5), at(0))
        .expect("accepted");
    common::sweep(&mut directory, 100, 1400);
    assert_eq!(common::phase(&directory, "g1"), Some(Phase::Ready));
    let swept = directory.sweep(at(1500));
    assert_eq!(swept.leases, [common::key("g1")]);
    assert_eq!(common::phase(&directory, "g1"), None);
    for sequence in [4, 5] {
        let refused = directory.announce(instance("g1", Phase::Ready, 1, sequence), at(1600));
        assert_eq!(classify(&refused), Expected::Older, "sequence {sequence}");
    }
    directory
        .announce(instance("g1", Phase::Ready, 1, 6), at(1700))
        .expect("a newer sequence renews the lease");
    assert_eq!(common::phase(&directory, "g1"), Some(Phase::Ready));
}

#[test]
fn test_members_no_lease_expires_after_a_suspension() {
    let mut directory = common::directory("a", 1, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("accepted");
    common::sweep(&mut directory, 100, 500);
    assert!(
        directory.sweep(at(9000)).paused,
        "the process was suspended for 8.5 s"
    );
    directory
        .announce(instance("g1", Phase::Ready, 1, 2), at(9100))
        .expect("accepted after the suspension");
    common::sweep(&mut directory, 9100, 10_500);
    assert_eq!(common::phase(&directory, "g1"), Some(Phase::Ready));
    common::sweep(&mut directory, 10_600, 10_600);
    assert_eq!(common::phase(&directory, "g1"), None, "silent since 9.1 s");
}

#[test]
fn test_members_change_reaches_a_peer_by_one_push() {
    let (mut home, mut peer) = pair();
    for (sequence, phase) in [(2, Phase::Draining), (3, Phase::Gone)] {
        home.announce(instance("g1", phase, 1, sequence), at(300))
            .expect("accepted");
        common::push(&home, &mut peer);
        let seen = (phase != Phase::Gone).then_some(phase);
        assert_eq!(common::phase(&peer, "g1"), seen);
    }
}

#[test]
fn test_members_expiry_reaches_a_peer_by_one_push() {
    let (mut home, mut peer) = pair();
    common::sweep(&mut home, 200, 1600);
    common::push(&home, &mut peer);
    assert_eq!(common::phase(&peer, "g1"), None);
}

/// Two directories; the second has a copy of the first's instance.
fn pair() -> (members::Members, members::Members) {
    let mut home = common::directory("a", 1, Moment::ZERO);
    let mut peer = common::directory("b", 1, Moment::ZERO);
    home.announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("accepted");
    common::pull(&mut peer, &mut home, at(0), at(0));
    assert_eq!(common::phase(&peer, "g1"), Some(Phase::Ready));
    (home, peer)
}

#[test]
fn test_members_records_of_a_silent_home_expire() {
    let (_, mut peer) = pair();
    common::sweep(&mut peer, 100, 3000);
    assert_eq!(
        common::phase(&peer, "g1"),
        Some(Phase::Ready),
        "within the home's lease"
    );
    let swept = peer.sweep(at(3100));
    assert_eq!(swept.homes, [HostName::new("a").expect("a name")]);
    assert_eq!(common::phase(&peer, "g1"), None);
}

#[test]
fn test_members_relayed_age_includes_the_time_at_the_relay() {
    let (_, mut second) = pair();
    let mut third = common::directory("c", 1, Moment::ZERO);
    common::sweep(&mut third, 100, 2900);
    common::sweep(&mut second, 100, 2900);
    common::pull(&mut third, &mut second, at(2900), at(2900));
    assert_eq!(
        common::phase(&third, "g1"),
        Some(Phase::Ready),
        "the home was seen alive 2.9 s ago"
    );
    common::sweep(&mut third, 3000, 3100);
    assert_eq!(
        common::phase(&third, "g1"),
        None,
        "the age counts from the last heartbeat, not from the reply"
    );
}

#[test]
fn test_members_delayed_reply_does_not_reduce_the_age() {
    let (mut home, _) = pair();
    let mut peer = common::directory("b", 1, Moment::ZERO);
    common::sweep(&mut peer, 100, 2500);
    // Sent and answered at 0, then delayed for 2.5 s.
    common::pull(&mut peer, &mut home, at(0), at(0));
    common::sweep(&mut peer, 2600, 3100);
    assert_eq!(common::phase(&peer, "g1"), None);
}

#[test]
fn test_members_status_counts_only_for_an_up_to_date_copy() {
    let (mut home, mut peer) = pair();
    home.announce(instance("g2", Phase::Ready, 1, 1), at(100))
        .expect("accepted");
    let statuses = home.statuses(at(2900));
    common::sweep(&mut peer, 100, 2900);
    // The deltas are lost; only the statuses arrive.
    peer.merge_statuses(&statuses, at(2900));
    common::sweep(&mut peer, 3000, 3100);
    assert_eq!(
        common::phase(&peer, "g1"),
        None,
        "the copy may contain records that the home removed"
    );
}

#[test]
fn test_members_ages_count_only_at_equal_digests() {
    for equal in [false, true] {
        let (mut home, mut peer) = pair();
        if !equal {
            home.announce(instance("g2", Phase::Ready, 1, 1), at(100))
                .expect("accepted");
        }
        // Both directories know the same homes.
        common::pull(&mut home, &mut peer, at(100), at(100));
        common::sweep(&mut peer, 100, 2900);
        peer.merge_ages(home.digest(), &home.ages(at(2900)), at(2900));
        common::sweep(&mut peer, 3000, 3100);
        let seen = equal.then_some(Phase::Ready);
        assert_eq!(common::phase(&peer, "g1"), seen, "equal digests: {equal}");
    }
}

#[test]
fn test_members_drain_survives_the_end_of_the_lease_at_its_first_home() {
    let (mut a, mut b) = pair();
    b.announce(instance("g1", Phase::Ready, 1, 2), at(0))
        .expect("accepted");
    a.announce(instance("g1", Phase::Draining, 1, 3), at(100))
        .expect("accepted");
    common::push(&a, &mut b);
    b.announce(instance("g1", Phase::Draining, 1, 4), at(200))
        .expect("accepted");
    for step in (200..=2000).step_by(100) {
        a.sweep(at(step));
        b.announce(instance("g1", Phase::Draining, 1, 5 + step), at(step))
            .expect("accepted");
        b.sweep(at(step));
    }
    common::push(&a, &mut b);
    assert_eq!(
        common::phase(&b, "g1"),
        Some(Phase::Draining),
        "the end of the lease at a reveals no outdated record"
    );
}

#[test]
fn test_members_old_incarnation_never_returns_to_a_view() {
    let (mut a, mut b) = pair();
    b.announce(instance("g1", Phase::Ready, 2, 1), at(100))
        .expect("accepted");
    common::push(&b, &mut a);
    common::sweep(&mut b, 200, 1700);
    common::push(&b, &mut a);
    assert_eq!(
        common::phase(&a, "g1"),
        None,
        "incarnation 1 still has a lease here, but is superseded"
    );
    let refused = a.announce(instance("g1", Phase::Ready, 1, 9), at(1800));
    assert_eq!(classify(&refused), Expected::Older);
}

#[test]
fn test_members_home_restarted_with_its_clock_set_back() {
    let (home, mut peer) = pair();
    let old = home.own_position();
    let mut again = common::directory("a", 0, at(1000));
    again
        .announce(instance("g1", Phase::Draining, 1, 7), at(1000))
        .expect("accepted");
    common::pull(&mut again, &mut peer, at(1000), at(1000));
    assert!(again.own_position() > old, "a peer reports {old:?}");
    common::push(&again, &mut peer);
    common::pull(&mut peer, &mut again, at(1100), at(1100));
    assert_eq!(common::phase(&peer, "g1"), Some(Phase::Draining));
}

#[test]
fn test_members_hosts_are_handled_like_instances() {
    let mut home = common::directory("a", 1, Moment::ZERO);
    let mut peer = common::directory("b", 1, Moment::ZERO);
    home.announce_host(common::host("h", HostPhase::Serving, 1), at(0))
        .expect("accepted");
    common::pull(&mut peer, &mut home, at(0), at(0));
    assert_eq!(peer.hosts().len(), 1);
    home.announce_host(common::host("h", HostPhase::Fenced, 2), at(100))
        .expect("accepted");
    let refused = home.announce_host(common::host("h", HostPhase::Serving, 1), at(200));
    assert!(matches!(refused, Err(AnnounceError::Older(_))));
    common::push(&home, &mut peer);
    let phases: Vec<_> = peer.hosts().records().collect();
    assert_eq!(
        phases,
        [&members::Record::Host(common::host(
            "h",
            HostPhase::Fenced,
            2
        ))]
    );
    common::sweep(&mut home, 300, 1700);
    common::push(&home, &mut peer);
    assert!(peer.hosts().is_empty(), "the gateway no longer polls");
}

#[test]
fn test_members_table_full() {
    let limits = members::Limits {
        max_records: 1,
        ..members::Limits::default()
    };
    let location = common::directory("a", 1, Moment::ZERO).location().clone();
    let me = HostName::new("a").expect("a name");
    let mut directory = members::Members::new(me, location, 1, limits, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("room for one");
    let full = directory.announce(instance("g2", Phase::Ready, 1, 1), at(0));
    assert_eq!(full, Err(AnnounceError::Full(1)));
    directory
        .announce(instance("g1", Phase::Ready, 1, 2), at(0))
        .expect("known");
}
