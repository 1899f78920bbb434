//! A TCP relay that counts the bytes forwarded in both directions.

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

/// Size of a relay's buffer.
const BUFFER_BYTES: usize = 64 * 1024;

/// Payload bytes forwarded by all relays that share this counter.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    /// Bytes forwarded so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, read: usize) {
        let bytes = u64::try_from(read).unwrap_or_default();
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Starts a relay to `target` and returns the address on which it listens.
pub async fn start(target: SocketAddr, counter: ByteCounter) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay_connection(client, target, counter.clone()));
        }
    });
    Ok(address)
}

async fn relay_connection(client: TcpStream, target: SocketAddr, counter: ByteCounter) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would add to the measured latency.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (upstream_reader, upstream_writer) = upstream.into_split();
    tokio::join!(
        copy_counted(client_reader, upstream_writer, &counter),
        copy_counted(upstream_reader, client_writer, &counter)
    );
}

async fn copy_counted(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    counter: &ByteCounter,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        counter.add(read);
    }
}
