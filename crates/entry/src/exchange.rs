//! One attempt: sends a request to an instance and reads the response.

mod response;

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bounds::Client;
use bytes::Bytes;
use correlate::Cause;
use correlate::NotRun;
use correlate::Owner;
use correlate::Verdict;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::response::Parts;
use hyper::body::Body;
use limit::Source;
use quarantine::Head;
use route::LoadReport;
use route::OutcomeKind;
use route::Ticket;
use slog::info;
use strum::IntoStaticStr;
use tokio::sync::watch;
use tokio::time::Instant;

use self::response::drain_refusal;
pub use self::response::read_response;
pub use self::response::release_connection;
use crate::balancer::SelectedInstance;
use crate::body::Arriving;
use crate::body::ForwardedBody;
use crate::core::Core;
use crate::correlation;
use crate::correlation::Exchange;
use crate::path;
use crate::placement::Grant;
use crate::pool::Connection;
use crate::pool::Message;
use crate::send;
use crate::send::SendEnd;
use crate::stream_tracker::ResponseSource;
use crate::view::Upstream;

/// A request as it is sent to an instance.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Request id.
    pub id: HeaderValue,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// Headers of the caller's request, without those that concern its connection only.
    pub headers: HeaderMap,
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// Digest of everything but the body, for the request's fingerprint.
    pub head: Head,
    /// The connection on which it arrived, to which its response is charged.
    pub client: Client,
}

/// Time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimeouts {
    /// What is left of the caller's timeout, sent to the instance as its deadline.
    pub remaining: Duration,
    /// After this time, an abandoned attempt counts as a timeout of the instance.
    pub unresponsive_after: Duration,
}

/// What an attempt occupies until it ends.
#[derive(Debug)]
pub struct Reservation {
    /// Ticket of this process's balancer.
    pub ticket: Ticket,
    /// Grant of the service's dispatcher, if that selected the instance.
    pub grant: Option<Grant>,
}

/// The body of a response.
#[derive(Debug)]
pub enum UpstreamBody {
    /// The complete body.
    Whole(Bytes),
    /// The part read so far, the rest, and the connection it arrives on.
    Stream(Bytes, Arriving, Box<ResponseSource>),
}

/// How an attempt ended.
#[derive(Debug, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// A response to this request.
    Answer(Box<Parts>, UpstreamBody),
    /// No byte of the request was sent.
    Unsent(NotRun),
    /// No byte of the request was sent, because the instance takes nothing from this process now.
    Withheld(NotRun),
    /// The instance reported that it did not process the request.
    Refused(NotRun),
    /// Another instance has the address; the request was not processed.
    Elsewhere(NotRun),
    /// The request may have been processed.
    Unknown,
    /// The response belongs to another request; this one may have been processed.
    Mismatched,
    /// The instance has probably lost the request. The attempt at this other instance is paid for.
    Abandoned(Box<SelectedInstance>),
}

impl AttemptEnd {
    /// The proof that the request was not processed in this attempt.
    #[must_use]
    pub fn not_run(&self) -> Option<&NotRun> {
        match self {
            Self::Unsent(proof)
            | Self::Withheld(proof)
            | Self::Refused(proof)
            | Self::Elsewhere(proof) => Some(proof),
            Self::Answer(..) | Self::Unknown | Self::Mismatched | Self::Abandoned(_) => None,
        }
    }
}

/// Accounting of an attempt in the balancer. If dropped, the attempt was abandoned by the
/// caller or at the route's timeout: it counts as cancelled, or as a timeout of the
/// instance after `unresponsive_after`.
struct RunningAttempt {
    core: Arc<Core>,
    service: ServiceName,
    ticket: Option<Ticket>,
    grant: Option<Grant>,
    started_at: Instant,
    unresponsive_after: Duration,
}

impl RunningAttempt {
    fn end(&mut self, kind: OutcomeKind, report: Option<LoadReport>) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        self.core.counters.attempt(&self.service, kind.into());
        if let Some(grant) = self.grant.take() {
            grant.release(kind, report);
        }
        self.core.balancer(&self.service, |balancer, now| {
            balancer.finish_attempt(now, ticket, kind, report);
        });
    }

    /// Ends an attempt that has not run; `refused` tells whether the response says so by its header.
    fn end_refused(
        &mut self,
        proof: NotRun,
        refused: bool,
        report: Option<LoadReport>,
    ) -> AttemptEnd {
        let kind = if refused {
            OutcomeKind::Shed
        } else {
            OutcomeKind::Error
        };
        match proof.cause() {
            // The report is another instance's.
            Cause::OtherInstance => {
                self.end(kind, None);
                AttemptEnd::Elsewhere(proof)
            }
            Cause::Unsent | Cause::Refused => {
                self.end(kind, report);
                AttemptEnd::Refused(proof)
            }
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let kind = if self.started_at.elapsed() < self.unresponsive_after {
            OutcomeKind::Cancelled
        } else {
            OutcomeKind::Timeout
        };
        self.end(kind, None);
    }
}

/// Sends `request` to `upstream` and reads the response. `abandon` is given the time at which the
/// request is sent, and completes if the attempt is to be abandoned.
pub async fn attempt<A>(
    core: &Arc<Core>,
    upstream: &Arc<Upstream>,
    reservation: Reservation,
    request: &ForwardedRequest,
    body: ForwardedBody,
    timeouts: AttemptTimeouts,
    abandon: impl FnOnce(watch::Receiver<Option<Moment>>) -> A,
) -> AttemptEnd
where
    A: Future<Output = Box<SelectedInstance>>,
{
    let mut running = RunningAttempt {
        core: Arc::clone(core),
        service: upstream.service.clone(),
        ticket: Some(reservation.ticket),
        grant: reservation.grant,
        started_at: Instant::now(),
        unresponsive_after: timeouts.unresponsive_after,
    };
    let transfer = body.transfer();
    let sent_at = Instant::now();
    let Some(sent) = build_request(core, upstream, request, body, timeouts.remaining) else {
        running.end(OutcomeKind::Cancelled, None);
        return AttemptEnd::Unsent(NotRun::unsent());
    };
    let cause = request.id.to_str().unwrap_or("-");
    let (written_at, receiver) = watch::channel(None);
    let record_sent = || {
        written_at.send_replace(Some(core.clock.now()));
    };
    let send_end = tokio::select! {
        biased;
        end = send::send(core, upstream, sent, cause, record_sent) => end,
        // The connection is closed, as its instance answers nothing more on it.
        next = abandon(receiver) => {
            running.end(OutcomeKind::Abandoned, None);
            return AttemptEnd::Abandoned(next);
        }
    };
    let (response, mut connection) = match send_end {
        SendEnd::Response(response, connection) => (response, connection),
        SendEnd::Withheld => {
            running.end(OutcomeKind::Cancelled, None);
            return AttemptEnd::Withheld(NotRun::unsent());
        }
        SendEnd::Unsent => {
            running.end(OutcomeKind::ConnectFailed, None);
            return AttemptEnd::Unsent(NotRun::unsent());
        }
        SendEnd::Broken => {
            running.end(OutcomeKind::Error, None);
            return AttemptEnd::Unknown;
        }
    };
    let exchange = Exchange {
        request: cause,
        instance: upstream.id.as_str(),
        peer: None,
        service: &upstream.service,
        usage: connection.record_use(Message::Request),
    };
    let (status, headers) = (response.status(), response.headers());
    let owner = correlation::owner(core, request.id.as_bytes(), headers);
    if owner != Owner::Sent {
        correlation::record_foreign(core, &exchange, owner, status, headers);
    }
    let refused = headers.contains_key(&core.dialect.refused);
    if refused {
        correlation::record_refusal(core, &exchange, owner, status, headers);
    }
    let report = load_report(core, headers);
    // An instance may respond before it has read the whole request body. The rest of the body
    // would precede the next request on this connection.
    let reusable = transfer.is_complete();
    match correlate::judge(owner, status, refused) {
        Verdict::Answered => {}
        // Its connection is closed, as the response to this request may follow.
        Verdict::Foreign(_) => {
            upstream.pool.discard_open();
            core.counters.foreign_closed(&upstream.service);
            running.end(OutcomeKind::Error, None);
            return AttemptEnd::Mismatched;
        }
        Verdict::NotRun(proof) => {
            // Another instance has the address, so the connection isn't kept.
            if proof.cause() != Cause::OtherInstance {
                connection.record_refused(&request.id);
                drain_refusal(upstream, response, connection, reusable);
            }
            return running.end_refused(proof, refused, report);
        }
    }
    core.record_limit(upstream, response.headers(), sent_at, Source::Response);
    let failed = response.status().is_server_error();
    let client = &request.client;
    let read = read_response(&upstream.pool, response, connection, reusable, client).await;
    if let Some((parts, body)) = read {
        running.end(
            if failed {
                OutcomeKind::Error
            } else {
                OutcomeKind::Ok
            },
            report,
        );
        AttemptEnd::Answer(Box::new(parts), body)
    } else {
        running.end(OutcomeKind::Error, report);
        AttemptEnd::Unknown
    }
}

/// Reads the load report of a response.
pub fn load_report(core: &Core, headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&core.dialect.load)?.to_str().ok()?;
    (core.dialect.read_load)(text)
}

/// Returns a pooled or a new connection for the request with this id, and whether it is new; logs a
/// failure to connect.
pub async fn acquire_connection(
    core: &Arc<Core>,
    upstream: &Upstream,
    id: Option<&HeaderValue>,
) -> Option<(Connection, bool)> {
    if let Some(connection) = upstream.pool.take(id) {
        return Some((connection, false));
    }
    match upstream.pool.connect().await {
        Ok(connection) => {
            core.record_connected(&upstream.service);
            Some((connection, true))
        }
        Err(err) => {
            info!(core.log, "connect failed"; "instance" => %upstream.id,
                "address" => %upstream.address, "error" => %err);
            path::record_unreachable(core, upstream);
            None
        }
    }
}

fn build_request(
    core: &Core,
    upstream: &Upstream,
    forwarded: &ForwardedRequest,
    body: ForwardedBody,
    remaining: Duration,
) -> Option<Request<ForwardedBody>> {
    let length = body.size_hint().exact();
    let mut request = Request::new(body);
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&forwarded.headers);
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(&core.dialect.deadline, HeaderValue::from(millis));
    let expected = HeaderValue::from_str(upstream.id.as_str()).ok()?;
    headers.insert(&core.dialect.expected, expected);
    framing::write_request(&forwarded.method, headers, length);
    Some(request)
}
