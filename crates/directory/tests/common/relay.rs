//! A TCP relay that can drop traffic without an error to either side.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Forwards bytes until cut.
pub struct Relay {
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cut = watch::Sender::new(false);
        let cuts = cut.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, target, cuts.subscribe()));
            }
        });
        Self { address, cut }
    }

    /// Drops all traffic from now on, or stops dropping.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, cut: watch::Receiver<bool>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = tokio::io::split(client);
    let (server_read, server_write) = tokio::io::split(server);
    tokio::join!(
        forward(client_read, server_write, cut.clone()),
        forward(server_read, client_write, cut)
    );
}

async fn forward(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut cut: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 4096];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        // Dropped bytes are never delivered, not even after the cut ends.
        if *cut.borrow_and_update() {
            let _ = cut.wait_for(|cut| !cut).await;
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
