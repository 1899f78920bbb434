//! What a process knows by itself, hears of hubs and tells them.

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

/// No hub answers, and one process has all the crashes.
#[test]
fn test_quarantine_refuses_by_itself() {
    let mut held = Quarantine::default();
    for instance in 1..=3 {
        held.record_crash(at(0), crash("bad", instance, 0));
    }
    assert!(held.refused(at(1), request("bad")).is_some());
    assert_eq!(held.refusals(at(1)).len(), 1);
}

#[test]
fn test_quarantine_refuses_what_any_hub_says() {
    let mut held = Quarantine::default();
    assert_eq!(
        held.apply_suspects(at(0), &[suspect("bad", 60), suspect("maybe", 0)]),
        [suspect("bad", 60)]
    );
    // A hub that knows nothing takes nothing back.
    assert!(held.apply_suspects(at(1), &[]).is_empty());
    assert!(held.apply_suspects(at(1), &[suspect("bad", 59)]).is_empty());
    assert!(held.refused(at(59), request("bad")).is_some());
    assert!(held.refused(at(61), request("bad")).is_none());
    assert!(held.refused(at(1), request("maybe")).is_none());
}

#[test]
fn test_quarantine_tells_of_crashes_from_any_number_on() {
    let mut held = Quarantine::default();
    let (first, _) = held.record_crash(at(0), crash("bad", 1, 0));
    held.record_crash(at(0), crash("bad", 2, 0));
    assert_eq!(held.since(first), [Event::Crashed(crash("bad", 2, 0))]);
    assert_eq!(held.since(0).len(), 2);
    assert!(held.since(held.newest()).is_empty());
}

/// Many callers ask for the same here, and get it: a crash beside them isn't theirs.
#[test]
fn test_quarantine_tells_whether_the_path_was_answered() {
    let mut held = Quarantine::default();
    assert!(!held.record_success(at(0), request_of("popular", 9)));
    held.record_crash(at(0), crash("popular", 1, 0));
    held.record_crash(at(0), crash("new", 1, 0));
    let answered = held.since(0).into_iter().map(|event| match event {
        Event::Crashed(crash) => crash.answered,
        Event::Succeeded(_) => panic!("nobody is suspected"),
    });
    assert_eq!(answered.collect::<Vec<_>>(), [true, false]);
}

/// Crashes come so fast one after the other that no hub has told of the first ones yet.
#[test]
fn test_quarantine_request_that_was_answered_lately_is_not_counted() {
    let mut held = Quarantine::default();
    held.record_success(at(0), request("good"));
    for instance in 1..=10 {
        let (number, outcome) = held.record_crash(at(1), crash("good", instance, 1));
        assert_eq!((number, outcome), (0, Outcome::Answered));
    }
    // What changed since may have made it crash.
    for instance in 11..=13 {
        held.record_crash(at(61), crash("good", instance, 61));
    }
    assert!(held.refused(at(61), request("good")).is_some());
}

/// A hub suspects a request by what other processes told; it is answered here.
#[test]
fn test_quarantine_acquits_what_was_answered() {
    let mut held = Quarantine::default();
    held.record_crash(at(0), crash("own", 1, 0));
    held.apply_suspects(at(0), &[suspect("other", 0)]);
    assert!(held.tracks_path(head("other")));
    assert!(held.record_success(at(1), request("own")));
    assert!(held.record_success(at(1), request("other")));
    assert!(!held.record_success(at(1), request("other")));
    assert!(!held.tracks_path(head("other")));
    // A hub that is told everything again doesn't hear of the crash.
    let answered = ["own", "other"].map(|name| Event::Succeeded(request(name)));
    assert_eq!(held.since(0), answered);
}
