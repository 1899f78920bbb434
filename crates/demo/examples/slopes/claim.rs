//! Claims and settlements as gateways send them.

use bytes::Bytes;
use ledger::record::digest;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::Command;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::command::Kind;

/// Services among which the claims are spread, below the bound of one service.
const SERVICES: u64 = 8;
/// Callers among which the claims are spread.
const CALLERS: u64 = 500;
/// How long a claim is held.
const HOLD_MS: u32 = 30_000;

/// The claim number `number`.
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

/// Its settlement with `body` as the answer.
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

/// The claim as a command of the log.
pub fn claim(number: u64) -> Command {
    Command {
        kind: Some(Kind::Claim(claim_of(number))),
    }
}

/// The settlement as a command of the log.
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

/// A key without a time, so that the ledger takes it at any hour.
fn key(number: u64) -> String {
    format!("possession-0000-0000-8000-{number:012x}")
}

fn id(number: u64) -> Bytes {
    Bytes::copy_from_slice(&u128::from(number).to_be_bytes())
}
