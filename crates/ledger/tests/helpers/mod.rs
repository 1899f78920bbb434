//! Builds commands and formats replies for the ledger's tests.

use bytes::Bytes;
use ledger::Reply;
use ledger::record::digest;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::Command;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::claim_reply::Kind;
use wire::ledger::command;

pub const HOLD_MS: u32 = 1_000;
pub const START_MS: u64 = 1_700_000_000_000;

pub fn claim(key: &str, id: &str, digest: u64) -> Command {
    let claim = Claim {
        service: "grants".into(),
        caller: "milano-7".into(),
        key: key.into(),
        digest,
        claim_id: Bytes::copy_from_slice(id.as_bytes()),
        hold_ms: HOLD_MS,
    };
    Command {
        kind: Some(command::Kind::Claim(claim)),
    }
}

pub fn settle(key: &str, id: &str, settled: Settled, answer: Option<Answer>) -> Command {
    let settle = Settle {
        service: "grants".into(),
        caller: "milano-7".into(),
        key: key.into(),
        claim_id: Bytes::copy_from_slice(id.as_bytes()),
        settled: settled.into(),
        answer,
    };
    Command {
        kind: Some(command::Kind::Settle(settle)),
    }
}

pub fn answer(body: &'static [u8]) -> Answer {
    Answer {
        status: 201,
        content_type: "application/json".into(),
        body: Bytes::from_static(body),
        digest: digest(body),
        omitted: false,
    }
}

pub fn timed_key(minted_ms: u64) -> String {
    let head = minted_ms >> 16;
    format!(
        "{head:08x}-{:04x}-7000-8000-000000000001",
        minted_ms & 0xffff
    )
}

/// Formats a reply as a short text for the test tables.
pub fn reply_text(reply: &Reply) -> String {
    match reply {
        Reply::Claim(reply) => match reply.kind.as_ref().expect("a kind") {
            Kind::Granted(_) => "granted".into(),
            Kind::InFlight(_) => "in-flight".into(),
            Kind::Done(done) => {
                let answer = done.answer.as_ref().expect("an answer");
                let body = String::from_utf8_lossy(&answer.body);
                format!("done:{body}{}", if answer.omitted { "omitted" } else { "" })
            }
            Kind::Unknown(_) => "unknown".into(),
            Kind::Mismatch(_) => "mismatch".into(),
            Kind::Full(_) => "full".into(),
            Kind::Unreachable(_) => "unreachable".into(),
            Kind::Refused(refused) => refused.refusal().as_str_name().into(),
        },
        Reply::Settle(reply) if reply.recorded => "recorded".into(),
        Reply::Settle(_) => "dropped".into(),
        Reply::Expire => "expire".into(),
    }
}
