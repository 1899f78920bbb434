//! Clients that send a part of a request, or too much of one, and stay connected; callers that come
//! again at once.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time after which a client stops sending to a process that reads nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a client passes to the system at once, unless it sends in pieces.
const WRITE_BYTES: usize = 64 * 1024;
/// Pause after a write of a [`Message`] in pieces, so that the process reads each by itself.
const PIECE_PAUSE: Duration = Duration::from_millis(4);

/// Pause of a caller before it connects again.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Message {
    /// The head, which is sent at once.
    head: Vec<u8>,
    body: Vec<u8>,
    /// Bytes of the body per write; `None` if the process may read it in any number of pieces.
    piece: Option<usize>,
}

impl Message {
    /// Sends just these bytes.
    #[must_use]
    pub fn raw(bytes: &str) -> Self {
        Self {
            head: bytes.into(),
            body: Vec::new(),
            piece: None,
        }
    }

    /// Announces a body of `announced` bytes after the head lines `head`, and sends `sent` of them.
    #[must_use]
    pub fn announced(head: &str, announced: u64, sent: usize) -> Self {
        Self {
            body: vec![b'x'; sent],
            ..Self::raw(&format!("{head}content-length: {announced}\r\n\r\n"))
        }
    }

    /// Sends a body of `sent` bytes in chunks of `chunk` bytes after the head lines `head`, without
    /// the last chunk.
    #[must_use]
    pub fn chunked(head: &str, chunk: usize, sent: usize) -> Self {
        let part = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        Self {
            body: part.repeat(sent / chunk).into(),
            ..Self::raw(&format!("{head}transfer-encoding: chunked\r\n\r\n"))
        }
    }

    /// Sends `piece` bytes of the body a write, so that the process reads them in as many pieces.
    #[must_use]
    pub fn in_pieces(self, piece: usize) -> Self {
        Self {
            piece: Some(piece),
            ..self
        }
    }

    async fn send(&self, stream: &mut TcpStream) {
        let parts = self.body.chunks(self.piece.unwrap_or(WRITE_BYTES));
        for part in std::iter::once(&self.head[..]).chain(parts) {
            let written = timeout(WRITE_TIMEOUT, stream.write_all(part)).await;
            // A process that refuses the message need not read it.
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            if self.piece.is_some() {
                sleep(PIECE_PAUSE).await;
            }
        }
    }
}

/// Clients that have sent their messages, and are connected until this is dropped.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` clients send `message` to `address` at the same time, and waits until each has
    /// sent all of it or was refused.
    pub async fn send(address: SocketAddr, count: usize, message: &Message) -> Self {
        let clients = (0..count).map(|_| async {
            // A process may refuse to take the connection.
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            message.send(&mut stream).await;
            Some(stream)
        });
        Self {
            _streams: join_all(clients).await.into_iter().flatten().collect(),
        }
    }
}

/// What a caller does with its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Reads all that comes.
    All,
    /// Reads nothing.
    Nothing,
}

/// Callers that send a message, and connect and send again when they are disconnected, until this
/// is dropped.
pub struct CallingCrowd {
    _callers: JoinSet<()>,
}

impl CallingCrowd {
    /// Lets `count` callers send `message` to `address`.
    #[must_use]
    pub fn start(address: SocketAddr, count: usize, message: &Message, reading: Reading) -> Self {
        let mut callers = JoinSet::new();
        for _ in 0..count {
            let message = message.clone();
            callers.spawn(async move {
                loop {
                    // A process may refuse to take the connection, or close it at any time.
                    let _ = call(address, &message, reading).await;
                    sleep(REPEAT_PAUSE).await;
                }
            });
        }
        Self { _callers: callers }
    }
}

/// Sends a message, and returns once the connection is closed.
async fn call(address: SocketAddr, message: &Message, reading: Reading) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    message.send(&mut stream).await;
    match reading {
        Reading::All => {
            tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
        }
        // The other side of a connection whose bytes aren't read is seen to close by an error.
        Reading::Nothing => {
            stream.ready(Interest::ERROR).await?;
        }
    }
    Ok(())
}
