//! The callers' port: admits requests, has them called, relays the answers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::ResBody;
use salvo::rt::tokio::TokioTimer;
use salvo::server::ServerHandle;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::acceptor::Door;
use crate::body;
use crate::body::Keep;
use crate::call;
use crate::core::Core;
use crate::core::Phase;
use crate::headers;
use crate::keyed;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Relayed;
use crate::request_head;
use crate::request_head::Ask;

/// When to come back where nothing better is known.
pub const RETRY: Duration = Duration::from_secs(1);
/// Where the gateway says whether it serves.
pub const READY_PATH: &str = "/rwr/ready";
/// How often an HTTP/2 connection is checked for a silent end.
const PING_PERIOD: Duration = Duration::from_secs(20);
/// Bytes that one HTTP/2 stream may send before they are read.
const STREAM_WINDOW: u32 = 64 * 1024;
/// Bytes that one HTTP/2 connection may send before they are read.
const CONNECTION_WINDOW: u32 = 256 * 1024;
/// Bytes of an answer that wait for one HTTP/2 stream.
const SEND_BUFFER: usize = 64 * 1024;
/// Most headers of one request.
const MOST_HEADERS: usize = 100;

/// The callers' port while it is served.
pub struct Port {
    handle: ServerHandle,
    closing: CancellationToken,
    closed: CancellationToken,
    done: tokio::task::JoinHandle<io::Result<()>>,
}

/// Serves callers on `listener`.
///
/// # Errors
///
/// Fails when the listener's address can't be read.
pub fn start(core: Arc<Core>, listener: TcpListener) -> io::Result<Port> {
    let bounds = core.settings.bounds;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(bounds.head_time)
        .with_write_stall_timeout(bounds.write_time);
    let closing = CancellationToken::new();
    let door = Door::new(TcpAcceptor::try_from(listener)?, closing.clone());
    let closed = door.closed();
    let mut server = Server::new(door)
        .fuse_config(fuse)
        .max_connections(bounds.connections as usize);
    let head = usize::try_from(bounds.head.0).unwrap_or(usize::MAX);
    server
        .http1_mut()
        .max_buf_size(head)
        .max_headers(MOST_HEADERS);
    server
        .http2_mut()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(bounds.head.0).unwrap_or(u32::MAX))
        .max_concurrent_streams(bounds.streams)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(bounds.head_time);
    let handle = server.handle();
    let service = Service::new(Router::new()).hoop(Entry(core));
    let done = tokio::spawn(server.try_serve(service));
    Ok(Port {
        handle,
        closing,
        closed,
        done,
    })
}

impl Port {
    /// Closes the listener, ends idle connections, and waits for requests in flight.
    pub async fn close(self, finish: Duration) {
        self.closing.cancel();
        // A server with all connections in use doesn't look at its door.
        let _ = tokio::time::timeout(DOOR_TIME, self.closed.cancelled()).await;
        self.handle.stop_graceful(finish);
        let _ = self.done.await;
    }
}

/// Longest wait for the listener to close.
const DOOR_TIME: Duration = Duration::from_millis(100);

/// Takes every request, whatever its path.
struct Entry(Arc<Core>);

#[async_trait]
impl Handler for Entry {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.skip_rest();
        if is_ready_check(request) {
            self.say_ready(response);
            return;
        }
        let id: Arc<str> = Uuid::new_v4().simple().to_string().into();
        match self.call(&id, request).await {
            Ok(relayed) => relay(relayed, response),
            Err(refusal) => {
                let service = request_head::service_name(request.headers()).ok();
                self.refuse(&id, service.as_ref(), refusal, response);
            }
        }
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(header::REQUEST_ID, id);
        }
    }
}

fn is_ready_check(request: &Request) -> bool {
    request.uri().path() == READY_PATH
        && request.method() == Method::GET
        && !request.headers().contains_key(header::SERVICE)
}

impl Entry {
    fn say_ready(&self, response: &mut Response) {
        let refusal = if self.0.is_fenced() {
            Refusal::busy(Reason::Fenced, RETRY)
        } else if *self.0.phase.borrow() > Phase::Serving {
            Refusal::busy(Reason::Stopping, RETRY)
        } else {
            response.status_code(StatusCode::OK);
            response.replace_body(ResBody::Once("ready\n".into()));
            return;
        };
        refusal.write(response);
    }

    /// Has the request called; being dropped here is the caller's leaving.
    async fn call(&self, id: &Arc<str>, request: &mut Request) -> call::Result {
        let answer = self.admit(id, request).await?;
        // A call's task always answers; its loss may have come after its run.
        let lost = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::NoAnswer);
        answer.await.unwrap_or(Err(lost))
    }

    /// Takes the request in and starts its call.
    async fn admit(
        &self,
        id: &Arc<str>,
        request: &mut Request,
    ) -> Result<oneshot::Receiver<call::Result>, Refusal> {
        let core = &self.0;
        let now = core.clock.now();
        let bounds = core.settings.bounds;
        let view = core.view();
        if view.is_fenced(now, core.settings.lease.length) {
            return Err(Refusal::busy(Reason::Fenced, RETRY));
        }
        if *core.phase.borrow() == Phase::Closing {
            return Err(Refusal::busy(Reason::Stopping, RETRY));
        }
        let ask = Ask::read(
            id.clone(),
            now,
            &view,
            bounds.deadline,
            request.method(),
            request.headers(),
        )?;
        let desk = core.desks.get(&ask.service.name).ok_or(Refusal::not_run(
            StatusCode::NOT_FOUND,
            Reason::UnknownService,
        ))?;
        let is_keyed = ask.service.class == Class::Once && ask.key.is_some();
        let keep = if is_keyed || ask.service.class == Class::Durable {
            Keep::Whole
        } else {
            Keep::Small(bounds.replay.0)
        };
        let until = core.clock.instant(ask.deadline);
        let body = request.take_body();
        let payload = body::take_in(body, &ask, keep, &core.memory, until).await?;
        let slot = core.queue.admit(&ask.service.name, ask.deadline).await?;
        let admitted = call::Request {
            method: request.method().clone(),
            target: target(request).into(),
            headers: headers::of_request(request.headers()),
            payload,
            hold: None,
            slot: Some(slot),
            ask,
        };
        Ok(if is_keyed {
            keyed::start(core.clone(), desk, admitted)
        } else {
            call::start(core.clone(), desk, admitted)
        })
    }

    fn refuse(
        &self,
        id: &str,
        service: Option<&ServiceName>,
        refusal: Refusal,
        response: &mut Response,
    ) {
        self.0.counters.refused(refusal.reason);
        info!(self.0.log, "refuse";
            "request" => id,
            "service" => service.map_or("", ServiceName::as_str),
            "outcome" => <&str>::from(refusal.outcome),
            "reason" => <&str>::from(refusal.reason),
            "status" => refusal.status.as_u16(),
        );
        refusal.write(response);
        if *self.0.phase.borrow() == Phase::Closing {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
    }
}

fn relay(relayed: Relayed, response: &mut Response) {
    response.status_code(relayed.status);
    response.set_headers(relayed.headers);
    response.replace_body(ResBody::stream(relayed.body));
}

fn target(request: &Request) -> &str {
    request
        .uri()
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}
