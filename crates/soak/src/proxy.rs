//! A TCP proxy on loopback that harms the connections by way of it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use strum::Display;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;
/// How much later a delayed chunk goes on.
const DELAY: Duration = Duration::from_millis(60);

/// What the proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes everything on later.
    Delay,
    /// Takes connections and passes nothing on.
    Silent,
    /// Passes requests on and no answers.
    Mute,
    /// Closes every connection.
    Reset,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// A proxy before one upstream; its connections end when it is dropped.
pub struct Proxy {
    mode: watch::Sender<Mode>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Listens at `listen` for connections to `target`.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let mode = watch::Sender::new(Mode::Pass);
        let task = tokio::spawn(accept(listener, target, mode.subscribe()));
        Ok(Self {
            mode,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Does so from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    // Its connections end with it.
    let mut open = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        open.spawn(pass(stream, target, mode.clone()));
        while open.try_join_next().is_some() {}
    }
}

/// Passes one connection on, until either side or a reset ends it.
async fn pass(stream: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (from, back) = stream.into_split();
    let (answers, there) = other.into_split();
    tokio::select! {
        () = pump(from, there, Way::There, mode.clone()) => {}
        () = pump(answers, back, Way::Back, mode) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or(0),
            () = reset(mode.clone()) => return,
        };
        if count == 0 || !gate(&mut mode, way).await {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn reset(mut mode: watch::Receiver<Mode>) {
    // The sender lives as long as the proxy.
    let _ = mode.wait_for(|mode| *mode == Mode::Reset).await;
}

/// Waits until bytes may go on; false when the connection is to end.
async fn gate(mode: &mut watch::Receiver<Mode>, way: Way) -> bool {
    loop {
        let now = *mode.borrow_and_update();
        match (now, way) {
            (Mode::Pass, _) | (Mode::Mute, Way::There) => return true,
            (Mode::Delay, _) => {
                tokio::time::sleep(DELAY).await;
                return true;
            }
            (Mode::Reset, _) => return false,
            (Mode::Silent, _) | (Mode::Mute, Way::Back) => {
                if mode.changed().await.is_err() {
                    return false;
                }
            }
        }
    }
}
