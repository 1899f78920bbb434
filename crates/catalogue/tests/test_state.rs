//! Changes, resends, conflicts, and eviction of stored replies.

use catalogue::RestoreError;
use catalogue::State;
use catalogue::history::RetentionLimits;
use prost::Message;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::catalogue::change_reply::Kind as Answer;
use wire::catalogue::edit::Kind;

fn entry(service: &str, queue: u32) -> Entry {
    let limits = Limits {
        concurrency: 42,
        queue,
        deadline_ms: 2_000,
        body_bytes: 65_536,
        retry_percent: 10,
        probe_millis: 2_000,
    };
    Entry {
        service: service.into(),
        owner: "Ferrovie Alpine".into(),
        class: Class::Once.into(),
        limits: Some(limits),
    }
}

fn put(service: &str, queue: u32) -> Kind {
    Kind::Put(entry(service, queue))
}

fn change(id: &str, base: u64, kinds: Vec<Kind>) -> Change {
    Change {
        id: id.into(),
        base,
        author: "anna".into(),
        edits: kinds
            .into_iter()
            .map(|kind| Edit { kind: Some(kind) })
            .collect(),
    }
}

/// Formats a reply as a short text for the test tables.
fn reply_text(reply: &ChangeReply) -> String {
    match reply.kind.as_ref().expect("a kind") {
        Answer::Accepted(a) => format!("accepted {}", a.version),
        Answer::Conflict(c) => format!("conflict {} {} {}", c.base, c.current, c.winner),
        Answer::Invalid(i) => {
            let fields: Vec<String> = i
                .faults
                .iter()
                .map(|f| format!("{}.{}", f.service, f.field))
                .collect();
            format!("invalid {}", fields.join(" "))
        }
        Answer::Reused(r) => format!("reused {}", r.version),
        Answer::Expired(_) => "expired".into(),
        Answer::Uncertain(_) => "uncertain".into(),
    }
}

fn check(state: &mut State, cases: Vec<(&str, Change, &str)>) {
    for (name, change, expect) in cases {
        assert_eq!(reply_text(&state.apply(&change)), expect, "{name}");
    }
}

#[test]
fn test_state_resends_and_races() {
    let grants = || vec![put("grants", 10)];
    let status = || vec![put("status", 1)];
    let missing = || vec![Kind::Remove("nothing".into())];
    let cases = vec![
        ("first", change("a", 0, grants()), "accepted 1"),
        ("resend", change("a", 0, grants()), "accepted 1"),
        ("same base", change("b", 0, status()), "conflict 0 1 a"),
        (
            "resend of the conflict",
            change("b", 0, status()),
            "conflict 0 1 a",
        ),
        (
            "id reused with a new base",
            change("b", 1, status()),
            "reused 0",
        ),
        (
            "id reused with other edits",
            change("a", 1, status()),
            "reused 1",
        ),
        (
            "refused",
            change("c", 1, missing()),
            "invalid nothing.service",
        ),
        ("next", change("d", 1, status()), "accepted 2"),
        ("late resend", change("a", 0, grants()), "accepted 1"),
        (
            "conflict names the accepted change",
            change("e", 1, grants()),
            "conflict 1 2 d",
        ),
        (
            "resend of a refusal",
            change("c", 1, missing()),
            "invalid nothing.service",
        ),
    ];
    let mut state = State::default();
    check(&mut state, cases);
    assert_eq!(state.catalogue().version, 2);
    assert_eq!(state.catalogue().entries.len(), 2);
}

#[test]
fn test_state_refuses_whole() {
    let mut bad = entry("status", 10);
    bad.class = 9;
    bad.owner = String::new();
    let bad = vec![Kind::Put(bad), Kind::AddGateway("x y".into())];
    let put_status = || put("status", 1);
    let absent = vec![
        Kind::Remove("status".into()),
        Kind::RemoveGateway("m1".into()),
    ];
    let twice = vec![put_status(), Kind::Remove("status".into())];
    let mixed = vec![put_status(), Kind::Remove("nothing".into())];
    let present = vec![put_status(), Kind::AddGateway("torino-1".into())];
    let empty = Change {
        edits: vec![Edit { kind: None }],
        ..change("d", 1, vec![])
    };
    let nobody = Change {
        author: String::new(),
        ..change("e", 1, vec![put_status()])
    };
    let first = vec![put("grants", 10), Kind::AddGateway("torino-1".into())];
    let cases = vec![
        ("first", change("a", 0, first), "accepted 1"),
        (
            "base ahead",
            change("c", 7, vec![put_status()]),
            "invalid .base",
        ),
        ("no edits", change("d", 1, vec![]), "invalid .edits"),
        ("empty edit", empty, "invalid .edits"),
        ("no id", change("", 1, vec![put_status()]), "invalid .id"),
        ("no author", nobody, "invalid .author"),
        (
            "all faults",
            change("f", 1, bad),
            "invalid status.owner status.class x y.gateway",
        ),
        ("twice", change("g", 1, twice), "invalid status.service"),
        (
            "absent",
            change("h", 1, absent),
            "invalid status.service m1.gateway",
        ),
        (
            "one bad edit",
            change("i", 1, mixed),
            "invalid nothing.service",
        ),
        (
            "present",
            change("k", 1, present),
            "invalid torino-1.gateway",
        ),
    ];
    let mut state = State::default();
    check(&mut state, cases);
    assert_eq!(state.catalogue().version, 1);
    assert!(!state.catalogue().entries.contains_key("status"));
}

#[test]
fn test_state_evicts_beyond_limits() {
    let limits = RetentionLimits {
        max_accepted: 3,
        max_refused: 2,
        max_edit_bytes: 2 * Edit {
            kind: Some(put("grants", 7)),
        }
        .encoded_len(),
    };
    let mut state = State::new(limits);
    let nth = |base: u64| change(&format!("c{base}"), base, vec![put("grants", 7)]);
    for base in 0..5 {
        state.apply(&nth(base));
    }
    let cases = [
        ("stored", nth(2), "accepted 3"),
        ("evicted, not applied again", nth(1), "expired"),
        (
            "another change with an evicted base",
            change("x", 0, vec![put("grants", 1)]),
            "expired",
        ),
        (
            "a stale change with a stored base",
            change("y", 2, vec![put("grants", 1)]),
            "conflict 2 5 c2",
        ),
    ];
    for (name, change, expect) in cases {
        assert_eq!(reply_text(&state.apply(&change)), expect, "{name}");
    }
    assert_eq!(state.catalogue().version, 5);
    let history = state.history(0, 100);
    let versions: Vec<u64> = history.items.iter().map(|item| item.version).collect();
    assert_eq!(versions, [3, 4, 5]);
    let edits: Vec<usize> = history.items.iter().map(|item| item.edits.len()).collect();
    assert_eq!(edits, [0, 1, 1], "the oldest change's edits were dropped");
    assert_eq!(state.history(4, 1).items.len(), 1);
    assert_eq!(state.history(9, 9).items.len(), 0);
    for id in ["r1", "r2", "r3"] {
        state.apply(&change(id, 9, vec![put("grants", 1)]));
    }
    assert_eq!(state.snapshot().refused.len(), 2);
}

#[test]
fn test_state_immediate_reply() {
    let mut state = State::default();
    let first = change("a", 0, vec![put("grants", 1)]);
    assert_eq!(state.immediate_reply(&first), None);
    state.apply(&first);
    let repeated = state
        .immediate_reply(&first)
        .map(|reply| reply_text(&reply));
    assert_eq!(repeated.as_deref(), Some("accepted 1"));
    let empty = state
        .immediate_reply(&change("b", 1, vec![]))
        .map(|reply| reply_text(&reply));
    assert_eq!(empty.as_deref(), Some("invalid .edits"));
    assert_eq!(
        state.immediate_reply(&change("b", 0, vec![put("grants", 2)])),
        None
    );
}

#[test]
fn test_state_restore_faults() {
    let mut state = State::default();
    state.apply(&change("a", 0, vec![put("grants", 1)]));
    state.apply(&change("b", 1, vec![put("grants", 2)]));
    let valid = state.snapshot();
    let mut gap = valid.clone();
    gap.accepted[1].version = 9;
    let mut bad = valid.clone();
    bad.catalogue.as_mut().expect("a catalogue").entries[0].class = 0;
    let restore = |snapshot| State::restore(RetentionLimits::default(), &snapshot).err();
    assert_eq!(restore(gap), Some(RestoreError::Versions(9, 2)));
    assert!(matches!(restore(bad), Some(RestoreError::Catalogue(faults)) if faults.len() == 1));
    assert_eq!(restore(valid), None);
}

/// One attempt of an operator to change the catalogue.
#[derive(Clone, Debug)]
struct Attempt {
    id: u8,
    lag: u8,
    queue: u8,
    restart: bool,
}

impl Arbitrary for Attempt {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            id: u8::arbitrary(g) % 12,
            lag: u8::arbitrary(g) % 4,
            queue: u8::arbitrary(g) % 2,
            restart: u8::arbitrary(g) % 8 == 0,
        }
    }
}

/// Runs attempts of concurrent operators; `Err` describes the first violated invariant.
fn run_attempts(attempts: &[Attempt]) -> Result<(), String> {
    let limits = RetentionLimits {
        max_accepted: 4,
        max_refused: 4,
        max_edit_bytes: 400,
    };
    let mut state = State::new(limits);
    let mut other_replica = State::new(limits);
    let mut sent: Vec<(Change, Option<u64>)> = Vec::new();
    for (index, attempt) in attempts.iter().enumerate() {
        let base = state.catalogue().version.saturating_sub(attempt.lag.into());
        let new_change = change(
            &format!("c{index}"),
            base,
            vec![put("grants", attempt.queue.into())],
        );
        // Some attempts resend an earlier change, the others send a new one.
        let resent = sent
            .iter()
            .position(|_| attempt.id < 6)
            .map(|_| index % sent.len().max(1));
        let (change, accepted) = match resent {
            Some(at) => sent[at].clone(),
            None => (new_change, None),
        };
        let before = state.catalogue().version;
        let answer = reply_text(&state.apply(&change));
        if reply_text(&other_replica.apply(&change)) != answer
            || other_replica.snapshot() != state.snapshot()
        {
            return Err(format!("step {index}: two replicas differ"));
        }
        let increment = state.catalogue().version - before;
        match accepted {
            Some(_) if increment > 0 => return Err(format!("step {index}: accepted twice")),
            Some(version) if answer != format!("accepted {version}") && answer != "expired" => {
                return Err(format!("step {index}: first reply was lost: {answer}"));
            }
            _ => {}
        }
        if resent.is_none() {
            sent.push((change, (increment > 0).then_some(before + 1)));
        }
        if attempt.restart {
            let snapshot = state.snapshot();
            state = State::restore(limits, &snapshot).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

#[test]
fn test_state_property_accepted_once_and_equal_on_replicas() {
    for seed in [3, 19, 1_848] {
        let mut g = Gen::from_size_and_seed(60, seed);
        for schedule in 0..500 {
            let attempts = Vec::<Attempt>::arbitrary(&mut g);
            if let Err(violation) = run_attempts(&attempts) {
                panic!("seed {seed}, schedule {schedule}: {violation}; {attempts:?}");
            }
        }
    }
}
