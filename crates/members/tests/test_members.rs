//! Membership under faults: older, leaving, silent, cut off, stopped, restarted.

use base::prelude::*;
use members::AnnounceError;
use members::Heard;
use members::HostPhase;
use members::Phase;

use crate::common;
use crate::common::at;
use crate::common::instance;

/// What an announcement is expected to do.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Heard(Heard),
    Older,
    Left,
}

fn fate(result: &Result<Heard, AnnounceError>) -> Fate {
    match result {
        Ok(heard) => Fate::Heard(*heard),
        Err(AnnounceError::Older(_)) => Fate::Older,
        Err(AnnounceError::Left(_)) => Fate::Left,
        Err(AnnounceError::Full(_)) => panic!("there is room"),
    }
}

#[test]
fn test_members_order_of_announcements() {
    use Fate::Heard as H;
    use Phase::Draining;
    use Phase::Gone;
    use Phase::Ready;
    // Announcements as (phase, incarnation, sequence, fate); the phase seen at the end.
    type Row = (Phase, u64, u64, Fate);
    let cases: [(&str, &[Row], Option<Phase>); 8] = [
        (
            "renewed",
            &[
                (Ready, 1, 1, H(Heard::Changed)),
                (Ready, 1, 2, H(Heard::Renewed)),
            ],
            Some(Ready),
        ),
        (
            "repeated",
            &[
                (Ready, 1, 1, H(Heard::Changed)),
                (Ready, 1, 1, H(Heard::Repeated)),
            ],
            Some(Ready),
        ),
        (
            "draining",
            &[
                (Ready, 1, 1, H(Heard::Changed)),
                (Draining, 1, 2, H(Heard::Changed)),
            ],
            Some(Draining),
        ),
        (
            "older sequence",
            &[
                (Draining, 1, 2, H(Heard::Changed)),
                (Ready, 1, 1, Fate::Older),
            ],
            Some(Draining),
        ),
        (
            "older incarnation",
            &[
                (Ready, 2, 1, H(Heard::Changed)),
                (Draining, 1, 9, Fate::Older),
            ],
            Some(Ready),
        ),
        (
            "newer incarnation",
            &[
                (Draining, 1, 9, H(Heard::Changed)),
                (Ready, 2, 1, H(Heard::Changed)),
            ],
            Some(Ready),
        ),
        (
            "resurrect after gone",
            &[
                (Ready, 1, 1, H(Heard::Changed)),
                (Gone, 1, 2, H(Heard::Changed)),
                (Ready, 1, 3, Fate::Left),
                (Gone, 1, 4, H(Heard::Repeated)),
            ],
            None,
        ),
        (
            "restart after gone",
            &[
                (Ready, 1, 1, H(Heard::Changed)),
                (Gone, 1, 2, H(Heard::Changed)),
                (Ready, 2, 1, H(Heard::Changed)),
            ],
            Some(Ready),
        ),
    ];
    for (name, rows, seen) in cases {
        let mut directory = common::directory("a", 1, Moment::ZERO);
        for (phase, incarnation, sequence, expected) in rows {
            let found = directory.announce(instance("g1", *phase, *incarnation, *sequence), at(1));
            assert_eq!(
                fate(&found),
                *expected,
                "{name}: {phase} {incarnation} {sequence}"
            );
        }
        assert_eq!(common::phase(&directory, "g1"), seen, "{name}");
    }
}

#[test]
fn test_members_lease_runs_out_and_nothing_old_brings_it_back() {
    let mut directory = common::directory("a", 1, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 5), at(0))
        .expect("taken");
    common::sweep(&mut directory, 100, 1400);
    assert_eq!(common::phase(&directory, "g1"), Some(Phase::Ready));
    let swept = directory.sweep(at(1500));
    assert_eq!(swept.leases, [common::key("g1")]);
    assert_eq!(common::phase(&directory, "g1"), None);
    for sequence in [4, 5] {
        let late = directory.announce(instance("g1", Phase::Ready, 1, sequence), at(1600));
        assert_eq!(fate(&late), Fate::Older, "sequence {sequence}");
    }
    directory
        .announce(instance("g1", Phase::Ready, 1, 6), at(1700))
        .expect("it was only slow");
    assert_eq!(common::phase(&directory, "g1"), Some(Phase::Ready));
}

#[test]
fn test_members_standstill_ends_no_lease() {
    let mut directory = common::directory("a", 1, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("taken");
    common::sweep(&mut directory, 100, 500);
    assert!(
        directory.sweep(at(9000)).paused,
        "the process stood still for 8.5 s"
    );
    directory
        .announce(instance("g1", Phase::Ready, 1, 2), at(9100))
        .expect("it waited in the socket");
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
            .expect("taken");
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

/// Two directories, the second a peer that knows the first's instance.
fn pair() -> (members::Members, members::Members) {
    let mut home = common::directory("a", 1, Moment::ZERO);
    let mut peer = common::directory("b", 1, Moment::ZERO);
    home.announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("taken");
    common::pull(&mut peer, &mut home, at(0), at(0));
    assert_eq!(common::phase(&peer, "g1"), Some(Phase::Ready));
    (home, peer)
}

#[test]
fn test_members_silent_home_keeps_nothing_alive() {
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
fn test_members_age_is_passed_on_by_a_third() {
    let (_, mut second) = pair();
    let mut third = common::directory("c", 1, Moment::ZERO);
    common::sweep(&mut third, 100, 2900);
    common::sweep(&mut second, 100, 2900);
    common::pull(&mut third, &mut second, at(2900), at(2900));
    assert_eq!(
        common::phase(&third, "g1"),
        Some(Phase::Ready),
        "the home was heard 2.9 s ago"
    );
    common::sweep(&mut third, 3000, 3100);
    assert_eq!(
        common::phase(&third, "g1"),
        None,
        "told late, not heard late"
    );
}

#[test]
fn test_members_delayed_answer_makes_nothing_younger() {
    let (mut home, _) = pair();
    let mut peer = common::directory("b", 1, Moment::ZERO);
    common::sweep(&mut peer, 100, 2500);
    // Asked and answered at 0, and then held up on the way for 2.5 s.
    common::pull(&mut peer, &mut home, at(0), at(0));
    common::sweep(&mut peer, 2600, 3100);
    assert_eq!(common::phase(&peer, "g1"), None);
}

#[test]
fn test_members_vouch_counts_only_for_a_copy_as_new() {
    let (mut home, mut peer) = pair();
    home.announce(instance("g2", Phase::Ready, 1, 1), at(100))
        .expect("taken");
    let vouches = home.vouches(at(2900));
    common::sweep(&mut peer, 100, 2900);
    // The deltas were lost, the statement came.
    peer.merge_vouches(&vouches, at(2900));
    common::sweep(&mut peer, 3000, 3100);
    assert_eq!(
        common::phase(&peer, "g1"),
        None,
        "the copy may hold what the home dropped"
    );
}

#[test]
fn test_members_ages_count_only_at_equal_digests() {
    for told in [false, true] {
        let (mut home, mut peer) = pair();
        if !told {
            home.announce(instance("g2", Phase::Ready, 1, 1), at(100))
                .expect("taken");
        }
        // Both know the same homes.
        common::pull(&mut home, &mut peer, at(100), at(100));
        common::sweep(&mut peer, 100, 2900);
        peer.merge_ages(home.digest(), &home.ages(at(2900)), at(2900));
        common::sweep(&mut peer, 3000, 3100);
        let seen = told.then_some(Phase::Ready);
        assert_eq!(common::phase(&peer, "g1"), seen, "equal digests: {told}");
    }
}

#[test]
fn test_members_drain_told_to_one_home_outlives_its_lease_there() {
    let (mut a, mut b) = pair();
    b.announce(instance("g1", Phase::Ready, 1, 2), at(0))
        .expect("taken");
    a.announce(instance("g1", Phase::Draining, 1, 3), at(100))
        .expect("taken");
    common::push(&a, &mut b);
    b.announce(instance("g1", Phase::Draining, 1, 4), at(200))
        .expect("taken");
    for step in (200..=2000).step_by(100) {
        a.sweep(at(step));
        b.announce(instance("g1", Phase::Draining, 1, 5 + step), at(step))
            .expect("taken");
        b.sweep(at(step));
    }
    common::push(&a, &mut b);
    assert_eq!(
        common::phase(&b, "g1"),
        Some(Phase::Draining),
        "what a withdrew uncovers no older word"
    );
}

#[test]
fn test_members_old_incarnation_never_returns_to_a_view() {
    let (mut a, mut b) = pair();
    b.announce(instance("g1", Phase::Ready, 2, 1), at(100))
        .expect("taken");
    common::push(&b, &mut a);
    common::sweep(&mut b, 200, 1700);
    common::push(&b, &mut a);
    assert_eq!(
        common::phase(&a, "g1"),
        None,
        "incarnation 1 still has a lease here, and ended"
    );
    let late = a.announce(instance("g1", Phase::Ready, 1, 9), at(1800));
    assert_eq!(fate(&late), Fate::Older);
}

#[test]
fn test_members_home_restarted_with_its_clock_set_back() {
    let (home, mut peer) = pair();
    let old = home.own_point();
    let mut again = common::directory("a", 0, at(1000));
    again
        .announce(instance("g1", Phase::Draining, 1, 7), at(1000))
        .expect("taken");
    common::pull(&mut again, &mut peer, at(1000), at(1000));
    assert!(again.own_point() > old, "a peer remembers {old:?}");
    common::push(&again, &mut peer);
    common::pull(&mut peer, &mut again, at(1100), at(1100));
    assert_eq!(common::phase(&peer, "g1"), Some(Phase::Draining));
}

#[test]
fn test_members_hosts_are_heard_like_instances() {
    let mut home = common::directory("a", 1, Moment::ZERO);
    let mut peer = common::directory("b", 1, Moment::ZERO);
    home.hear_host(common::host("h", HostPhase::Serving, 1), at(0))
        .expect("taken");
    common::pull(&mut peer, &mut home, at(0), at(0));
    assert_eq!(peer.hosts().len(), 1);
    home.hear_host(common::host("h", HostPhase::Fenced, 2), at(100))
        .expect("taken");
    let late = home.hear_host(common::host("h", HostPhase::Serving, 1), at(200));
    assert!(matches!(late, Err(AnnounceError::Older(_))));
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
    assert!(peer.hosts().is_empty(), "the gateway fell silent");
}

#[test]
fn test_members_no_room() {
    let limits = members::Limits {
        records: 1,
        ..members::Limits::default()
    };
    let place = common::directory("a", 1, Moment::ZERO).place().clone();
    let me = HostName::new("a").expect("a name");
    let mut directory = members::Members::new(me, place, 1, limits, Moment::ZERO);
    directory
        .announce(instance("g1", Phase::Ready, 1, 1), at(0))
        .expect("room for one");
    let full = directory.announce(instance("g2", Phase::Ready, 1, 1), at(0));
    assert_eq!(full, Err(AnnounceError::Full(1)));
    directory
        .announce(instance("g1", Phase::Ready, 1, 2), at(0))
        .expect("known");
}
