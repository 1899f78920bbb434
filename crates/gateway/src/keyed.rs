//! Requests of class once with an idempotency key: the key is claimed in the ledger
//! before the request is sent, and settled with the result afterwards.
//!
//! Invariant: a run starts only while a claim granted to this gateway is valid. The
//! ledger marks a claim that isn't settled before its expiry as unknown.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bounds::Buffer;
use bytes::Bytes;
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

use crate::balancer::Balancer;
use crate::call;
use crate::call::Request;
use crate::core::Core;
use crate::counters::add;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::BodyError;
use crate::relay::CHUNK_BUFFER;
use crate::relay::RelayedResponse;
use crate::relay::ResponseBody;

/// Time to settle a claim after the request's deadline.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);
/// Maximum wait for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a response is delayed until its settlement is recorded.
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(200);
/// Default time after which a refused caller may retry.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Starts the call of a keyed request, like [`call::start`].
#[must_use]
pub fn start(
    core: Arc<Core>,
    balancer: Arc<Balancer>,
    request: Request,
) -> oneshot::Receiver<call::Result> {
    let (send, receive) = oneshot::channel();
    let in_flight_guard = core.in_flight.begin();
    tokio::spawn(async move {
        let _in_flight_guard = in_flight_guard;
        run(core, balancer, request, send).await;
    });
    receive
}

async fn run(
    core: Arc<Core>,
    balancer: Arc<Balancer>,
    mut request: Request,
    send: oneshot::Sender<call::Result>,
) {
    let Some(claim) = new_claim(&core, &request) else {
        let _ = send.send(Err(Refusal::bad_request(Reason::NoCaller)));
        return;
    };
    let requested_at = core.clock.now();
    add(&core.counters.claims, 1);
    let deadline = core
        .clock
        .instant((requested_at + CLAIM_TIMEOUT).min(request.head.deadline));
    let reply = core.ledger.claim(&claim, deadline).await;
    info!(core.log, "claim";
        "request" => request.head.id.clone(),
        "service" => claim.service.as_str(),
        "found" => name_of(reply.as_ref()),
        "us" => u64::try_from(core.clock.now().since(requested_at).as_micros()).unwrap_or(u64::MAX),
    );
    match decide(reply) {
        ClaimDecision::Run => {
            let lifetime = Duration::from_millis(claim.hold_ms.into());
            request.claim_expires_at = Some(requested_at + lifetime);
            let run = Run {
                core,
                claim,
                expires_at: requested_at + lifetime,
            };
            run.execute(balancer, request, send).await;
        }
        ClaimDecision::Respond(result) => {
            let _ = send.send(result);
        }
        ClaimDecision::Unreachable => {
            let refusal = Refusal::unavailable(Reason::Ledger, DEFAULT_RETRY_AFTER);
            let _ = send.send(Err(refusal));
            let run = Run {
                core,
                claim,
                expires_at: requested_at + SETTLE_MARGIN,
            };
            // The claim may have been granted although no reply arrived.
            run.settle(Settled::NotRun, None).await;
        }
    }
}

fn new_claim(core: &Core, request: &Request) -> Option<Claim> {
    let head = &request.head;
    let remaining = head.deadline.since(core.clock.now()) + SETTLE_MARGIN;
    Some(Claim {
        service: head.service.name.to_string(),
        caller: head.caller.as_ref()?.to_string(),
        key: head.key.as_ref()?.to_string(),
        digest: digest(request),
        claim_id: Bytes::copy_from_slice(Uuid::new_v4().as_bytes()),
        hold_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Digest of method, target and body, by which the ledger recognizes the same request.
fn digest(request: &Request) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(request.target.as_bytes());
    hash.update(b"\n");
    if let Some(body) = request.body.buffered() {
        hash.update(body);
    }
    hash.digest()
}

enum ClaimDecision {
    Run,
    Respond(call::Result),
    Unreachable,
}

fn decide(reply: Option<Kind>) -> ClaimDecision {
    let refuse = |refusal| ClaimDecision::Respond(Err(refusal));
    match reply {
        None | Some(Kind::Unreachable(_)) => ClaimDecision::Unreachable,
        Some(Kind::Granted(_)) => ClaimDecision::Run,
        Some(Kind::Done(done)) => ClaimDecision::Respond(replay(done.answer)),
        Some(Kind::InFlight(running)) => {
            let retry_after = millis_or(running.retry_ms, DEFAULT_RETRY_AFTER);
            let refusal = Refusal::unknown(StatusCode::CONFLICT, Reason::InFlight);
            refuse(refusal.with_retry_after(retry_after))
        }
        Some(Kind::Unknown(_)) => refuse(Refusal::unknown(StatusCode::CONFLICT, Reason::Forgotten)),
        Some(Kind::Mismatch(_)) => refuse(Refusal::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyReused,
        )),
        Some(Kind::Full(full)) => refuse(Refusal::unavailable(
            Reason::LedgerFull,
            millis_or(full.retry_ms, DEFAULT_RETRY_AFTER),
        )),
        Some(Kind::Refused(why)) => refuse(refusal_of(why.refusal())),
    }
}

fn refusal_of(refusal: ledger::Refusal) -> Refusal {
    match refusal {
        // An earlier request with the key may have run, and its record was removed.
        ledger::Refusal::Expired => Refusal::unknown(StatusCode::CONFLICT, Reason::KeyExpired),
        ledger::Refusal::Early => Refusal::bad_request(Reason::KeyEarly),
        ledger::Refusal::Untimed => Refusal::bad_request(Reason::KeyUntimed),
        ledger::Refusal::Form => Refusal::bad_request(Reason::BadKey),
        ledger::Refusal::Spent | ledger::Refusal::Unspecified => {
            Refusal::unavailable(Reason::Ledger, DEFAULT_RETRY_AFTER)
        }
    }
}

fn millis_or(millis: u32, default: Duration) -> Duration {
    match millis {
        0 => default,
        millis => Duration::from_millis(millis.into()),
    }
}

/// The response stored in the ledger, or the refusal if it isn't available.
fn replay(answer: Option<ledger::Answer>) -> call::Result {
    let not_stored = Refusal::unknown(StatusCode::CONFLICT, Reason::NotKept);
    let answer = answer.ok_or(not_stored)?;
    let status = u16::try_from(answer.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok());
    let (Some(status), false) = (status, answer.omitted) else {
        return Err(not_stored);
    };
    if xxh3_64(&answer.body) != answer.digest {
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::ShortBody));
    }
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    Ok(complete_response(status, headers, answer.body))
}

/// Creates a response with a complete body.
fn complete_response(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> RelayedResponse {
    if !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    RelayedResponse {
        status,
        headers,
        body: ResponseBody::from_bytes(body),
    }
}

fn name_of(reply: Option<&Kind>) -> &'static str {
    match reply {
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

/// A claim to settle and, if it was granted, the run of its request.
struct Run {
    core: Arc<Core>,
    claim: Claim,
    // Expiry of the claim, after which the ledger accepts no settlement.
    expires_at: Moment,
}

impl Run {
    async fn execute(
        self,
        balancer: Arc<Balancer>,
        request: Request,
        send: oneshot::Sender<call::Result>,
    ) {
        // The receiver is kept, so the call doesn't see its caller disconnect.
        let buffer = Buffer::new(request.client.charge(), None);
        let result = call::start(self.core.clone(), balancer, request).await;
        match result {
            Ok(Ok(relayed)) => self.collect(relayed, buffer, send).await,
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

    /// Reads the response up to the size that the ledger stores, or as far as there is memory.
    async fn collect(
        self,
        mut relayed: RelayedResponse,
        mut body: Buffer,
        send: oneshot::Sender<call::Result>,
    ) {
        let max_bytes = self.core.settings.bounds.answer.0;
        while let Some(chunk) = relayed.body.next().await {
            let Ok(bytes) = chunk else {
                let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::ShortBody);
                let _ = send.send(Err(refusal));
                self.settle(Settled::Unknown, None).await;
                return;
            };
            let is_kept = body.push(&bytes).await.is_ok();
            if !is_kept || body.len() as u64 > max_bytes {
                let unkept = Some(bytes).filter(|_| !is_kept);
                let prefix = [body.into_bytes(), unkept.unwrap_or_default()];
                self.stream(relayed, prefix, send).await;
                return;
            }
        }
        self.store(relayed, body.into_bytes(), send).await;
    }

    /// Settles the claim before the response is sent, so that a caller who has seen the
    /// response finds it in the ledger. The response waits for at most
    /// [`MAX_SETTLE_DELAY`].
    async fn store(
        self,
        relayed: RelayedResponse,
        body: Bytes,
        send: oneshot::Sender<call::Result>,
    ) {
        let answer = ledger::Answer {
            status: relayed.status.as_u16().into(),
            content_type: content_type(&relayed.headers),
            digest: xxh3_64(&body),
            body: body.clone(),
            omitted: false,
        };
        let settle = self.settle(Settled::Done, Some(answer));
        tokio::pin!(settle);
        let settlement = tokio::time::timeout(MAX_SETTLE_DELAY, &mut settle).await;
        let _ = send.send(Ok(complete_response(relayed.status, relayed.headers, body)));
        if settlement.is_err() {
            settle.await;
        }
    }

    /// Relays a response that is too large to store, and settles the claim at its end. Its beginning
    /// is in `prefix`.
    async fn stream(
        self,
        mut relayed: RelayedResponse,
        prefix: [Bytes; 2],
        send: oneshot::Sender<call::Result>,
    ) {
        let (chunks, receive) = mpsc::channel(CHUNK_BUFFER);
        let answer = ledger::Answer {
            status: relayed.status.as_u16().into(),
            content_type: content_type(&relayed.headers),
            omitted: true,
            ..ledger::Answer::default()
        };
        let streamed = RelayedResponse {
            status: relayed.status,
            headers: relayed.headers,
            body: ResponseBody::new(receive),
        };
        let _ = send.send(Ok(streamed));
        // An empty chunk would mark the end.
        for part in prefix.into_iter().filter(|part| !part.is_empty()) {
            let _ = chunks.send(Ok(part)).await;
        }
        while let Some(chunk) = relayed.body.next().await {
            let is_truncated = chunk.is_err();
            // The run continues if the caller has disconnected.
            let _ = chunks.send(chunk).await;
            if is_truncated {
                self.settle(Settled::Unknown, None).await;
                return;
            }
        }
        let end: Result<Bytes, BodyError> = Ok(Bytes::new());
        let _ = chunks.send(end).await;
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
        let deadline: Instant = self.core.clock.instant(self.expires_at);
        if !self.core.ledger.settle(&settle, deadline).await {
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
