//! Which requests are refused, whatever the order in which crashes are told.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;
use common::at;
use common::crash;
use common::head;
use common::request;
use common::request_of;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Outcome;
use quarantine::Suspect;
use quarantine::Tracker;
use quarantine::tracker::CRASHES;
use quarantine::tracker::CRASHES_AMONG_OTHERS;
use quarantine::tracker::CRASHES_OF_ALL;
use quarantine::tracker::MOST_REFUSAL;
use quarantine::tracker::REFUSAL;
use quarantine::tracker::WINDOW;
use quickcheck::quickcheck;

/// Tells of a crash as it happens.
fn tell(tracker: &mut Tracker, name: &str, instance: u64, seconds: u64) -> Outcome {
    tracker.record_crash(at(seconds), &crash(name, instance, seconds))
}

fn is_refused(tracker: &Tracker, name: &str, seconds: u64) -> bool {
    tracker.refused(at(seconds), request(name)).is_some()
}

#[test]
fn test_tracker_request_is_refused_after_the_third_instance() {
    let mut tracker = Tracker::default();
    for instance in 1..CRASHES as u64 {
        let outcome = tell(&mut tracker, "bad", instance, instance);
        assert!(matches!(outcome, Outcome::Counted { others: 0, .. }));
        assert!(!is_refused(&tracker, "bad", instance));
    }
    let outcome = tell(&mut tracker, "bad", 3, 3);
    let refused = Outcome::Refused {
        crashes: CRASHES,
        span: REFUSAL,
    };
    assert_eq!(outcome, refused);
    assert!(is_refused(&tracker, "bad", 4));
    assert!(!is_refused(&tracker, "good", 4));
    assert!(tracker.tracks_path(head("bad")));
    assert!(!tracker.tracks_path(head("good")));
}

/// Copies of a request run at one instance, and each process that had one tells of it.
#[test]
fn test_tracker_instance_counts_once_for_a_request() {
    let mut tracker = Tracker::default();
    for seconds in 0..10 {
        tell(&mut tracker, "twice", 1, seconds);
    }
    assert_eq!(tell(&mut tracker, "twice", 1, 10), Outcome::Known);
    assert!(!is_refused(&tracker, "twice", 10));
    // The same instance after a restart is another one.
    for incarnation in 1..3 {
        let mut again = crash("twice", 1, 11);
        again.run.incarnation = incarnation;
        tracker.record_crash(at(11), &again);
    }
    assert!(is_refused(&tracker, "twice", 11));
}

/// An innocent request runs beside the one that crashes instances, is answered elsewhere, and
/// comes again.
#[test]
fn test_tracker_request_that_was_answered_starts_anew() {
    let mut tracker = Tracker::default();
    for instance in 1..20 {
        tell(&mut tracker, "innocent", instance, instance);
        if instance % 2 == 0 {
            assert!(tracker.record_success(at(instance), request("innocent")));
        }
        assert!(!is_refused(&tracker, "innocent", instance));
    }
    assert!(!tracker.record_success(at(20), request("never seen")));
}

/// Instances go down by themselves, again and again, and requests that nobody
/// else sends are under them.
#[test]
fn test_tracker_request_among_crashes_of_another_cause_needs_more() {
    let mut tracker = Tracker::default();
    for instance in 1..=10 {
        tell(&mut tracker, &format!("other-{instance}"), instance, 1);
    }
    for instance in 21..21 + CRASHES_AMONG_OTHERS as u64 - 1 {
        tell(&mut tracker, "unlucky", instance, 2);
        assert!(!is_refused(&tracker, "unlucky", 2), "{instance}");
    }
    tell(&mut tracker, "unlucky", 40, 3);
    assert!(is_refused(&tracker, "unlucky", 3));
}

/// Crashes of another service, or of long before, have another cause.
#[test]
fn test_tracker_only_near_crashes_of_the_service_speak_for_a_request() {
    let mut tracker = Tracker::default();
    for instance in 1..=10 {
        tell(&mut tracker, "before", instance, 1);
        let mut other = crash("elsewhere", 100 + instance, 100);
        other.service = ServiceName::new("grants").expect("a name");
        tracker.record_crash(at(100), &other);
    }
    for instance in 21..24 {
        tell(&mut tracker, "bad", instance, 100);
    }
    assert!(is_refused(&tracker, "bad", 100));
}

/// What crashed instances may have been mended: it is tried again, later each time.
#[test]
fn test_tracker_refusal_ends_and_one_more_crash_renews_it_for_longer() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        tell(&mut tracker, "bad", instance, 0);
    }
    let (mut now, mut instance) = (0, 10);
    let mut span = REFUSAL;
    while span < MOST_REFUSAL {
        now += span.as_secs();
        assert!(!is_refused(&tracker, "bad", now));
        span = (span * 2).min(MOST_REFUSAL);
        instance += 1;
        let outcome = tell(&mut tracker, "bad", instance, now);
        assert!(matches!(outcome, Outcome::Refused { span: s, .. } if s == span));
    }
}

/// One that was on its way when the refusal began renews nothing.
#[test]
fn test_tracker_crash_of_before_the_refusal_doesnt_lengthen_it() {
    let mut tracker = Tracker::default();
    for instance in 1..=5 {
        tell(&mut tracker, "bad", instance, 0);
    }
    assert_eq!(
        tracker.refused(at(0), request("bad")),
        Some(REFUSAL),
        "told of two more"
    );
}

#[test]
fn test_tracker_crashes_of_long_ago_are_forgotten() {
    let mut tracker = Tracker::default();
    tell(&mut tracker, "rare", 1, 0);
    tell(&mut tracker, "rare", 2, 1);
    let later = WINDOW.as_secs() + 2;
    tell(&mut tracker, "rare", 3, later);
    assert!(!is_refused(&tracker, "rare", later));
}

#[test]
fn test_tracker_learns_refusals_of_others() {
    let mut tracker = Tracker::default();
    let left = Duration::from_secs(50);
    assert!(tracker.record_refusal(at(0), request("bad"), left));
    assert!(!tracker.record_refusal(at(1), request("bad"), left));
    assert!(is_refused(&tracker, "bad", 50));
    assert!(!is_refused(&tracker, "bad", 51));
    // It was tried again, and nothing has changed.
    let outcome = tell(&mut tracker, "bad", 1, 52);
    assert!(matches!(outcome, Outcome::Refused { crashes: 1, .. }));
}

#[test]
fn test_tracker_tells_of_refused_requests_first() {
    let mut tracker = Tracker::default();
    tell(&mut tracker, "once", 1, 0);
    for instance in 1..=2 {
        tell(&mut tracker, "suspect", instance, 0);
    }
    for instance in 1..=3 {
        tell(&mut tracker, "bad", instance, 0);
    }
    let told = tracker.suspects(at(0));
    let bad = Suspect {
        request: request("bad"),
        refused: REFUSAL,
    };
    assert_eq!(told[0], bad);
    let others: BTreeSet<Fingerprint> = told[1..].iter().map(|s| s.request).collect();
    assert!(told[1..].iter().all(|s| s.refused.is_zero()));
    let (bad, suspect) = (request("bad"), request("suspect"));
    assert_eq!(others, [bad.of_all(), suspect, suspect.of_all()].into());
}

/// Tells of a crash under a request of one of several senders.
fn tell_of(tracker: &mut Tracker, name: &str, caller: u8, instance: u64) -> Outcome {
    let crash = Crash {
        request: request_of(name, caller),
        ..crash(name, instance, 0)
    };
    tracker.record_crash(at(0), &crash)
}

fn is_refused_to(tracker: &Tracker, name: &str, caller: u8) -> bool {
    tracker.refused(at(0), request_of(name, caller)).is_some()
}

/// A caller comes again from another address each time.
#[test]
fn test_tracker_request_of_changing_senders_is_refused_to_all() {
    let mut tracker = Tracker::default();
    for (caller, instance) in (11_u8..).zip(0..CRASHES_OF_ALL as u64) {
        assert!(!is_refused_to(&tracker, "bad", 99));
        tell_of(&mut tracker, "bad", caller, instance);
    }
    assert!(is_refused_to(&tracker, "bad", 99));
    assert!(!is_refused_to(&tracker, "good", 99));
}

/// Another sender's request for the same path runs beside it, twice, and isn't the cause.
#[test]
fn test_tracker_request_of_one_sender_is_refused_to_it_alone() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        if instance > 1 {
            tell_of(&mut tracker, "same", 2, instance);
        }
        tell_of(&mut tracker, "same", 1, instance);
    }
    assert!(is_refused_to(&tracker, "same", 1));
    assert!(!is_refused_to(&tracker, "same", 2));
    assert!(!is_refused_to(&tracker, "same", 3));
    // What it had sent before crashes one more, under another's as well.
    tell_of(&mut tracker, "same", 1, 4);
    tell_of(&mut tracker, "same", 3, 4);
    assert!(!is_refused_to(&tracker, "same", 3));
}

/// Many callers ask for the same, and a failure domain goes.
#[test]
fn test_tracker_path_that_was_answered_lately_is_not_refused_to_all() {
    let mut tracker = Tracker::default();
    for number in 1..=8 {
        let crash = Crash {
            request: request_of("popular", number),
            answered: number % 3 == 0,
            ..crash("popular", number.into(), 0)
        };
        tracker.record_crash(at(0), &crash);
        assert!(!is_refused_to(&tracker, "popular", 99));
    }
}

/// One sender's answer says nothing of what another one's request does.
#[test]
fn test_tracker_answer_acquits_its_own_sender_only() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        tell_of(&mut tracker, "same", 1, instance);
        tracker.record_success(at(0), request_of("same", 2));
    }
    assert!(is_refused_to(&tracker, "same", 1));
    assert!(!is_refused_to(&tracker, "same", 2));
}

quickcheck! {
    /// In whatever order and however often crashes are told, the same requests are told of.
    fn test_tracker_order_of_reports_changes_nothing(reports: Vec<(u8, u8)>, turn: usize) -> bool {
        let told = |reports: &[(u8, u8)]| {
            let mut tracker = Tracker::default();
            for (name, instance) in reports {
                tell(&mut tracker, &format!("r-{}", name % 4), u64::from(*instance % 8), 0);
            }
            let told = tracker.suspects(at(0)).into_iter();
            told.map(|suspect| suspect.request).collect::<BTreeSet<_>>()
        };
        let mut turned = reports.clone();
        turned.rotate_left(turn % reports.len().max(1));
        told(&reports) == told(&turned)
    }

    /// A request that is answered between any two of its crashes is never refused.
    fn test_tracker_answered_request_is_never_refused(instances: Vec<u16>) -> bool {
        let mut tracker = Tracker::default();
        instances.iter().all(|instance| {
            tell(&mut tracker, "good", u64::from(*instance), 0);
            let refused = is_refused(&tracker, "good", 0);
            tracker.record_success(at(0), request("good"));
            !refused
        })
    }
}
