//! Guards against an instance's faulty responses that make a request run twice, let it be answered
//! as not run although it ran, or give a caller another response than its own.

mod faulty_world;

use std::collections::HashSet;
use std::time::Duration;

use entry::settings::Retry;
use faulty_world::Call;
use faulty_world::Load;
use faulty_world::Play;
use faulty_world::Record;
use standin::FaultShares;
use standin::Refusal;
use standin::ResponseFault;
use table::Kind;
use testutils::Received;
use testutils::caller::Receipt;
use testutils::process::field;

/// Maximum number of failures that a message describes.
const DESCRIBED: usize = 5;
/// Time in which requests are sent.
const LENGTH: Duration = Duration::from_millis(7_500);
/// Retries per window that no run of these tests spends.
const AMPLE_RETRIES: u32 = 10_000;

fn load(service: &'static str, kind: Kind, shares: &FaultShares) -> Load {
    Load {
        service,
        kind,
        instances: 3,
        slots: 4,
        queue: 8,
        time: Duration::from_millis(20),
        length: LENGTH,
        rate: 120.0,
        deadline: Duration::from_secs(1),
        timeout: None,
        callers: 16,
        faulty: 3,
        shares: shares.clone(),
    }
}

fn play(seed: u64, shares: &FaultShares) -> Play {
    Play {
        seed,
        entries: 2,
        attempts: 2,
        retry: Retry {
            base: AMPLE_RETRIES,
            ..Retry::default()
        },
        loads: vec![
            load("grants", Kind::Once, shares),
            load("status", Kind::Idempotent, shares),
        ],
    }
}

/// Calls with a success that isn't the whole body of a run of their own request.
fn wrong_bodies(record: &Record) -> Vec<&Call> {
    let calls = record.calls.iter();
    calls.filter(|call| is_wrong(record, call)).collect()
}

fn is_wrong(record: &Record, call: &Call) -> bool {
    let Received::Response(head, body) = &call.received else {
        return false;
    };
    if !(200..300).contains(&head.status()) {
        return false;
    }
    let receipt: Option<Receipt> = serde_json::from_slice(body).ok();
    receipt.is_none_or(|receipt| {
        receipt.path != call.request.path
            || receipt.echo != call.request.body
            || record.runs_of(call).is_empty()
    })
}

/// Paths that ran although no caller asked for them.
fn unasked(record: &Record) -> Vec<&String> {
    let asked = record.calls.iter().map(|call| &call.request.path);
    let asked: HashSet<&String> = asked.collect();
    let ran = record.runs.keys();
    ran.filter(|path| !asked.contains(path)).collect()
}

/// Describes a call with its runs and the log lines of its request.
fn describe(record: &Record, call: &Call) -> String {
    let (id, status) = (&call.request.id, call.received.status());
    let instances = record.runs_of(call).iter().map(|(instance, _)| instance);
    let instances: Vec<&String> = instances.collect();
    let is_own = |line: &&String| field(line, "request") == Some(id);
    let mut text = vec![format!("{id}: status {status}, run by {instances:?}")];
    text.extend(record.lines.iter().filter(is_own).cloned());
    text.join("\n    ")
}

fn failure(record: &Record, what: &str, calls: &[&Call]) -> Option<String> {
    let described = calls.iter().take(DESCRIBED);
    let described: Vec<String> = described.map(|call| describe(record, call)).collect();
    let described = described.join("\n");
    (!calls.is_empty()).then(|| format!("{} {what}:\n{described}", calls.len()))
}

async fn check(play: &Play) -> Record {
    let record = faulty_world::run(play).await;
    let failures = [
        failure(&record, "ran twice", &record.ran_twice()),
        failure(&record, "were refused but ran", &record.refused_but_ran()),
        failure(&record, "got a wrong body", &wrong_bodies(&record)),
    ];
    let failures: Vec<String> = failures.into_iter().flatten().collect();
    let (calls, answered) = (record.calls.len(), record.answered());
    assert!(
        failures.is_empty(),
        "of {calls}, {answered} answered:\n{}",
        failures.join("\n")
    );
    let unasked = unasked(&record);
    assert!(unasked.is_empty(), "unasked: {unasked:?}");
    assert_eq!(record.unsolicited, 0, "bytes after a response");
    assert!(answered > 0, "served nothing");
    record
}

/// Guards against a refusal of one request, sent again late, that counts as that of the next
/// request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn test_response_faults_late_copies_of_refusals() {
    let shares = FaultShares {
        responses: vec![
            (ResponseFault::LateCopy, 0.1),
            (ResponseFault::LateCopyAfterProbes, 0.1),
        ],
        refusals: vec![(Refusal::Full, 0.15), (Refusal::Limited, 0.15)],
    };
    check(&play(1, &shares)).await;
}

/// Guards against extra, unnamed, broken and wrongly framed responses that count as another
/// request's, or as complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_response_faults_mixed() {
    let shares = FaultShares {
        responses: vec![
            (ResponseFault::LateCopy, 0.03),
            (ResponseFault::LateCopyAfterProbes, 0.03),
            (ResponseFault::Copy, 0.03),
            (ResponseFault::Unnamed, 0.03),
            (ResponseFault::CutHead, 0.03),
            (ResponseFault::CutBody, 0.02),
            (ResponseFault::Overlong, 0.02),
            (ResponseFault::Garbage, 0.02),
            (ResponseFault::Lost, 0.02),
        ],
        refusals: vec![
            (Refusal::Full, 0.05),
            (Refusal::Limited, 0.05),
            (Refusal::Misdirected, 0.001),
        ],
    };
    check(&play(2, &shares)).await;
}

/// Guards against a body in chunks, whose head also states a shorter length, that is passed on
/// with that length as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn test_response_faults_two_lengths() {
    let shares = FaultShares {
        responses: vec![(ResponseFault::BothLengths, 0.1)],
        refusals: vec![],
    };
    let record = check(&play(3, &shares)).await;
    // A debug build drops the caller's connection if both lengths are passed on.
    let is_broken = |call: &&Call| call.received == Received::Broken;
    let broken = record.calls.iter().filter(is_broken).count();
    assert_eq!(broken, 0, "calls without a complete response");
}
