//! Guards against an instance's faulty responses that make a request run twice, let it be answered
//! as not run although it ran, or give a caller another response than its own.

mod faulty_world;

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

/// Maximum number of failures that a message describes.
const DESCRIBED: usize = 5;
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
        requests: 900,
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

fn failure(record: &Record, what: &str, calls: &[&Call]) -> Option<String> {
    let described = record.describe(&calls[..calls.len().min(DESCRIBED)]);
    (!calls.is_empty()).then(|| format!("{} {what}:\n{described}", calls.len()))
}

async fn check(play: &Play) -> Record {
    let record = faulty_world::run(play).await;
    let failures = [
        failure(&record, "ran twice", &record.ran_twice()),
        failure(&record, "were refused but ran", &record.refused_but_ran()),
        failure(&record, "got a wrong body", &record.wrong_bodies()),
    ];
    let failures: Vec<String> = failures.into_iter().flatten().collect();
    let (calls, answered) = (record.calls.len(), record.answered());
    assert!(
        failures.is_empty(),
        "of {calls}, {answered} answered:\n{}",
        failures.join("\n")
    );
    assert!(
        record.unasked().is_empty(),
        "unasked: {:?}",
        record.unasked()
    );
    assert_eq!(record.unsolicited, 0, "bytes after a response");
    assert!(answered > 0, "served nothing");
    record
}

/// Guards against a refusal of one request, sent again late, that counts as that of the next
/// request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn test_response_faults_late_copies_of_refusals() {
    let shares = FaultShares {
        responses: vec![(ResponseFault::LateCopy, 0.2)],
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
            (ResponseFault::LateCopy, 0.05),
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
    // A debug build notices the contradiction and drops the connection.
    let broken = record.broken();
    assert!(broken.is_empty(), "{} without a response", broken.len());
}
