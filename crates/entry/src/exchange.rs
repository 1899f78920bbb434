//! One attempt at one instance.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::response::Parts;
use hyper::body::Body;
use hyper::body::Incoming;
use quarantine::Head;
use route::LoadReport;
use route::OutcomeKind;
use route::Ticket;
use slog::info;
use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::body;
use crate::body::Outgoing;
use crate::body::Read;
use crate::core::Core;
use crate::headers;
use crate::placing::Grant;
use crate::pool::Connection;
use crate::tail::Origin;
use crate::view::Upstream;

/// Bytes of an answer that come in one packet beside its head. One that is no longer is read
/// whole, so that it can be asked for again where it breaks off: passing on a part of it
/// gains no time.
const PACKET: u64 = 1_200;

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's name for it.
    pub id: HeaderValue,
    /// As it came.
    pub method: Method,
    /// As it came: path and query.
    pub uri: Uri,
    /// What is passed on.
    pub headers: HeaderMap,
    /// Who sent it: a name or an address.
    pub caller: Arc<str>,
    /// What tells it from others, but for its body.
    pub head: Head,
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// What the request has left.
    pub left: Duration,
    /// When an instance that is well has answered.
    pub silence: Duration,
}

/// What an attempt holds until it ends.
#[derive(Debug)]
pub struct Held {
    /// Of this process's desk.
    pub ticket: Ticket,
    /// Of the service's dispatcher, where that chose the instance.
    pub grant: Option<Grant>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Answered {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, the rest, and where that comes from.
    Stream(Bytes, Incoming, Origin),
}

/// How an attempt ended.
#[derive(Debug, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// An answer to this request.
    Answer(Box<Parts>, Answered),
    /// No byte of the request has left.
    Unsent,
    /// The instance says that it didn't run the request.
    Refused,
    /// Another instance has the address; the request didn't run.
    Elsewhere,
    /// The request may have run.
    Unknown,
}

/// An attempt as the desk counts it. One that is dropped was given up by the caller or
/// at the route's timeout; after `silence` without an answer that tells against the
/// instance.
struct Running {
    core: Arc<Core>,
    service: ServiceName,
    ticket: Option<Ticket>,
    grant: Option<Grant>,
    began: Instant,
    silence: Duration,
}

impl Running {
    fn end(&mut self, kind: OutcomeKind, report: Option<LoadReport>) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        self.core.counters.attempt(&self.service, kind.into());
        if let Some(grant) = self.grant.take() {
            grant.end(kind, report);
        }
        self.core.desk(&self.service, |desk, now| {
            desk.finished(now, ticket, kind, report);
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let kind = if self.began.elapsed() < self.silence {
            OutcomeKind::Cancelled
        } else {
            OutcomeKind::Timeout
        };
        self.end(kind, None);
    }
}

/// Sends `call` to `upstream`.
pub async fn attempt(
    core: &Arc<Core>,
    upstream: &Upstream,
    held: Held,
    call: &Call,
    body: Outgoing,
    patience: Patience,
) -> End {
    let mut running = Running {
        core: Arc::clone(core),
        service: upstream.service.clone(),
        ticket: Some(held.ticket),
        grant: held.grant,
        began: Instant::now(),
        silence: patience.silence,
    };
    let spool = body.spool();
    let Some((response, connection)) = send(core, upstream, call, body, patience.left).await else {
        running.end(OutcomeKind::ConnectFailed, None);
        return End::Unsent;
    };
    let Some(response) = response else {
        running.end(OutcomeKind::Error, None);
        return End::Unknown;
    };
    let report = load(core, response.headers());
    // An instance may answer before the body has ended; what follows on that connection
    // would be the rest of it.
    let reusable = spool.is_none_or(|spool| spool.is_whole());
    if response.headers().contains_key(&core.dialect.refused) {
        let end = if response.status() == StatusCode::MISDIRECTED_REQUEST {
            End::Elsewhere
        } else {
            End::Refused
        };
        finish(upstream, response, connection, reusable).await;
        running.end(OutcomeKind::Shed, report);
        return end;
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        running.end(OutcomeKind::Error, None);
        return End::Elsewhere;
    }
    // A late or second answer to another request belongs to nobody here.
    if response.headers().get(&core.dialect.request) != Some(&call.id) {
        running.end(OutcomeKind::Error, None);
        return End::Unknown;
    }
    let failed = response.status().is_server_error();
    if let Some((parts, answered)) = finish(upstream, response, connection, reusable).await {
        running.end(
            if failed {
                OutcomeKind::Error
            } else {
                OutcomeKind::Ok
            },
            report,
        );
        End::Answer(Box::new(parts), answered)
    } else {
        running.end(OutcomeKind::Error, report);
        End::Unknown
    }
}

/// The load that an instance tells on an answer.
pub fn load(core: &Core, headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(&core.dialect.load)?.to_str().ok()?;
    (core.dialect.read_load)(text)
}

/// Sends the request; none while no byte has left, no response when it broke off.
async fn send(
    core: &Core,
    upstream: &Upstream,
    call: &Call,
    body: Outgoing,
    left: Duration,
) -> Option<(Option<Response<Incoming>>, Connection)> {
    let mut request = request(core, upstream, call, body, left)?;
    loop {
        let (mut connection, fresh) = open(core, upstream).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Some((Some(response), connection)),
            Err(mut err) => match err.take_message() {
                // A kept connection closed before the request was written.
                Some(unsent) if !fresh => request = unsent,
                Some(_) => return None,
                None => return Some((None, connection)),
            },
        }
    }
}

/// A connection, kept or new, and whether it is new; why there is none is told in
/// the log.
pub async fn open(core: &Core, upstream: &Upstream) -> Option<(Connection, bool)> {
    if let Some(kept) = upstream.pool.take() {
        return Some((kept, false));
    }
    match upstream.pool.connect().await {
        Ok(connection) => Some((connection, true)),
        Err(err) => {
            info!(core.log, "connect failed"; "instance" => %upstream.id,
                "address" => %upstream.address, "error" => %err);
            None
        }
    }
}

/// Keeps a connection whose answer, with these headers, was read whole.
pub fn keep(upstream: &Upstream, connection: Connection, headers: &HeaderMap) {
    if !headers::closes(headers) {
        upstream.pool.keep(connection, headers::kept_for(headers));
    }
}

fn request(
    core: &Core,
    upstream: &Upstream,
    call: &Call,
    body: Outgoing,
    left: Duration,
) -> Option<Request<Outgoing>> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(&core.dialect.deadline, HeaderValue::from(millis));
    let expected = HeaderValue::from_str(upstream.id.as_str()).ok()?;
    headers.insert(&core.dialect.expected, expected);
    Some(request)
}

/// Reads the answer, and keeps a `reusable` connection where the answer was whole.
async fn finish(
    upstream: &Upstream,
    response: Response<Incoming>,
    connection: Connection,
    reusable: bool,
) -> Option<(Parts, Answered)> {
    let (parts, incoming) = response.into_parts();
    // A failure may give way to another attempt's answer. One without a length tells only
    // by its end whether it is whole.
    let long = incoming
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes > PACKET);
    let at_once = parts.status.is_success() && long;
    let read = if at_once {
        body::begin(incoming).await
    } else {
        body::read(incoming).await
    };
    match read.ok()? {
        Read::Whole(bytes) => {
            if reusable {
                keep(upstream, connection, &parts.headers);
            }
            Some((parts, Answered::Whole(bytes)))
        }
        Read::Part(first, rest) => {
            let origin = Origin {
                connection,
                reusable: reusable && !headers::closes(&parts.headers),
                kept: headers::kept_for(&parts.headers),
            };
            Some((parts, Answered::Stream(first, rest, origin)))
        }
    }
}
