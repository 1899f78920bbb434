//! A TCP proxy on loopback that injects network faults.

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

/// Maximum number of bytes that are forwarded at once.
const CHUNK_SIZE: usize = 16 * 1024;
/// Delay of a chunk under [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(60);

/// Treatment of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// Forwards everything.
    Pass,
    /// Forwards everything with a delay.
    Delay,
    /// Accepts connections and forwards nothing.
    Silent,
    /// Forwards requests but no responses.
    Mute,
    /// Closes every connection.
    Reset,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToUpstream,
    ToClient,
}

/// A proxy in front of one upstream. Dropping it closes its connections.
pub struct Proxy {
    mode: watch::Sender<Mode>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the listening socket can't be opened.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let mode = watch::Sender::new(Mode::Pass);
        let task = tokio::spawn(accept(listener, target, mode.subscribe()));
        Ok(Self {
            mode,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    // Dropping the set closes the connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        connections.spawn(forward_connection(stream, target, mode.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards one connection until either side or a reset ends it.
async fn forward_connection(stream: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_reader, client_writer) = stream.into_split();
    let (upstream_reader, upstream_writer) = upstream.into_split();
    tokio::select! {
        () = forward(client_reader, upstream_writer, Direction::ToUpstream, mode.clone()) => {}
        () = forward(upstream_reader, client_writer, Direction::ToClient, mode) => {}
    }
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; CHUNK_SIZE];
    loop {
        let count = tokio::select! {
            count = reader.read(&mut buffer) => count.unwrap_or(0),
            () = wait_for_reset(mode.clone()) => return,
        };
        if count == 0 || !wait_until_open(&mut mode, direction).await {
            return;
        }
        if writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_reset(mut mode: watch::Receiver<Mode>) {
    // Cannot fail: the proxy owns the sender and this task.
    let _ = mode.wait_for(|mode| *mode == Mode::Reset).await;
}

/// Waits until bytes may be forwarded in `direction`. Returns false if the connection has to be
/// closed.
async fn wait_until_open(mode: &mut watch::Receiver<Mode>, direction: Direction) -> bool {
    loop {
        let current = *mode.borrow_and_update();
        match (current, direction) {
            (Mode::Pass, _) | (Mode::Mute, Direction::ToUpstream) => return true,
            (Mode::Delay, _) => {
                tokio::time::sleep(DELAY).await;
                return true;
            }
            (Mode::Reset, _) => return false,
            (Mode::Silent, _) | (Mode::Mute, Direction::ToClient) => {
                if mode.changed().await.is_err() {
                    return false;
                }
            }
        }
    }
}
