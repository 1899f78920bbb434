//! A caller on a plain socket.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::HOST;

/// Time after which a caller gives up a request without a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A received response.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found
                .eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    }
}

pub struct Caller {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("connects");
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    /// Connects from a given source address.
    pub async fn connect_from(from: [u8; 4], address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from((from, 0))).expect("binds");
        Self {
            stream: socket.connect(address).await.expect("connects"),
            rest: Vec::new(),
        }
    }

    /// Sends raw bytes.
    pub async fn send_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("writes");
    }

    /// Sends raw bytes to a process that may have closed the connection.
    pub async fn try_send_raw(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a request without waiting for the response.
    pub async fn send(&mut self, method: &str, path: &str, id: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
             rwr-deadline-ms: 20000\r\nx-own: kept\r\nconnection: x-hop\r\nx-hop: 1\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        self.send_raw(text.as_bytes()).await;
    }

    /// Waits for the head of the next response, without consuming it.
    pub async fn head(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.more().await?;
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok())?;
        Some(Answer {
            status,
            head,
            body: String::new(),
        })
    }

    /// Reads the next response; `None` if the connection ends before it is complete.
    pub async fn answer(&mut self) -> Option<Answer> {
        let mut answer = self.head().await?;
        let end = answer.head.len();
        let length = answer.header("content-length");
        let length: usize = length.map_or(0, |text| text.parse().expect("a number"));
        while self.rest.len() < end + 4 + length {
            self.more().await?;
        }
        let body = &self.rest[end + 4..end + 4 + length];
        answer.body = String::from_utf8_lossy(body).into_owned();
        self.rest.drain(..end + 4 + length);
        Some(answer)
    }

    pub async fn call(&mut self, method: &str, path: &str, id: &str, body: &str) -> Answer {
        self.send(method, path, id, body).await;
        self.answer().await.expect("an answer")
    }

    /// Waits until the peer has closed the connection.
    pub async fn wait_until_closed(&mut self) {
        while self.more().await.is_some() {}
    }

    async fn more(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Some(())
    }
}

/// Sends one request on a new connection.
pub async fn call(address: SocketAddr, method: &str, path: &str, id: &str) -> Answer {
    Caller::connect(address)
        .await
        .call(method, path, id, "")
        .await
}

/// Sends one request on a new connection; `None` if no response arrives within
/// [`RESPONSE_TIMEOUT`].
pub async fn call_in_time(address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    let mut caller = Caller::connect(address).await;
    let calling = async {
        caller.send("POST", path, id, "the body").await;
        caller.answer().await
    };
    let answer = tokio::time::timeout(RESPONSE_TIMEOUT, calling).await;
    answer.ok().flatten()
}
