//! Claims and settlements of the form that gateways send.

use bytes::Bytes;
use ledger::record::digest;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::Command;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::command::Kind;

/// Number of services over which the claims are spread, so that none reaches its limit.
const SERVICES: u64 = 8;
/// Number of callers over which the claims are spread.
const CALLERS: u64 = 500;
/// How long a claim is held.
const HOLD_MS: u32 = 30_000;

/// Claim number `number`.
pub fn claim_of(number: u64) -> Claim {
    Claim {
        service: service(number),
        caller: caller(number),
        key: key(number),
        digest: number,
        claim_id: id(number),
        hold_ms: HOLD_MS,
    }
}

/// Settlement of claim `number` with `body` as the stored response.
pub fn settle_of(number: u64, body: &Bytes) -> Settle {
    let answer = Answer {
        status: 201,
        content_type: "application/json".into(),
        body: body.clone(),
        digest: digest(body),
        omitted: false,
    };
    Settle {
        service: service(number),
        caller: caller(number),
        key: key(number),
        claim_id: id(number),
        settled: Settled::Done.into(),
        answer: Some(answer),
    }
}

/// Claim number `number` as a log command.
pub fn claim(number: u64) -> Command {
    Command {
        kind: Some(Kind::Claim(claim_of(number))),
    }
}

/// Settlement of claim `number` as a log command.
pub fn settle(number: u64, body: &Bytes) -> Command {
    Command {
        kind: Some(Kind::Settle(settle_of(number, body))),
    }
}

fn service(number: u64) -> String {
    format!("grants-{}", number % SERVICES)
}

fn caller(number: u64) -> String {
    format!("supervisor-{}", number % CALLERS)
}

/// A key without a timestamp, which the ledger accepts at any time.
fn key(number: u64) -> String {
    format!("possession-0000-0000-8000-{number:012x}")
}

fn id(number: u64) -> Bytes {
    Bytes::copy_from_slice(&u128::from(number).to_be_bytes())
}
