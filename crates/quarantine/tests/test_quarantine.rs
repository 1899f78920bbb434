//! What a process refuses by itself and on behalf of hubs, and what it reports to them.

mod common;

use std::time::Duration;

use common::at;
use common::crash;
use common::head;
use common::request;
use common::request_of;
use quarantine::Event;
use quarantine::Outcome;
use quarantine::Quarantine;
use quarantine::Suspect;

fn suspect(name: &str, seconds: u64) -> Suspect {
    Suspect {
        request: request(name),
        refused: Duration::from_secs(seconds),
    }
}

/// Guards against a process that refuses nothing while no hub answers.
#[test]
fn test_quarantine_refuses_by_itself() {
    let mut quarantine = Quarantine::default();
    for instance in 1..=3 {
        quarantine.record_crash(at(0), crash("bad", instance, 0));
    }
    assert!(quarantine.refused(at(1), request("bad")).is_some());
    assert_eq!(quarantine.refusals(at(1)).len(), 1);
}

#[test]
fn test_quarantine_applies_suspects_of_any_hub() {
    let mut quarantine = Quarantine::default();
    assert_eq!(
        quarantine.apply_suspects(at(0), &[suspect("bad", 60), suspect("maybe", 0)]),
        [suspect("bad", 60)]
    );
    // A hub without suspects revokes nothing.
    assert!(quarantine.apply_suspects(at(1), &[]).is_empty());
    assert!(
        quarantine
            .apply_suspects(at(1), &[suspect("bad", 59)])
            .is_empty()
    );
    assert!(quarantine.refused(at(59), request("bad")).is_some());
    assert!(quarantine.refused(at(61), request("bad")).is_none());
    assert!(quarantine.refused(at(1), request("maybe")).is_none());
}

#[test]
fn test_quarantine_reports_events_since_any_number() {
    let mut quarantine = Quarantine::default();
    let (first, _) = quarantine.record_crash(at(0), crash("bad", 1, 0));
    quarantine.record_crash(at(0), crash("bad", 2, 0));
    assert_eq!(
        quarantine.since(first),
        [Event::Crashed(crash("bad", 2, 0))]
    );
    assert_eq!(quarantine.since(0).len(), 2);
    assert!(quarantine.since(quarantine.newest()).is_empty());
}

/// Guards against refusing a popular path because instances crash while they run it.
#[test]
fn test_quarantine_reports_whether_the_path_was_answered() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.record_success(at(0), request_of("popular", 9)));
    quarantine.record_crash(at(0), crash("popular", 1, 0));
    quarantine.record_crash(at(0), crash("new", 1, 0));
    let answered = quarantine.since(0).into_iter().map(|event| match event {
        Event::Crashed(crash) => crash.answered,
        other => panic!("no request was suspected: {other:?}"),
    });
    assert_eq!(answered.collect::<Vec<_>>(), [true, false]);
}

/// Guards against refusing a request that works, when crashes are faster than the hubs' reports.
#[test]
fn test_quarantine_ignores_crashes_of_recently_answered_request() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(at(0), request("good"));
    for instance in 1..=10 {
        let (number, outcome) = quarantine.record_crash(at(1), crash("good", instance, 1));
        assert_eq!((number, outcome), (0, Outcome::Answered));
    }
    // After a minute the answer doesn't count any more.
    for instance in 11..=13 {
        quarantine.record_crash(at(61), crash("good", instance, 61));
    }
    assert!(quarantine.refused(at(61), request("good")).is_some());
}

/// Guards against keeping a suspicion of another process after an answer in this one.
#[test]
fn test_quarantine_clears_answered_requests() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(at(0), crash("own", 1, 0));
    quarantine.apply_suspects(at(0), &[suspect("other", 0)]);
    assert!(quarantine.tracks_path(head("other")));
    assert!(quarantine.record_success(at(1), request("own")));
    assert!(quarantine.record_success(at(1), request("other")));
    assert!(!quarantine.record_success(at(1), request("other")));
    assert!(!quarantine.tracks_path(head("other")));
    // The crash is no longer reported, even to a hub that has lost all events.
    let answered = ["own", "other"].map(|name| Event::Succeeded(request(name)));
    assert_eq!(quarantine.since(0), answered);
}
