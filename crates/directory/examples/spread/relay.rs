//! A TCP relay that counts the bytes passed in both directions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Traffic of all relays of a run.
#[derive(Default)]
pub struct Traffic {
    /// Payload bytes.
    pub bytes: AtomicU64,
    /// Reads, about one TCP segment each.
    pub reads: AtomicU64,
}

/// Starts a relay to `target` and returns its address.
pub async fn start(target: SocketAddr, traffic: Arc<Traffic>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, target, traffic.clone()));
        }
    });
    address
}

async fn relay(client: TcpStream, target: SocketAddr, traffic: Arc<Traffic>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        forward(client_read, server_write, &traffic),
        forward(server_read, client_write, &traffic)
    );
}

async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    traffic: &Traffic,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        traffic
            .bytes
            .fetch_add(u64::try_from(read).unwrap_or_default(), Ordering::Relaxed);
        traffic.reads.fetch_add(1, Ordering::Relaxed);
    }
}
