//! Accepts connections on plain sockets.

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Lets `serve` handle each connection; all of them end when this is dropped.
pub(crate) async fn serve_connections<S, F>(
    listener: TcpListener,
    shared: Arc<S>,
    serve: impl Fn(TcpStream, Arc<S>) -> F,
) where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        // The peer sees a failed connection as closed.
        connections.spawn(serve(stream, Arc::clone(&shared)));
        while connections.try_join_next().is_some() {}
    }
}
