//! Replies of the ledger to sequences of commands.

mod helpers;

use bytes::Bytes;
use helpers::START_MS;
use helpers::answer;
use helpers::claim;
use helpers::reply_text;
use helpers::settle;
use helpers::timed_key;
use ledger::Counts;
use ledger::Key;
use ledger::Ledger;
use ledger::Limits;
use ledger::Reply;
use ledger::RestoreError;
use prost::Message;
use wire::ledger::Answer;
use wire::ledger::Command;
use wire::ledger::Expire;
use wire::ledger::Settled;
use wire::ledger::command;

struct Step {
    after_ms: u64,
    command: Command,
    expect: &'static str,
}

fn step(after_ms: u64, command: Command, expect: &'static str) -> Step {
    Step {
        after_ms,
        command,
        expect,
    }
}

fn run(name: &str, ledger: &mut Ledger, steps: &[Step]) {
    for (index, step) in steps.iter().enumerate() {
        let reply = ledger.apply(START_MS + step.after_ms, &step.command);
        assert_eq!(reply_text(&reply), step.expect, "{name}, step {index}");
    }
}

#[test]
fn test_ledger_claims() {
    use Settled::Done;
    use Settled::NotRun;
    let cases = [
        (
            "a resent claim is granted again until it is settled",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, claim("k", "a", 1), "granted"),
                step(1, claim("k", "b", 1), "in-flight"),
            ],
        ),
        (
            "the answer is replayed to every later claim",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, settle("k", "a", Done, Some(answer(b"ok"))), "recorded"),
                step(2, settle("k", "a", Done, Some(answer(b"ok"))), "recorded"),
                step(3, claim("k", "a", 1), "done:ok"),
                step(3, claim("k", "b", 1), "done:ok"),
            ],
        ),
        (
            "a different request with the same key is refused",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, claim("k", "b", 2), "mismatch"),
                step(1, settle("k", "a", NotRun, None), "recorded"),
                step(2, claim("k", "c", 2), "mismatch"),
            ],
        ),
        (
            "a key that was not run may be claimed again, but not by the settled claim",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, settle("k", "a", NotRun, None), "recorded"),
                step(2, claim("k", "a", 1), "REFUSAL_SPENT"),
                step(2, claim("k", "b", 1), "granted"),
            ],
        ),
    ];
    for (name, steps) in cases {
        run(name, &mut Ledger::new(Limits::default()), &steps);
    }
}

#[test]
fn test_ledger_late_commands() {
    use Settled::Done;
    use Settled::NotRun;
    use Settled::Unknown;
    let cases = [
        (
            "a late settlement of an older claim is dropped",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, settle("k", "a", NotRun, None), "recorded"),
                step(2, claim("k", "b", 1), "granted"),
                step(3, settle("k", "a", NotRun, None), "dropped"),
                step(3, settle("k", "a", Done, Some(answer(b"x"))), "dropped"),
                step(4, claim("k", "c", 1), "in-flight"),
            ],
        ),
        (
            "a claim whose hold expires becomes unknown permanently",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1_000, claim("k", "b", 1), "unknown"),
                step(1_001, settle("k", "a", NotRun, None), "dropped"),
                step(1_002, settle("k", "a", Done, Some(answer(b"x"))), "dropped"),
                step(1_003, claim("k", "a", 1), "unknown"),
            ],
        ),
        (
            "unknown is terminal",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(1, settle("k", "a", Unknown, None), "recorded"),
                step(2, settle("k", "a", NotRun, None), "dropped"),
                step(2, claim("k", "b", 1), "unknown"),
            ],
        ),
        (
            "a claim that was abandoned before it was in the log",
            vec![
                step(0, settle("k", "a", NotRun, None), "recorded"),
                step(1, claim("k", "a", 1), "REFUSAL_SPENT"),
                step(1, claim("k", "b", 1), "granted"),
            ],
        ),
        (
            "a settlement without a claim",
            vec![
                step(0, settle("k", "a", Done, Some(answer(b"x"))), "dropped"),
                step(0, settle("k", "a", Settled::Unspecified, None), "dropped"),
                step(1, claim("k", "a", 1), "granted"),
            ],
        ),
        (
            "an earlier stamp does not move the ledger's time back",
            vec![
                step(500, claim("k", "a", 1), "granted"),
                step(0, claim("k", "b", 1), "in-flight"),
                step(1_499, claim("k", "b", 1), "in-flight"),
                step(1_500, claim("k", "b", 1), "unknown"),
            ],
        ),
        (
            "invalid names and claim ids",
            vec![
                step(0, claim("", "a", 1), "REFUSAL_FORM"),
                step(0, claim("k k", "a", 1), "REFUSAL_FORM"),
                step(0, claim("k", "", 1), "REFUSAL_FORM"),
                step(0, claim("k", &"x".repeat(33), 1), "REFUSAL_FORM"),
                step(0, settle("", "a", NotRun, None), "dropped"),
                step(0, settle("k", "", NotRun, None), "dropped"),
            ],
        ),
    ];
    for (name, steps) in cases {
        run(name, &mut Ledger::new(Limits::default()), &steps);
    }
}

#[test]
fn test_ledger_windows() {
    let limits = Limits::default();
    let window = limits.window_ms;
    let timed = timed_key(START_MS);
    let early = timed_key(START_MS + limits.max_ahead_ms + 1);
    let cases = [
        (
            "a timed key is refused after its window, in any state",
            vec![
                step(window, claim(&timed, "a", 1), "granted"),
                step(window, settle(&timed, "a", Settled::Done, None), "recorded"),
                step(window, claim(&timed, "b", 1), "done:omitted"),
                step(window + 1, claim(&timed, "b", 1), "REFUSAL_EXPIRED"),
                step(window * 9, claim(&timed, "a", 1), "REFUSAL_EXPIRED"),
                step(0, claim(&timed, "a", 1), "REFUSAL_EXPIRED"),
            ],
        ),
        (
            "a claim in flight at the end of the window is still settled",
            vec![
                step(window, claim(&timed, "a", 1), "granted"),
                step(
                    window + 9,
                    settle(&timed, "a", Settled::Done, None),
                    "recorded",
                ),
            ],
        ),
        (
            "a key created in the future",
            vec![
                step(0, claim(&early, "a", 1), "REFUSAL_EARLY"),
                step(1, claim(&early, "a", 1), "granted"),
            ],
        ),
        (
            "the record of an untimed key expires one window after its settlement",
            vec![
                step(0, claim("k", "a", 1), "granted"),
                step(9, settle("k", "a", Settled::Unknown, None), "recorded"),
                step(9 + window, claim("k", "b", 1), "unknown"),
                step(10 + window, claim("k", "b", 1), "granted"),
            ],
        ),
    ];
    for (name, steps) in cases {
        run(name, &mut Ledger::new(limits), &steps);
    }
    let mut strict = Ledger::new(Limits {
        allow_untimed: false,
        ..limits
    });
    let steps = [
        step(0, claim("k", "a", 1), "REFUSAL_UNTIMED"),
        step(0, claim(&timed, "a", 1), "granted"),
    ];
    run("only timed keys allowed", &mut strict, &steps);
}

#[test]
fn test_ledger_bounds() {
    let limits = Limits {
        max_records: 3,
        max_service_records: 2,
        max_answer_bytes: answer(b"12345678").encoded_len(),
        max_body_bytes: 16,
        ..Limits::default()
    };
    let mut ledger = Ledger::new(limits);
    let long = answer(b"seventeen bytes!!");
    let forged = Answer {
        digest: 1,
        ..answer(b"forged")
    };
    let steps = [
        step(0, claim("k1", "a", 1), "granted"),
        step(0, claim("k2", "a", 1), "granted"),
        step(0, claim("k3", "a", 1), "full"),
        step(0, settle("k3", "a", Settled::NotRun, None), "dropped"),
        step(0, settle("k1", "a", Settled::Done, Some(long)), "recorded"),
        step(0, claim("k1", "b", 1), "done:omitted"),
        step(
            0,
            settle("k2", "a", Settled::Done, Some(forged)),
            "recorded",
        ),
        step(0, claim("k2", "b", 1), "done:omitted"),
        step(limits.window_ms + 1, claim("k3", "a", 1), "granted"),
        step(limits.window_ms + 1, claim("k4", "a", 1), "granted"),
        step(
            limits.window_ms + 1,
            settle("k3", "a", Settled::Done, Some(answer(b"12345678"))),
            "recorded",
        ),
        step(
            limits.window_ms + 1,
            settle("k4", "a", Settled::Done, Some(answer(b"12345678"))),
            "recorded",
        ),
        step(limits.window_ms + 1, claim("k3", "b", 1), "done:12345678"),
        step(limits.window_ms + 1, claim("k4", "b", 1), "done:omitted"),
    ];
    run("bounds", &mut ledger, &steps);
    let omitted = Answer {
        omitted: true,
        content_type: String::new(),
        body: Bytes::new(),
        ..answer(b"12345678")
    };
    let expect = Counts {
        records: 2,
        in_flight: 0,
        answer_bytes: limits.max_answer_bytes + omitted.encoded_len(),
    };
    assert_eq!(ledger.counts(), expect);
    let expire = Command {
        kind: Some(command::Kind::Expire(Expire {})),
    };
    let next_expiry_ms = ledger.next_expiry_ms().expect("a record expires");
    assert_eq!(ledger.apply(next_expiry_ms, &expire), Reply::Expire);
    assert_eq!(ledger.counts(), Counts::default());
    assert_eq!(ledger.next_expiry_ms(), None);
}

#[test]
fn test_ledger_restore_faults() {
    let mut ledger = Ledger::new(Limits::default());
    ledger.apply(START_MS, &claim("k", "a", 1));
    let valid = ledger.snapshot();
    let mut invalid_key = valid.clone();
    invalid_key.records[0].key.clear();
    let mut missing_state = valid.clone();
    missing_state.records[0].standing = 0;
    let mut duplicate_key = valid.clone();
    duplicate_key.records.push(valid.records[0].clone());
    let cases = [
        (invalid_key, RestoreError::InvalidKey(0)),
        (missing_state, RestoreError::MissingState(0)),
        (duplicate_key, RestoreError::DuplicateKey(1)),
    ];
    for (snapshot, expect) in cases {
        let found = Ledger::restore(Limits::default(), &snapshot).map(|l| l.counts());
        assert_eq!(found, Err(expect));
    }
}

#[test]
fn test_ledger_key_parts() {
    let key = |request: &str| Key::from_parts("grants", "c", request).and_then(|k| k.minted_ms());
    assert_eq!(key(&timed_key(START_MS)), Some(START_MS));
    assert_eq!(key("018bcfe5-6800-4000-8000-000000000001"), None);
    assert_eq!(key("018bcfe5-6800-7000-c000-000000000001"), None);
    assert_eq!(key("grant-17"), None);
    assert_eq!(Key::from_parts("grants", "", "k"), None);
}
