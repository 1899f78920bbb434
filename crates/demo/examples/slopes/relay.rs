//! A TCP relay that counts the bytes it passes on, both ways.

use std::io;
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

/// Bytes that a relay reads at once.
const PIECE: usize = 64 * 1024;

/// Bytes of payload that all relays with this count have passed on.
#[derive(Clone, Debug, Default)]
pub struct Count(Arc<AtomicU64>);

impl Count {
    /// The bytes so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, read: usize) {
        let bytes = u64::try_from(read).unwrap_or_default();
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Starts a relay to `target`; the answer is where it listens.
pub async fn start(target: SocketAddr, count: Count) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(join(near, target, count.clone()));
        }
    });
    Ok(address)
}

async fn join(near: TcpStream, target: SocketAddr, count: Count) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // A held-back frame would show as latency of the role.
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
    let mut buffer = vec![0; PIECE];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        count.add(read);
    }
}
