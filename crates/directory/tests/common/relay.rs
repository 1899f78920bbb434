//! A TCP relay that can go silent without an error to either side.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Passes bytes on until cut.
pub struct Relay {
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Relay {
    /// A relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cut = watch::Sender::new(false);
        let cuts = cut.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, target, cuts.subscribe()));
            }
        });
        Self { address, cut }
    }

    /// Drops all bytes from now on, or no more.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn join(near: TcpStream, target: SocketAddr, cut: watch::Receiver<bool>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = tokio::io::split(near);
    let (far_in, far_out) = tokio::io::split(far);
    tokio::join!(
        pass(near_in, far_out, cut.clone()),
        pass(far_in, near_out, cut)
    );
}

async fn pass(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut cut: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 4096];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        // What was cut is never delivered, also not after the cut.
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
