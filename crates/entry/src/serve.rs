//! Serves the connections of callers and of other entry processes, and the readiness page.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bounds::Client;
use bounds::ClientStream;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::ResponseBody;
use crate::core::Core;
use crate::core::Stage;
use crate::flow;
use crate::flow::Origin;
use crate::relay::Question;
use crate::relay::search;

/// Minimum size of the read buffer of a connection; hyper requires at least 8 KiB.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long other entry processes may keep an idle connection, as a header.
const PEER_KEEP_ALIVE: &str = "timeout=5";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Callers.
    Callers,
    /// Other entry processes, which relay requests.
    Peers,
}

/// Accepts connections of `side` until the process is closing; `open` tracks the connections.
pub async fn accept(core: Arc<Core>, listener: TcpListener, side: Side, open: TaskTracker) {
    let mut stage = core.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_until_closing(&mut stage) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let origin = match side {
                    Side::Callers => Origin::Caller(peer.ip()),
                    Side::Peers => Origin::Peer,
                };
                if let Some(admitted) = Admitted::new(&core, stream, peer) {
                    open.spawn(serve_connection(Arc::clone(&core), admitted, origin));
                }
            }
            Err(err) => {
                warn!(core.log, "accept failed"; "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A connection within the bounds.
struct Admitted {
    stream: ClientStream<TcpStream>,
    /// Cancelled to make room for other connections.
    evicted: CancellationToken,
}

impl Admitted {
    /// Admits the connection, unless there is no room for it.
    fn new(core: &Core, stream: TcpStream, peer: SocketAddr) -> Option<Self> {
        let evicted = CancellationToken::new();
        let token = evicted.clone();
        let admitted = core.clients.admit(peer, move || token.cancel())?;
        Some(Self {
            stream: admitted.with(stream),
            evicted,
        })
    }
}

async fn wait_until_closing(stage: &mut watch::Receiver<Stage>) {
    // The sender is never dropped while the process runs.
    let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
}

async fn serve_connection(core: Arc<Core>, admitted: Admitted, origin: Origin) {
    let Admitted { stream, evicted } = admitted;
    if let Err(err) = stream.get_ref().set_nodelay(true) {
        debug!(core.log, "failed to set up connection"; "error" => %err);
        return;
    }
    let limits = core.routes().limits();
    let client = stream.client().clone();
    let service = service_fn(|request| answer(Arc::clone(&core), client.clone(), origin, request));
    let mut serving = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut stage = core.stage.subscribe();
    let serve = async {
        tokio::select! {
            result = &mut serving => result,
            () = wait_until_closing(&mut stage) => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        }
    };
    if let Some(Err(err)) = evicted.run_until_cancelled(serve).await {
        debug!(core.log, "connection ended"; "error" => %err);
    }
}

/// Answers a request, or a peer's question. During a shutdown the connection closes after the response.
async fn answer(
    core: Arc<Core>,
    client: Client,
    origin: Origin,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let question = match origin {
        Origin::Caller(_) => None,
        Origin::Peer => Question::read(request.headers()),
    };
    let mut response = match question {
        Some(question) => search::answer(&core, &question).await,
        // On the heap, as the future has 17 KB.
        None => Box::pin(flow::handle(Arc::clone(&core), client, origin, request)).await,
    };
    if *core.stage.borrow() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    } else if origin == Origin::Peer {
        let keep = HeaderValue::from_static(PEER_KEEP_ALIVE);
        response.headers_mut().insert(KEEP_ALIVE, keep);
    }
    Ok(response)
}

/// Serves the readiness page. Runs forever.
pub async fn readiness(core: Arc<Core>, listener: TcpListener) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(Admitted { stream, evicted }) = Admitted::new(&core, stream, peer) else {
            continue;
        };
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = readiness_response(&core, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Some(Err(err)) = evicted.run_until_cancelled(serving).await {
                debug!(core.log, "readiness connection ended"; "error" => %err);
            }
        });
    }
}

fn readiness_response(core: &Core, path: &str) -> Response<ResponseBody> {
    let mut response = Response::new(flow::empty_body());
    *response.status_mut() = if path != &*core.settings().ready_path {
        StatusCode::NOT_FOUND
    } else if core.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
