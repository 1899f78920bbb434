//! Which requests are refused, for any order of reported crashes.

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
use quarantine::tracker::INITIAL_REFUSAL;
use quarantine::tracker::MAX_REFUSAL;
use quarantine::tracker::MIN_CRASHES;
use quarantine::tracker::MIN_CRASHES_ALL_SENDERS;
use quarantine::tracker::MIN_CRASHES_AMONG_OTHERS;
use quarantine::tracker::REFUSAL_GROWTH;
use quarantine::tracker::WINDOW;
use quickcheck::quickcheck;

/// Records a crash at the time at which it happens.
fn record(tracker: &mut Tracker, name: &str, instance: u64, seconds: u64) -> Outcome {
    tracker.record_crash(at(seconds), &crash(name, instance, seconds))
}

fn is_refused(tracker: &Tracker, name: &str, seconds: u64) -> bool {
    tracker.refused(at(seconds), request(name)).is_some()
}

#[test]
fn test_tracker_request_is_refused_after_the_third_instance() {
    let mut tracker = Tracker::default();
    for instance in 1..MIN_CRASHES as u64 {
        let outcome = record(&mut tracker, "bad", instance, instance);
        assert!(matches!(outcome, Outcome::Counted { others: 0, .. }));
        assert!(!is_refused(&tracker, "bad", instance));
    }
    let outcome = record(&mut tracker, "bad", 3, 3);
    let refused = Outcome::Refused {
        crashes: MIN_CRASHES,
        span: INITIAL_REFUSAL,
    };
    assert_eq!(outcome, refused);
    assert!(is_refused(&tracker, "bad", 4));
    assert!(!is_refused(&tracker, "good", 4));
    assert!(tracker.tracks_path(head("bad")));
    assert!(!tracker.tracks_path(head("good")));
}

/// Guards against counting one crash several times because several processes report it.
#[test]
fn test_tracker_instance_counts_once_for_a_request() {
    let mut tracker = Tracker::default();
    for seconds in 0..10 {
        record(&mut tracker, "twice", 1, seconds);
    }
    assert_eq!(record(&mut tracker, "twice", 1, 10), Outcome::Known);
    assert!(!is_refused(&tracker, "twice", 10));
    // After a restart, the same instance counts again.
    for incarnation in 1..3 {
        let mut again = crash("twice", 1, 11);
        again.run.incarnation = incarnation;
        tracker.record_crash(at(11), &again);
    }
    assert!(is_refused(&tracker, "twice", 11));
}

/// Guards against refusing a request that only ran next to one that crashes instances.
#[test]
fn test_tracker_answered_request_starts_anew() {
    let mut tracker = Tracker::default();
    for instance in 1..20 {
        record(&mut tracker, "innocent", instance, instance);
        if instance % 2 == 0 {
            assert!(tracker.record_success(at(instance), request("innocent")));
        }
        assert!(!is_refused(&tracker, "innocent", instance));
    }
    assert!(!tracker.record_success(at(20), request("never seen")));
}

/// Guards against refusing a request because instances crash repeatedly for another reason.
#[test]
fn test_tracker_request_among_other_crashes_needs_more() {
    let mut tracker = Tracker::default();
    for instance in 1..=10 {
        record(&mut tracker, &format!("other-{instance}"), instance, 1);
    }
    for instance in 21..21 + MIN_CRASHES_AMONG_OTHERS as u64 - 1 {
        record(&mut tracker, "unlucky", instance, 2);
        assert!(!is_refused(&tracker, "unlucky", 2), "{instance}");
    }
    record(&mut tracker, "unlucky", 40, 3);
    assert!(is_refused(&tracker, "unlucky", 3));
}

/// Guards against a higher threshold due to crashes of other services or of long before.
#[test]
fn test_tracker_ignores_other_crashes_of_other_services_and_times() {
    let mut tracker = Tracker::default();
    for instance in 1..=10 {
        record(&mut tracker, "before", instance, 1);
        let mut other = crash("elsewhere", 100 + instance, 100);
        other.service = ServiceName::new("grants").expect("a name");
        tracker.record_crash(at(100), &other);
    }
    for instance in 21..24 {
        record(&mut tracker, "bad", instance, 100);
    }
    assert!(is_refused(&tracker, "bad", 100));
}

/// Guards against refusing a fixed request forever, and against allowing a bad one too often.
#[test]
fn test_tracker_crash_after_refusal_renews_it_for_longer() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        record(&mut tracker, "bad", instance, 0);
    }
    let (mut now, mut instance) = (0, 10);
    let mut span = INITIAL_REFUSAL;
    while span < MAX_REFUSAL {
        now += span.as_secs();
        assert!(!is_refused(&tracker, "bad", now));
        span = (span * REFUSAL_GROWTH).min(MAX_REFUSAL);
        instance += 1;
        let outcome = record(&mut tracker, "bad", instance, now);
        assert!(matches!(outcome, Outcome::Refused { span: s, .. } if s == span));
    }
}

/// Guards against extending a refusal by requests that were in flight when it began.
#[test]
fn test_tracker_earlier_crash_does_not_extend_refusal() {
    let mut tracker = Tracker::default();
    for instance in 1..=5 {
        record(&mut tracker, "bad", instance, 0);
    }
    assert_eq!(
        tracker.refused(at(0), request("bad")),
        Some(INITIAL_REFUSAL),
        "after two more crashes"
    );
}

#[test]
fn test_tracker_old_crashes_expire() {
    let mut tracker = Tracker::default();
    record(&mut tracker, "rare", 1, 0);
    record(&mut tracker, "rare", 2, 1);
    let later = WINDOW.as_secs() + 2;
    record(&mut tracker, "rare", 3, later);
    assert!(!is_refused(&tracker, "rare", later));
}

#[test]
fn test_tracker_applies_refusals_of_other_processes() {
    let mut tracker = Tracker::default();
    let remaining = Duration::from_secs(50);
    assert!(tracker.record_refusal(at(0), request("bad"), remaining));
    assert!(!tracker.record_refusal(at(1), request("bad"), remaining));
    assert!(is_refused(&tracker, "bad", 50));
    assert!(!is_refused(&tracker, "bad", 51));
    // One crash after the refusal renews it.
    let outcome = record(&mut tracker, "bad", 1, 52);
    assert!(matches!(outcome, Outcome::Refused { crashes: 1, .. }));
}

#[test]
fn test_tracker_reports_refused_requests_first() {
    let mut tracker = Tracker::default();
    record(&mut tracker, "once", 1, 0);
    for instance in 1..=2 {
        record(&mut tracker, "suspect", instance, 0);
    }
    for instance in 1..=3 {
        record(&mut tracker, "bad", instance, 0);
    }
    let reported = tracker.suspects(at(0));
    let bad = Suspect {
        request: request("bad"),
        refused: INITIAL_REFUSAL,
    };
    assert_eq!(reported[0], bad);
    let others: BTreeSet<Fingerprint> = reported[1..].iter().map(|s| s.request).collect();
    assert!(reported[1..].iter().all(|s| s.refused.is_zero()));
    let (bad, suspect) = (request("bad"), request("suspect"));
    assert_eq!(
        others,
        [bad.for_all_senders(), suspect, suspect.for_all_senders()].into()
    );
}

/// Records a crash under a request of the given sender.
fn record_of(tracker: &mut Tracker, name: &str, caller: u8, instance: u64) -> Outcome {
    let crash = Crash {
        request: request_of(name, caller),
        ..crash(name, instance, 0)
    };
    tracker.record_crash(at(0), &crash)
}

fn is_refused_to(tracker: &Tracker, name: &str, caller: u8) -> bool {
    tracker.refused(at(0), request_of(name, caller)).is_some()
}

/// Guards against missing a caller that returns from another address each time.
#[test]
fn test_tracker_request_of_changing_senders_is_refused_for_all() {
    let mut tracker = Tracker::default();
    for (caller, instance) in (11_u8..).zip(0..MIN_CRASHES_ALL_SENDERS as u64) {
        assert!(!is_refused_to(&tracker, "bad", 99));
        record_of(&mut tracker, "bad", caller, instance);
    }
    assert!(is_refused_to(&tracker, "bad", 99));
    assert!(!is_refused_to(&tracker, "good", 99));
}

/// Guards against refusing other senders for the same path, whose requests ran next to it.
#[test]
fn test_tracker_request_of_one_sender_is_refused_for_it_alone() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        if instance > 1 {
            record_of(&mut tracker, "same", 2, instance);
        }
        record_of(&mut tracker, "same", 1, instance);
    }
    assert!(is_refused_to(&tracker, "same", 1));
    assert!(!is_refused_to(&tracker, "same", 2));
    assert!(!is_refused_to(&tracker, "same", 3));
    // A request that the sender had sent before crashes one more instance, which also runs
    // another sender's request.
    record_of(&mut tracker, "same", 1, 4);
    record_of(&mut tracker, "same", 3, 4);
    assert!(!is_refused_to(&tracker, "same", 3));
}

/// Guards against refusing other senders whose reports of a refused sender's last crash come first.
#[test]
fn test_tracker_neighbour_reported_before_a_refused_sender_is_not_refused() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        record_of(&mut tracker, "same", 1, instance);
    }
    for caller in [3, 1, 4] {
        record_of(&mut tracker, "same", caller, 4);
    }
    assert!(!is_refused_to(&tracker, "same", 3));
    assert!(!is_refused_to(&tracker, "same", 99));
}

/// Guards against refusing a popular path because a failure domain fails.
#[test]
fn test_tracker_recently_answered_path_is_not_refused_for_all() {
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

/// Guards against clearing a sender because of another sender's answer.
#[test]
fn test_tracker_answer_clears_its_own_sender_only() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        record_of(&mut tracker, "same", 1, instance);
        tracker.record_success(at(0), request_of("same", 2));
    }
    assert!(is_refused_to(&tracker, "same", 1));
    assert!(!is_refused_to(&tracker, "same", 2));
}

/// Time after the third crash from which further sends are limited.
const CONTACT_MS: u64 = 3_000;
/// Sends tolerated after that time.
const MAX_LATE_SENDS: usize = 3;
/// Tries of one sender.
const TRIES: usize = 4;
/// Time from a send to the crash of its instance.
const CRASH_MS: u64 = 100;

/// Sends a request that crashes each instance, by a new sender after each gap. Returns how often
/// it is sent later than `CONTACT_MS` after the third crash.
fn count_late_sends(tracker: &mut Tracker, gaps_ms: &[u64]) -> usize {
    let mut now = at(0);
    let mut crashes = Vec::new();
    let mut late = 0;
    for (sender, gap) in (0..).zip(gaps_ms) {
        now = now + Duration::from_millis(*gap);
        for _ in 0..TRIES {
            let request = request_of("bad", sender);
            if tracker.refused(now, request).is_some() {
                break;
            }
            let third = crashes.get(2);
            late += usize::from(
                third.is_some_and(|third| now > *third + Duration::from_millis(CONTACT_MS)),
            );
            now = now + Duration::from_millis(CRASH_MS);
            let crash = Crash {
                request,
                at: now,
                ..crash("bad", 1_000 + crashes.len() as u64, 0)
            };
            tracker.record_crash(now, &crash);
            crashes.push(now);
        }
    }
    late
}

/// Guards against a request that each of its senders may send until that sender is refused.
#[test]
fn test_tracker_request_of_senders_in_turn_is_refused_for_all() {
    for gap in [50, 500, 1_500, 4_000] {
        let late = count_late_sends(&mut Tracker::default(), &[gap; 12]);
        assert!(
            late <= MAX_LATE_SENDS,
            "{late} late sends, one sender per {gap} ms"
        );
    }
}

/// Cases in which senders in turn were sent too often.
#[test]
fn test_tracker_known_cases_of_senders_in_turn_are_rarely_sent_late() {
    let long = [
        0, 2901, 6633, 38757, 22379, 7989, 6628, 22134, 7393, 38804, 22291, 7452, 7176, 7945, 6476,
        7610, 7764, 38870, 39699, 3323, 23723, 37815, 23974, 7269, 22106, 23830, 7770, 7932, 7929,
        6869, 39060, 22436, 7386, 6268, 6016, 22278, 7836, 7713, 7807, 4851, 23715, 23982, 7993,
        6558, 7532, 39793, 7039, 7838, 7123, 38139, 23875, 6582, 7640,
    ];
    for (gaps, others) in [([0, 2901].as_slice(), 4), (&long, 6)] {
        let mut tracker = Tracker::default();
        for instance in 0..others {
            record(&mut tracker, &format!("other-{instance}"), instance, 0);
        }
        let gaps: Vec<u64> = gaps.iter().map(|gap| gap % 8_000).collect();
        let late = count_late_sends(&mut tracker, &gaps);
        assert!(late <= MAX_LATE_SENDS, "{late} late sends");
    }
}

/// Guards against trials after refusals that add up over a long time.
#[test]
fn test_tracker_request_is_tried_rarely_after_refusals() {
    let mut tracker = Tracker::default();
    for instance in 0..6 {
        record(&mut tracker, &format!("other-{instance}"), instance, 0);
    }
    let gaps = [[0, 2_901].as_slice(), &[7_900; 98]].concat();
    let late = count_late_sends(&mut tracker, &gaps);
    assert!(late <= MAX_LATE_SENDS, "{late} late sends");
}

/// Guards against refusing a path that is answered because one of its senders is refused.
#[test]
fn test_tracker_path_answered_since_a_refusal_is_not_refused_for_all() {
    let mut tracker = Tracker::default();
    for instance in 1..=3 {
        record_of(&mut tracker, "popular", 1, instance);
    }
    for caller in 2..=9 {
        let crash = Crash {
            request: request_of("popular", caller),
            ..crash("popular", 10 + u64::from(caller), 10)
        };
        tracker.record_success(at(9), request_of("popular", 99));
        tracker.record_crash(at(10), &crash);
        assert!(tracker.refused(at(10), request_of("popular", 99)).is_none());
    }
}

quickcheck! {
    /// Guards against senders whose times or whose neighbours' crashes hide the common cause.
    fn test_tracker_request_of_senders_in_turn_is_rarely_sent_late(gaps: Vec<u16>, others: u8) -> bool {
        let mut tracker = Tracker::default();
        for instance in 0..u64::from(others % 32) {
            record(&mut tracker, &format!("other-{instance}"), instance, 0);
        }
        let gaps: Vec<u64> = gaps.iter().map(|gap| u64::from(*gap) % 8_000).collect();
        count_late_sends(&mut tracker, &gaps) <= MAX_LATE_SENDS
    }

    /// The reported requests don't depend on the order and number of reports.
    fn test_tracker_order_of_reports_changes_nothing(reports: Vec<(u8, u8)>, rotation: usize) -> bool {
        let reported = |reports: &[(u8, u8)]| {
            let mut tracker = Tracker::default();
            for (name, instance) in reports {
                record(&mut tracker, &format!("r-{}", name % 4), u64::from(*instance % 8), 0);
            }
            let reported = tracker.suspects(at(0)).into_iter();
            reported.map(|suspect| suspect.request).collect::<BTreeSet<_>>()
        };
        let mut rotated = reports.clone();
        rotated.rotate_left(rotation % reports.len().max(1));
        reported(&reports) == reported(&rotated)
    }

    /// A request that is answered between any two of its crashes is never refused.
    fn test_tracker_answered_request_is_never_refused(instances: Vec<u16>) -> bool {
        let mut tracker = Tracker::default();
        instances.iter().all(|instance| {
            record(&mut tracker, "good", u64::from(*instance), 0);
            let refused = is_refused(&tracker, "good", 0);
            tracker.record_success(at(0), request("good"));
            !refused
        })
    }
}
