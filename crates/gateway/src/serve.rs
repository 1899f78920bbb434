//! Callers' port: admits requests, starts their calls and relays the responses.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use bounds::BoundedAcceptor;
use bounds::RequestGuard;
use bounds::acceptor::client;
use futures::StreamExt;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use reach::check;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::async_trait;
use salvo::fuse::FuseConfig;
use salvo::http::ResBody;
use salvo::rt::tokio::TokioTimer;
use salvo::server::ServerHandle;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::acceptor::ClosableAcceptor;
use crate::body;
use crate::body::Buffering;
use crate::body::RequestBody;
use crate::call;
use crate::core::Core;
use crate::core::Phase;
use crate::headers;
use crate::hop::Outgoing;
use crate::keyed;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::RelayedResponse;
use crate::request_head;
use crate::request_head::RequestHead;
use crate::stop;
use crate::suspects::RequestIdentity;

/// Default time after which a refused caller may retry.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Path of the readiness check.
pub const READY_PATH: &str = "/rwr/ready";
/// Interval of keep-alive pings on HTTP/2 connections.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// HTTP/2 flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 64 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 256 * 1024;
/// Send buffer of an HTTP/2 stream, in bytes.
const SEND_BUFFER: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Server of the callers' port.
pub struct HttpServer {
    handle: ServerHandle,
    closing: CancellationToken,
    closed: CancellationToken,
    task: tokio::task::JoinHandle<io::Result<()>>,
}

/// Starts serving callers on `listener`.
///
/// # Errors
///
/// Returns an error if the listener's address can't be read.
pub fn start(core: Arc<Core>, listener: TcpListener) -> io::Result<HttpServer> {
    let bounds = core.settings.bounds;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(bounds.head_time)
        .with_write_stall_timeout(bounds.write_time);
    let closing = CancellationToken::new();
    let acceptor = BoundedAcceptor::new(listener, core.callers.clone())?;
    let acceptor = ClosableAcceptor::new(acceptor, closing.clone());
    let closed = acceptor.closed();
    let mut server = Server::new(acceptor).fuse_config(fuse);
    let max_head = usize::try_from(bounds.head.0).unwrap_or(usize::MAX);
    server
        .http1_mut()
        .max_buf_size(max_head)
        .max_headers(MAX_HEADERS);
    server
        .http2_mut()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(bounds.head.0).unwrap_or(u32::MAX))
        .max_concurrent_streams(bounds.streams)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(bounds.head_time);
    let handle = server.handle();
    let service = Service::new(Router::new()).hoop(CallHandler(core));
    let task = tokio::spawn(server.try_serve(service));
    Ok(HttpServer {
        handle,
        closing,
        closed,
        task,
    })
}

impl HttpServer {
    /// Closes the listener and idle connections, and waits for requests in flight for at
    /// most `finish`.
    pub async fn close(self, finish: Duration) {
        self.closing.cancel();
        let _ = tokio::time::timeout(LISTENER_CLOSE_TIMEOUT, self.closed.cancelled()).await;
        self.handle.stop_graceful(finish);
        let _ = self.task.await;
    }
}

/// Maximum wait for the listener to close.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Handles all requests, whatever their path.
struct CallHandler(Arc<Core>);

/// A valid request with its body.
struct ReceivedRequest {
    outgoing: Outgoing,
    body: RequestBody,
    identity: RequestIdentity,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.skip_rest();
        if is_ready_check(request) {
            self.write_readiness(response);
            return;
        }
        let id = request_id(request);
        let result = match client(&self.0.callers, request).begin().await {
            Ok(guard) => self
                .call_until_stop(&id, request, &guard)
                .await
                .map(|r| (r, guard)),
            Err(_) => Err(body::out_of_memory()),
        };
        match result {
            Ok((relayed, guard)) => write_response(relayed, guard, response),
            Err(refusal) => {
                let service = request_head::service_name(request.headers()).ok();
                self.write_refusal(&id, service.as_ref(), refusal, response);
            }
        }
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(header::REQUEST_ID, id);
        }
    }
}

/// The id that another gateway gave the request, or a new one.
fn request_id(request: &Request) -> Arc<str> {
    let headers = request.headers();
    let given = headers.get(header::REQUEST_ID);
    let given = given.filter(|_| headers.contains_key(header::HOP));
    let given = given.and_then(|id| Uuid::try_parse_ascii(id.as_bytes()).ok());
    given
        .unwrap_or_else(Uuid::new_v4)
        .simple()
        .to_string()
        .into()
}

fn is_ready_check(request: &Request) -> bool {
    request.uri().path() == READY_PATH
        && request.method() == Method::GET
        && !request.headers().contains_key(header::SERVICE)
}

impl CallHandler {
    fn write_readiness(&self, response: &mut Response) {
        let refusal = if self.0.is_fenced() {
            Refusal::unavailable(Reason::Fenced, DEFAULT_RETRY_AFTER)
        } else if *self.0.phase.borrow() > Phase::Serving {
            Refusal::unavailable(Reason::Stopping, DEFAULT_RETRY_AFTER)
        } else {
            response.status_code(StatusCode::OK);
            response.replace_body(ResBody::Once("ready\n".into()));
            return;
        };
        refusal.write_to(response);
    }

    /// Runs the call of a request until the end of a stop. Dropping the future signals that the
    /// caller has disconnected.
    async fn call_until_stop(
        &self,
        id: &Arc<str>,
        request: &mut Request,
        guard: &RequestGuard,
    ) -> call::Result {
        let core = &self.0;
        let received = tokio::select! {
            biased;
            received = self.receive(id, request, guard) => received?,
            () = core.grace_ended() => return Err(stop::STOPPING),
        };
        tokio::select! {
            biased;
            result = self.call(received) => result,
            () = core.grace_ended() => Err(stop::STOPPED),
        }
    }

    async fn call(&self, received: ReceivedRequest) -> call::Result {
        let core = &self.0;
        let outgoing = received.outgoing.clone();
        let service = &outgoing.head.service.name;
        if outgoing.relayed {
            // On a cut path, each gateway that is asked would otherwise send attempts to all
            // instances.
            check::confirm(core, service).await;
        }
        if core.paths.is_cut_off(service).await {
            return outgoing.relay(core, received.body).await;
        }
        let replay = received.body.buffered().cloned();
        let pending = self.admit(received).await?;
        // Used only if the call's task ends without a result, for example by a panic; the
        // request may have run by then.
        let aborted = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::NoAnswer);
        let result = pending.await.unwrap_or(Err(aborted));
        match (&result, replay) {
            (Err(refusal), Some(body))
                if refusal.is_unreached() && core.paths.is_cut_off(service).await =>
            {
                outgoing.relay(core, RequestBody::Buffered(body)).await
            }
            _ => result,
        }
    }

    /// Validates a request and receives its body.
    async fn receive(
        &self,
        id: &Arc<str>,
        request: &mut Request,
        guard: &RequestGuard,
    ) -> Result<ReceivedRequest, Refusal> {
        let core = &self.0;
        let now = core.clock.now();
        let bounds = core.settings.bounds;
        let view = core.view();
        if view.is_fenced(now, core.settings.lease.length) {
            return Err(Refusal::unavailable(Reason::Fenced, DEFAULT_RETRY_AFTER));
        }
        if *core.phase.borrow() == Phase::Closing {
            return Err(Refusal::unavailable(Reason::Stopping, DEFAULT_RETRY_AFTER));
        }
        let head = RequestHead::parse(
            id.clone(),
            now,
            &view,
            bounds.deadline,
            request.method(),
            request.headers(),
        )?;
        let buffering = if is_keyed(&head) || head.service.class == Class::Durable {
            Buffering::Always
        } else {
            Buffering::UpTo(bounds.replay.0)
        };
        let deadline = core.clock.instant(head.deadline);
        let body = request.take_body();
        let is_too_late = {
            let (core, head) = (Arc::clone(core), head.clone());
            Box::new(move || core.is_too_late(&head.service.name, head.deadline))
        };
        let receiving = body::receive_body(body, &head, buffering, guard, deadline, is_too_late);
        let body = core
            .before_too_late(&head.service.name, head.deadline, receiving)
            .await??;
        let is_stopping = core.grace.borrow().is_some();
        if is_stopping && !body.is_buffered() && !head.service.class.is_idempotent() {
            // The rest of the body may come too late for a response.
            return Err(stop::STOPPING);
        }
        let sent_by = request.headers().get(header::HOP);
        let sent_for = sent_by.and_then(|value| value.to_str().ok()?.parse().ok());
        let outgoing = Outgoing {
            caller: sent_for.or(request.remote_addr().ip()),
            client: guard.client().clone(),
            relayed: sent_by.is_some(),
            method: request.method().clone(),
            target: target(request).into(),
            headers: headers::forwarded_request(request.headers()),
            head,
        };
        let identity = RequestIdentity::new(
            &outgoing.head,
            outgoing.caller,
            outgoing.method.as_str(),
            &outgoing.target,
            body.prefix(bounds.replay.0),
        );
        if let Some(remaining) = core.check_quarantine(&identity) {
            return Err(Refusal::unavailable(Reason::Quarantined, remaining));
        }
        Ok(ReceivedRequest {
            outgoing,
            body,
            identity,
        })
    }

    /// Admits a request and starts its call.
    async fn admit(
        &self,
        received: ReceivedRequest,
    ) -> Result<oneshot::Receiver<call::Result>, Refusal> {
        let core = &self.0;
        let ReceivedRequest {
            outgoing,
            body,
            identity,
        } = received;
        let head = outgoing.head;
        let balancer = core
            .balancers
            .get(&head.service.name)
            .ok_or(Refusal::not_run(
                StatusCode::NOT_FOUND,
                Reason::UnknownService,
            ))?;
        let is_keyed = is_keyed(&head);
        let (service, deadline) = (&head.service.name, head.deadline);
        let admitting = core.queue.admit(service, deadline);
        let permit = core.before_too_late(service, deadline, admitting).await??;
        let admitted = call::Request {
            client: outgoing.client,
            method: outgoing.method,
            target: outgoing.target,
            headers: outgoing.headers,
            body,
            claim_expires_at: None,
            permit: Some(permit),
            identity,
            head,
        };
        Ok(if is_keyed {
            keyed::start(core.clone(), balancer, admitted)
        } else {
            call::start(core.clone(), balancer, admitted)
        })
    }

    fn write_refusal(
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
        refusal.write_to(response);
        if *self.0.phase.borrow() == Phase::Closing {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
    }
}

/// Whether the request's key is claimed before it is sent.
fn is_keyed(head: &RequestHead) -> bool {
    head.service.class == Class::Once && head.key.is_some()
}

/// Writes the response of an instance, during which the request counts as open.
fn write_response(relayed: RelayedResponse, guard: RequestGuard, response: &mut Response) {
    response.status_code(relayed.status);
    response.set_headers(relayed.headers);
    let body = relayed.body.inspect(move |_| {
        let _open = &guard;
    });
    response.replace_body(ResBody::stream(body));
}

fn target(request: &Request) -> &str {
    request
        .uri()
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}
