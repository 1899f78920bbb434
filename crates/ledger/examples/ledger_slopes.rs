//! Measures time and memory of a ledger with a given number of records and answer size:
//! `cargo run --release -p ledger --example ledger_slopes -- 65536 256`.
//!
//! Each run measures one size, because memory freed by an earlier ledger would be reused.

use std::fs;
use std::time::Instant;

use bytes::Bytes;
use ledger::Ledger;
use ledger::Limits;
use ledger::record::digest;
use prost::Message;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::Command;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::command::Kind;

const START_MS: u64 = 1_700_000_000_000;
const DEFAULT_RECORDS: u64 = 65_536;
const DEFAULT_ANSWER_BYTES: usize = 256;
/// Size of a memory page; `/proc/self/statm` counts pages.
const PAGE_BYTES: u64 = 4_096;

fn key(n: u64) -> String {
    let head = START_MS >> 16;
    format!("{head:08x}-{:04x}-7000-8000-{n:012x}", START_MS & 0xffff)
}

fn claim(n: u64) -> Command {
    let claim = Claim {
        service: "grants".into(),
        caller: format!("supervisor-{}", n % 500),
        key: key(n),
        digest: n,
        claim_id: Bytes::copy_from_slice(&u128::from(n).to_be_bytes()),
        hold_ms: 30_000,
    };
    Command {
        kind: Some(Kind::Claim(claim)),
    }
}

fn settle(n: u64, body: &Bytes) -> Command {
    let answer = Answer {
        status: 201,
        content_type: "application/json".into(),
        body: body.clone(),
        digest: digest(body),
        omitted: false,
    };
    let settle = Settle {
        service: "grants".into(),
        caller: format!("supervisor-{}", n % 500),
        key: key(n),
        claim_id: Bytes::copy_from_slice(&u128::from(n).to_be_bytes()),
        settled: Settled::Done.into(),
        answer: Some(answer),
    };
    Command {
        kind: Some(Kind::Settle(settle)),
    }
}

/// Resident memory of this process in bytes, or zero if it is not available.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn measure(records: u64, answer: usize) {
    let limits = Limits {
        max_records: usize::MAX,
        max_service_records: usize::MAX,
        max_answer_bytes: usize::MAX,
        ..Limits::default()
    };
    let body = Bytes::from(vec![b'x'; answer]);
    let before = resident_bytes();
    let mut ledger = Ledger::new(limits);
    let mut nanos = 0;
    for n in 0..records {
        let commands = [claim(n), settle(n, &body)];
        let start = Instant::now();
        for command in &commands {
            ledger.apply(START_MS, command);
        }
        nanos += start.elapsed().as_nanos();
    }
    let grown = resident_bytes().saturating_sub(before);
    let start = Instant::now();
    let snapshot = ledger.snapshot().encode_to_vec();
    let millis = start.elapsed().as_millis();
    println!(
        "records={records} answer_bytes={answer} ns_a_claim_and_settle={} resident_bytes_a_record={} snapshot_bytes_a_record={} snapshot_ms={millis}",
        nanos / u128::from(records),
        grown / records,
        snapshot.len() as u64 / records,
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let records = args
        .first()
        .and_then(|n| n.parse().ok())
        .unwrap_or(DEFAULT_RECORDS);
    let answer = args
        .get(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(DEFAULT_ANSWER_BYTES);
    measure(records, answer);
}
