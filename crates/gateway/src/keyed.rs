//! Non-idempotent requests with a key: a claim before any byte leaves, a
//! settlement after.
//!
//! Invariant: a run begins only under a claim that this gateway was granted and
//! whose hold hasn't run out. What the ledger doesn't learn in time becomes
//! unknown there by itself.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use uuid::Uuid;
use wire::ledger;
use wire::ledger::Claim;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::claim_reply::Kind;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::Desk;
use crate::call;
use crate::call::Request;
use crate::core::Core;
use crate::counters::add;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Broken;
use crate::relay::PIECES;
use crate::relay::Receiver;
use crate::relay::Relayed;

/// Added to what is left of the deadline for the claim's hold: time to settle.
const HOLD_MARGIN: Duration = Duration::from_secs(5);
/// Longest wait for a claim.
const CLAIM_TIME: Duration = Duration::from_secs(1);
/// How long an answer is held back for its settlement.
const SETTLE_FIRST: Duration = Duration::from_millis(200);
/// When to come back while the same key runs.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// Starts a keyed call as [`call::start`] does.
#[must_use]
pub fn start(
    core: Arc<Core>,
    desk: Arc<Desk>,
    request: Request,
) -> oneshot::Receiver<call::Result> {
    let (send, receive) = oneshot::channel();
    let flight = core.flying.begin();
    tokio::spawn(async move {
        let _flight = flight;
        run(core, desk, request, send).await;
    });
    receive
}

async fn run(
    core: Arc<Core>,
    desk: Arc<Desk>,
    mut request: Request,
    send: oneshot::Sender<call::Result>,
) {
    let Some(claim) = claim_of(&core, &request) else {
        let _ = send.send(Err(Refusal::bad(Reason::NoCaller)));
        return;
    };
    let asked = core.clock.now();
    add(&core.counters.claims, 1);
    let until = core
        .clock
        .instant((asked + CLAIM_TIME).min(request.ask.deadline));
    let found = core.claims.claim(&claim, until).await;
    info!(core.log, "claim";
        "request" => request.ask.id.clone(),
        "service" => claim.service.as_str(),
        "found" => name_of(found.as_ref()),
        "us" => u64::try_from(core.clock.now().since(asked).as_micros()).unwrap_or(u64::MAX),
    );
    match judge(found) {
        Verdict::Run => {
            let hold = Duration::from_millis(claim.hold_ms.into());
            request.hold = Some(asked + hold);
            let run = Run {
                core,
                claim,
                until: asked + hold,
            };
            run.drive(desk, request, send).await;
        }
        Verdict::Answer(result) => {
            let _ = send.send(result);
        }
        Verdict::Unreachable => {
            let refusal = Refusal::busy(Reason::Ledger, RUNNING_RETRY);
            let _ = send.send(Err(refusal));
            let run = Run {
                core,
                claim,
                until: asked + HOLD_MARGIN,
            };
            // A claim may have been granted without our learning it.
            run.settle(Settled::NotRun, None).await;
        }
    }
}

fn claim_of(core: &Core, request: &Request) -> Option<Claim> {
    let ask = &request.ask;
    let left = ask.deadline.since(core.clock.now()) + HOLD_MARGIN;
    Some(Claim {
        service: ask.service.name.to_string(),
        caller: ask.caller.as_ref()?.to_string(),
        key: ask.key.as_ref()?.to_string(),
        digest: digest(request),
        claim_id: Bytes::copy_from_slice(Uuid::new_v4().as_bytes()),
        hold_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Digest of what makes two requests the same: method, target and body.
fn digest(request: &Request) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(request.target.as_bytes());
    hash.update(b"\n");
    if let Some(body) = request.payload.kept() {
        hash.update(body);
    }
    hash.digest()
}

enum Verdict {
    Run,
    Answer(call::Result),
    Unreachable,
}

fn judge(found: Option<Kind>) -> Verdict {
    let refused = |refusal| Verdict::Answer(Err(refusal));
    match found {
        None | Some(Kind::Unreachable(_)) => Verdict::Unreachable,
        Some(Kind::Granted(_)) => Verdict::Run,
        Some(Kind::Done(done)) => Verdict::Answer(replay(done.answer)),
        Some(Kind::InFlight(running)) => {
            let retry = millis_or(running.retry_ms, RUNNING_RETRY);
            let refusal = Refusal::unknown(StatusCode::CONFLICT, Reason::InFlight);
            refused(refusal.retry_in(retry))
        }
        Some(Kind::Unknown(_)) => {
            refused(Refusal::unknown(StatusCode::CONFLICT, Reason::Forgotten))
        }
        Some(Kind::Mismatch(_)) => refused(Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyReused,
        )),
        Some(Kind::Full(full)) => refused(Refusal::busy(
            Reason::LedgerFull,
            millis_or(full.retry_ms, RUNNING_RETRY),
        )),
        Some(Kind::Refused(why)) => refused(refusal_of(why.refusal())),
    }
}

fn refusal_of(refusal: ledger::Refusal) -> Refusal {
    match refusal {
        // An earlier send may have run, and its record is gone.
        ledger::Refusal::Expired => Refusal::unknown(StatusCode::CONFLICT, Reason::KeyExpired),
        ledger::Refusal::Early => Refusal::bad(Reason::KeyEarly),
        ledger::Refusal::Untimed => Refusal::bad(Reason::KeyUntimed),
        ledger::Refusal::Form => Refusal::bad(Reason::BadKey),
        ledger::Refusal::Spent | ledger::Refusal::Unspecified => {
            Refusal::busy(Reason::Ledger, RUNNING_RETRY)
        }
    }
}

fn millis_or(millis: u32, preset: Duration) -> Duration {
    match millis {
        0 => preset,
        millis => Duration::from_millis(millis.into()),
    }
}

/// The answer that was kept, whole, or why there is none.
fn replay(answer: Option<ledger::Answer>) -> call::Result {
    let gone = Refusal::unknown(StatusCode::CONFLICT, Reason::NotKept);
    let answer = answer.ok_or(gone)?;
    let status = u16::try_from(answer.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok());
    let (Some(status), false) = (status, answer.omitted) else {
        return Err(gone);
    };
    if xxh3_64(&answer.body) != answer.digest {
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::ShortBody));
    }
    let mut headers = HeaderMap::new();
    if let Ok(kind) = HeaderValue::from_str(&answer.content_type)
        && !kind.is_empty()
    {
        headers.insert(CONTENT_TYPE, kind);
    }
    Ok(whole(status, headers, answer.body))
}

/// An answer whose body is at hand.
fn whole(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Relayed {
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    Relayed {
        status,
        headers,
        body: Receiver::whole(body),
    }
}

fn name_of(found: Option<&Kind>) -> &'static str {
    match found {
        None | Some(Kind::Unreachable(_)) => "unreachable",
        Some(Kind::Granted(_)) => "granted",
        Some(Kind::InFlight(_)) => "in-flight",
        Some(Kind::Done(_)) => "done",
        Some(Kind::Unknown(_)) => "unknown",
        Some(Kind::Mismatch(_)) => "mismatch",
        Some(Kind::Full(_)) => "full",
        Some(Kind::Refused(_)) => "refused",
    }
}

/// A run under a granted claim.
struct Run {
    core: Arc<Core>,
    claim: Claim,
    // The end of the claim's hold; no settlement is of use after it.
    until: Moment,
}

impl Run {
    async fn drive(self, desk: Arc<Desk>, request: Request, send: oneshot::Sender<call::Result>) {
        // The task of the call never loses its listener, so it runs to its end.
        let result = call::start(self.core.clone(), desk, request).await;
        match result {
            Ok(Ok(relayed)) => self.collect(relayed, send).await,
            Ok(Err(refusal)) => {
                let settled = match refusal.outcome {
                    Outcome::NotRun => Settled::NotRun,
                    Outcome::Unknown => Settled::Unknown,
                };
                let _ = send.send(Err(refusal));
                self.settle(settled, None).await;
            }
            Err(_) => {
                warn!(self.core.log, "call lost"; "service" => self.claim.service.as_str());
                let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::NoAnswer);
                let _ = send.send(Err(refusal));
                self.settle(Settled::Unknown, None).await;
            }
        }
    }

    /// Reads the answer up to the bound of what the ledger keeps.
    async fn collect(self, mut relayed: Relayed, send: oneshot::Sender<call::Result>) {
        let bound = self.core.settings.bounds.answer.0;
        let mut body = BytesMut::new();
        while let Some(piece) = relayed.body.next().await {
            let Ok(bytes) = piece else {
                let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::ShortBody);
                let _ = send.send(Err(refusal));
                self.settle(Settled::Unknown, None).await;
                return;
            };
            body.extend_from_slice(&bytes);
            if body.len() as u64 > bound {
                self.pass(relayed, body.freeze(), send).await;
                return;
            }
        }
        self.keep(relayed, body.freeze(), send).await;
    }

    /// Settles first, for a short while, so that whoever has seen the answer
    /// finds it in the ledger; the answer doesn't wait longer than that.
    async fn keep(self, relayed: Relayed, body: Bytes, send: oneshot::Sender<call::Result>) {
        let answer = ledger::Answer {
            status: relayed.status.as_u16().into(),
            content_type: content_type(&relayed.headers),
            digest: xxh3_64(&body),
            body: body.clone(),
            omitted: false,
        };
        let settle = self.settle(Settled::Done, Some(answer));
        tokio::pin!(settle);
        let first = tokio::time::timeout(SETTLE_FIRST, &mut settle).await;
        let _ = send.send(Ok(whole(relayed.status, relayed.headers, body)));
        if first.is_err() {
            settle.await;
        }
    }

    /// Passes an answer on that is too large to keep, and settles at its end.
    async fn pass(self, mut relayed: Relayed, begun: Bytes, send: oneshot::Sender<call::Result>) {
        let (pieces, receive) = mpsc::channel(PIECES);
        let answer = ledger::Answer {
            status: relayed.status.as_u16().into(),
            content_type: content_type(&relayed.headers),
            omitted: true,
            ..ledger::Answer::default()
        };
        let passed = Relayed {
            status: relayed.status,
            headers: relayed.headers,
            body: Receiver::new(receive),
        };
        let _ = send.send(Ok(passed));
        let _ = pieces.send(Ok(begun)).await;
        while let Some(piece) = relayed.body.next().await {
            let broken = piece.is_err();
            // A caller that has left doesn't stop the run.
            let _ = pieces.send(piece).await;
            if broken {
                self.settle(Settled::Unknown, None).await;
                return;
            }
        }
        let end: Result<Bytes, Broken> = Ok(Bytes::new());
        let _ = pieces.send(end).await;
        self.settle(Settled::Done, Some(answer)).await;
    }

    async fn settle(&self, settled: Settled, answer: Option<ledger::Answer>) {
        let settle = Settle {
            service: self.claim.service.clone(),
            caller: self.claim.caller.clone(),
            key: self.claim.key.clone(),
            claim_id: self.claim.claim_id.clone(),
            settled: settled.into(),
            answer,
        };
        let until: Instant = self.core.clock.instant(self.until);
        if !self.core.claims.settle(&settle, until).await {
            warn!(self.core.log, "settlement lost";
                "service" => self.claim.service.as_str(),
                "settled" => settled.as_str_name(),
            );
        }
    }
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(CONTENT_TYPE);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
