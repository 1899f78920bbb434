//! A TCP relay that counts the bytes that it passes on, both ways.

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

/// What all relays of a run passed on.
#[derive(Default)]
pub struct Count {
    /// Bytes of payload.
    pub bytes: AtomicU64,
    /// Pieces as they were read, about one TCP segment each.
    pub pieces: AtomicU64,
}

/// Starts a relay to `target` and returns where it listens.
pub async fn start(target: SocketAddr, count: Arc<Count>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(join(near, target, count.clone()));
        }
    });
    address
}

async fn join(near: TcpStream, target: SocketAddr, count: Arc<Count>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::join!(
        pass(near_in, far_out, &count),
        pass(far_in, near_out, &count)
    );
}

async fn pass(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, count: &Count) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        count
            .bytes
            .fetch_add(u64::try_from(read).unwrap_or_default(), Ordering::Relaxed);
        count.pieces.fetch_add(1, Ordering::Relaxed);
    }
}
