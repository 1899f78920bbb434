//! Sends requests on to other gateways while this one doesn't reach the instances.
//!
//! A request is sent on once at most, whole and before it is queued or its key is claimed: the
//! gateway that takes it does all of that. It bears its id, and each response of the other gateway
//! has to name it: what another request's response says isn't believed.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use bounds::Client;
use bytes::Bytes;
use correlate::Owner;
use futures::StreamExt;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use slog::info;
use strum::IntoStaticStr;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::body::RequestBody;
use crate::call;
use crate::core::Core;
use crate::correlation;
use crate::counters::add;
use crate::headers;
use crate::in_flight::InFlightGuard;
use crate::instance_clients::Reuse;
use crate::instance_clients::SendError;
use crate::instance_clients::UpstreamRequest;
use crate::peers::Peer;
use crate::peers::PeerLease;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::BodyError;
use crate::relay::CHUNK_BUFFER;
use crate::relay::RelayedResponse;
use crate::relay::ResponseBody;
use crate::relay::UpstreamResponse;
use crate::request_head::RequestHead;
use crate::stop;

/// Time by which the other gateway gives up earlier, so that its response arrives in time.
const HOP_TIME: Duration = Duration::from_millis(10);
/// Time after which a caller may return that nobody can serve. Paths are tried again meanwhile.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Reasons of another gateway's refusals that say nothing of the request or the service.
const PROCESS_REASONS: [Reason; 5] = [
    Reason::Fenced,
    Reason::Stopping,
    Reason::CutOff,
    Reason::Connect,
    Reason::NoUpstream,
];

/// Failure of a request that broke off at another gateway.
const BROKEN: Refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::NoAnswer);
/// Failure of a request to which another gateway's response doesn't belong.
const FOREIGN: Refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::Mismatch);
/// Failure of a request of which a status says without proof that it hasn't run.
const UNPROVEN: Refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::Unproven);
/// Failure of a request that another gateway didn't answer in time.
const TOO_LATE: Refusal = Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, Reason::Deadline);

/// A request that may be sent on.
#[derive(Clone)]
pub struct Outgoing {
    /// Validated head.
    pub head: RequestHead,
    /// The caller's address.
    pub caller: Option<IpAddr>,
    /// The caller's connection, to which the response is charged.
    pub client: Client,
    /// Whether another gateway sent it on to this one.
    pub relayed: bool,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// End-to-end headers.
    pub headers: HeaderMap,
}

/// How a request ended at another gateway.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum HopEnd {
    /// With a response for the caller.
    Answered(RelayedResponse),
    /// It refused the request for a reason of its own; nothing was run.
    Refused,
    /// Nothing was sent to it.
    Silent,
    /// The connection broke off; the request may have run.
    Broken,
    /// The response doesn't name the request, which may have run.
    Foreign,
    /// The status says that the request hasn't run, without proof.
    Unproven,
    /// The deadline passed; the request may have run.
    Deadline,
}

/// A request at another gateway. Kept until the response's body has ended.
struct HopGuard {
    _lease: PeerLease,
    _in_flight: Arc<InFlightGuard>,
}

impl Outgoing {
    /// Lets another gateway serve the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub async fn relay(&self, core: &Arc<Core>, mut body: RequestBody) -> call::Result {
        let in_flight = Arc::new(core.in_flight.begin());
        let service = &self.head.service.name;
        if !self.relayed {
            core.peers.wait_until_known().await;
        }
        let mut tried: Vec<SocketAddr> = Vec::new();
        while !self.relayed
            && core.clock.now() < self.head.deadline
            && !core.is_too_late(service, self.head.deadline)
            && let Some(peer) = core.select_peer(service, &tried)
            && let Some(content) = body.take()
        {
            tried.push(peer.address);
            let guard = HopGuard {
                _lease: peer.lease(),
                _in_flight: in_flight.clone(),
            };
            let started_at = core.clock.now();
            let end = self.send(core, &peer, content, guard).await;
            self.log_hop(core, &peer, &end, core.clock.now().since(started_at));
            match end {
                HopEnd::Answered(response) => return Ok(response),
                HopEnd::Broken => return Err(BROKEN),
                HopEnd::Foreign => return Err(FOREIGN),
                HopEnd::Unproven => return Err(UNPROVEN),
                HopEnd::Deadline => return Err(TOO_LATE),
                HopEnd::Refused | HopEnd::Silent => {}
            }
        }
        if core.is_too_late(service, self.head.deadline) {
            return Err(stop::STOPPING);
        }
        info!(core.log, "no peer"; "request" => &*self.head.id, "service" => %service,
            "tried" => tried.len(), "relayed" => self.relayed);
        let reason = if self.relayed {
            Reason::CutOff
        } else {
            Reason::Connect
        };
        Err(Refusal::unavailable(reason, RETRY_AFTER))
    }

    async fn send(
        &self,
        core: &Arc<Core>,
        peer: &Arc<Peer>,
        body: reqwest::Body,
        guard: HopGuard,
    ) -> HopEnd {
        let request = UpstreamRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.hop_headers(core.clock.now()),
            body,
        };
        let deadline = core.clock.instant(self.head.deadline);
        let sending = peer.client.send(request, Reuse::Allowed, |_, _| {});
        let sending = timeout_at(deadline, sending);
        let sent_at = core.clock.now();
        match sending.await {
            Ok(Ok(response)) => {
                let response = UpstreamResponse::new(response, &self.method);
                self.judge(core, peer, response, sent_at, guard)
            }
            Ok(Err(err)) => {
                core.record_peer_silent(peer);
                info!(core.log, "gateway lost"; "peer" => %peer.address, "error" => %err);
                match err {
                    SendError::NoAnswer(_) | SendError::Framing(_) | SendError::EndlessInterim => {
                        HopEnd::Broken
                    }
                    SendError::Connect(_)
                    | SendError::Busy
                    | SendError::Withheld
                    | SendError::Target => HopEnd::Silent,
                }
            }
            Err(_) => HopEnd::Deadline,
        }
    }

    fn log_hop(&self, core: &Core, peer: &Peer, end: &HopEnd, elapsed: Duration) {
        let outcome: &'static str = end.into();
        info!(core.log, "relayed"; "request" => &*self.head.id,
            "service" => %self.head.service.name, "peer" => %peer.address,
            "domain" => &*peer.domain, "outcome" => outcome, "ms" => elapsed.as_millis());
    }

    /// The headers of the request as it is sent on at `now`.
    fn hop_headers(&self, now: Moment) -> HeaderMap {
        let mut headers = self.headers.clone();
        let remaining = self.head.deadline.since(now).saturating_sub(HOP_TIME);
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(header::DEADLINE, HeaderValue::from(remaining.max(1)));
        if let Ok(id) = HeaderValue::from_str(&self.head.id) {
            headers.insert(header::REQUEST_ID, id);
        }
        headers.insert(header::DEPTH, HeaderValue::from(u16::from(self.head.depth)));
        let caller = self
            .caller
            .map_or_else(|| "-".to_owned(), |ip| ip.to_string());
        if let Ok(caller) = HeaderValue::from_str(&caller) {
            headers.insert(header::HOP, caller);
        }
        headers
    }

    /// Judges another gateway's response to the request that was sent at `sent_at`.
    fn judge(
        &self,
        core: &Arc<Core>,
        peer: &Peer,
        response: UpstreamResponse,
        sent_at: Moment,
        guard: HopGuard,
    ) -> HopEnd {
        if correlation::owner(&self.head.id, &response.headers) != Owner::Sent {
            peer.client.discard_open();
            add(&core.counters.foreign_responses, 1);
            return HopEnd::Foreign;
        }
        if !response.framed {
            return HopEnd::Broken;
        }
        if is_about_process(&response.headers) {
            core.record_peer_refused(&self.head.service.name, peer);
            return HopEnd::Refused;
        }
        if self.is_unproven(&response) {
            return HopEnd::Unproven;
        }
        let Ok(charge) = self.client.begin_response_now(response.length) else {
            return HopEnd::Broken;
        };
        let (send, receive) = mpsc::channel(CHUNK_BUFFER);
        let relayed = RelayedResponse {
            status: response.status,
            headers: headers::hop_response(&response.headers, response.length),
            body: ResponseBody::new(receive),
        };
        let (core, service) = (core.clone(), self.head.service.name.clone());
        tokio::spawn(async move {
            let succeeded = response.status.is_success();
            let is_complete = forward_body(response, send).await;
            if succeeded && is_complete {
                core.record_response_time(&service, core.clock.now().since(sent_at));
            }
            drop((guard, charge));
        });
        HopEnd::Answered(relayed)
    }

    /// Whether the status of a request that may run once says that it hasn't run, though the other
    /// gateway doesn't.
    fn is_unproven(&self, response: &UpstreamResponse) -> bool {
        !self.head.service.class.is_idempotent()
            && correlate::promises_not_run(response.status)
            && !has(&response.headers, header::OUTCOME, Outcome::NotRun.into())
    }
}

/// Whether another gateway refused a request unrun, for a reason of its own.
fn is_about_process(headers: &HeaderMap) -> bool {
    let mut reasons = PROCESS_REASONS.into_iter();
    has(headers, header::OUTCOME, Outcome::NotRun.into())
        && reasons.any(|reason| has(headers, header::REASON, reason.into()))
}

fn has(headers: &HeaderMap, name: &'static str, value: &'static str) -> bool {
    let found = headers.get(name);
    found.is_some_and(|found| found.as_bytes() == value.as_bytes())
}

/// Passes a body on until it ends or the caller has left. Returns whether all of it has arrived.
async fn forward_body(
    mut response: UpstreamResponse,
    send: mpsc::Sender<std::result::Result<Bytes, BodyError>>,
) -> bool {
    let mut missing = response.length;
    loop {
        let chunk = tokio::select! {
            chunk = response.body.next() => chunk,
            // The server lets go of a body of a known length at its last byte.
            () = send.closed() => return missing == Some(0),
        };
        let (chunk, ended) = match chunk {
            Some(Ok(bytes)) if bytes.is_empty() => continue,
            Some(Ok(bytes)) => {
                missing = missing.map(|missing| missing.saturating_sub(bytes.len() as u64));
                (Ok(bytes), false)
            }
            Some(Err(_)) => (Err(BodyError::Truncated), true),
            // An empty chunk marks the end of a complete body.
            None => (Ok(Bytes::new()), true),
        };
        let is_complete = missing == Some(0) || ended && chunk.is_ok();
        if send.send(chunk).await.is_err() || ended {
            return is_complete;
        }
    }
}
