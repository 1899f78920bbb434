//! A caller on a kept connection, which notices bytes that are no response to its request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use standin::message::Direction;
use standin::message::Head;
use standin::message::MessageReader;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// Time beyond a request's deadline after which the caller closes the connection.
const GRACE: Duration = Duration::from_secs(2);

/// A `POST` request with an id.
#[derive(Clone, Debug)]
pub struct IdentifiedRequest {
    /// Id of the request.
    pub id: String,
    /// Host name.
    pub host: &'static str,
    /// Path and query.
    pub path: String,
    /// Body of the request.
    pub body: String,
    /// Time that the caller allows.
    pub deadline: Duration,
}

/// What a caller got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A complete response.
    Response(Head, Vec<u8>),
    /// The connection ended, or was closed by the caller, before the response was complete.
    Broken,
}

impl Received {
    /// Status of the response; zero if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(head, _) => head.status(),
            Self::Broken => 0,
        }
    }
}

struct Connection {
    messages: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// A caller with at most one connection, which it uses for one request after the other.
pub struct KeptCaller {
    address: SocketAddr,
    connection: Option<Connection>,
    unsolicited: usize,
}

impl KeptCaller {
    /// A caller of the process at `address`, not connected yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            unsolicited: 0,
        }
    }

    /// Number of connections on which bytes followed a complete response.
    #[must_use]
    pub fn unsolicited(&self) -> usize {
        self.unsolicited
    }

    /// Sends `request` and reads the response. A kept connection that the process has closed
    /// is replaced once, before any byte of the request is sent.
    pub async fn call(&mut self, request: &IdentifiedRequest) -> Received {
        let timeout = request.deadline + GRACE;
        let exchange = tokio::time::timeout(timeout, self.exchange(request));
        if let Ok(Ok((head, body))) = exchange.await {
            return Received::Response(head, body);
        }
        self.connection = None;
        Received::Broken
    }

    async fn exchange(&mut self, request: &IdentifiedRequest) -> io::Result<(Head, Vec<u8>)> {
        self.drop_ended();
        let connection = match &mut self.connection {
            Some(connection) => connection,
            none => none.insert(Connection::open(self.address).await?),
        };
        let IdentifiedRequest {
            id,
            host,
            path,
            body,
            deadline,
        } = request;
        let (length, millis) = (body.len(), deadline.as_millis());
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: {host}\r\n{}: {id}\r\n{}: {millis}\r\n\
             content-length: {length}\r\n\r\n{body}",
            header::REQUEST_ID,
            header::DEADLINE,
        );
        connection.writer.write_all(text.as_bytes()).await?;
        let messages = &mut connection.messages;
        let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let head = messages.head().await?.ok_or_else(end)?;
        let body = messages.body(&head, Direction::Response).await?;
        let has_rest = messages.has_rest();
        if head.closes() || has_rest {
            self.connection = None;
        }
        self.unsolicited += usize::from(has_rest);
        Ok((head, body))
    }

    /// Drops a connection that has ended, or that has received bytes since the last response.
    fn drop_ended(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        let waiting = connection.writer.as_ref().try_read(&mut [0]);
        match waiting {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
            Ok(count) => self.unsolicited += count,
            Err(_) => {}
        }
        self.connection = None;
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            messages: MessageReader::new(reader),
            writer,
        })
    }
}
