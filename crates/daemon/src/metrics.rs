//! Serves the process's metrics over HTTP in the Prometheus text format.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::build;
use bytes::Bytes;
use cadence::Gauged;
use cadence::StatsdClient;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::Logger;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Binds the listener to `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Records which version of the program runs, and a digest of the sources that it was built from.
pub fn record_build(metrics: &StatsdClient, version: &str) {
    let _ = metrics
        .gauge_with_tags("build", 1_u64)
        .with_tag("version", version)
        .with_tag("sources", build::sources())
        .try_send();
}

/// Responds to every request with the metrics. Never returns.
pub async fn serve(listener: TcpListener, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "accept failed"; "port" => "metrics", "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let log = log.clone();
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service_fn(respond));
            if let Err(err) = connection.await {
                debug!(log, "metrics connection ended"; "error" => %err);
            }
        });
    }
}

async fn respond(_: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let text = telemetry::metrics::registry().text();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(response)
}
