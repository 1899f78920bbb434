//! Fake upstream whose behaviour is selected by the request's path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Head of a response to a probe whose body has no end.
const ENDLESS_LOAD: &str = "HTTP/1.1 200 OK\r\nrwr-load: 0/6\r\n\r\n";

/// A request as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Value of the header `name`, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("/")
    }

    /// The id that the request bears.
    pub fn id(&self) -> &str {
        self.header("rwr-request-id").unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    received: Vec<ReceivedRequest>,
    connections: usize,
    // Connections that the gateway closed during a request.
    aborted_connections: usize,
    // Whether the responses to probes have no end.
    endless_load: bool,
    // Bytes sent in responses without an end.
    endless_bytes: usize,
    // Sent in response to requests at `/text`.
    text: &'static str,
}

/// Handle of the running fake.
#[derive(Clone)]
pub struct FakeUpstream {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Releases the requests at `/hold` and `/drop`.
    pub release: Arc<Notify>,
}

impl FakeUpstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let upstream = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
            release: Arc::default(),
        };
        let server = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.state.lock().expect("no panic").connections += 1;
                tokio::spawn(server.clone().serve_connection(stream));
            }
        });
        upstream
    }

    /// Requests received so far, without probes.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.matching(|request| request.path() != "/rwr/load")
    }

    /// Probes received so far.
    pub fn probes(&self) -> Vec<ReceivedRequest> {
        self.matching(|request| request.path() == "/rwr/load")
    }

    fn matching(&self, predicate: impl Fn(&ReceivedRequest) -> bool) -> Vec<ReceivedRequest> {
        let state = self.state.lock().expect("no panic");
        let received = state.received.iter();
        received
            .filter(|request| predicate(request))
            .cloned()
            .collect()
    }

    /// Lets the responses to probes have no end.
    pub fn send_endless_load(&self) {
        self.state.lock().expect("no panic").endless_load = true;
    }

    /// Sets the response to requests at `/text`.
    pub fn set_text(&self, text: &'static str) {
        self.state.lock().expect("no panic").text = text;
    }

    /// Number of bytes sent in responses without an end.
    pub fn endless_bytes(&self) -> usize {
        self.state.lock().expect("no panic").endless_bytes
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.lock().expect("no panic").connections
    }

    /// Number of connections that the gateway closed during a request.
    pub fn aborted_connections(&self) -> usize {
        self.state.lock().expect("no panic").aborted_connections
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            self.state
                .lock()
                .expect("no panic")
                .received
                .push(request.clone());
            if !self.respond(&mut stream, &request).await {
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let path = request.path().to_owned();
        let behaviour = path.trim_start_matches('/').split(['/', '?']).next();
        let endless_load = self.state.lock().expect("no panic").endless_load;
        if path == "/rwr/load" && endless_load {
            return self
                .endless(stream, ENDLESS_LOAD, &"x".repeat(16_384))
                .await;
        }
        let behaviour = behaviour.unwrap_or_default();
        let (text, keep_alive) = match behaviour {
            "rest" => (
                "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nrwr-shed: 1\r\nretry-after: 600\r\n\r\n",
                true,
            ),
            "leave" => (
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nrwr-leaving: 1\r\n\r\nok",
                true,
            ),
            "interim" => {
                let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(256);
                return self.endless(stream, "", &interim).await;
            }
            "short" => ("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf", false),
            "short-chunk" => (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                false,
            ),
            "unframed" => ("HTTP/1.1 200 OK\r\n\r\nno length", false),
            "foreign" => (
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nrwr-request-id: other\r\n\r\nno",
                true,
            ),
            "text" => (self.state.lock().expect("no panic").text, true),
            "garbage" => ("this is no HTTP\r\n\r\n", false),
            "close" => ("", false),
            "shed" | "shed-unnamed" => (
                "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nrwr-shed: 1\r\n\r\n",
                true,
            ),
            "error" => ("HTTP/1.1 500 Bad\r\ncontent-length: 3\r\n\r\nbad", true),
            "missing" => ("HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n", true),
            "hop" => (
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-secret\r\nx-secret: 1\r\n\
                 keep-alive: timeout=5\r\nrwr-outcome: not-run\r\nx-kept: 1\r\n\r\nok",
                true,
            ),
            "chunked" => (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n",
                true,
            ),
            "stall" => {
                self.wait_for_disconnect(stream).await;
                return false;
            }
            "hold" => {
                self.release.notified().await;
                ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nheld", true)
            }
            "drop" => {
                self.release.notified().await;
                ("", false)
            }
            "late" => {
                tokio::time::sleep(Duration::from_millis(300)).await;
                ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", true)
            }
            "echo" => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                    request.body.len()
                );
                let sent = stream.write_all(head.as_bytes()).await;
                return sent.is_ok() && stream.write_all(&request.body).await.is_ok();
            }
            "ranged" => (ranged(request, "4-9"), false),
            "ranged-wrong" => (ranged(request, "5-9"), false),
            "large" => return self.large(stream).await,
            _ => (
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-type: text/plain\r\nrwr-load: 1/6\r\n\r\nok",
                true,
            ),
        };
        let mut text = text.to_owned();
        // A connection is used again only after a response that names its request.
        if matches!(behaviour, "rest" | "shed" | "hold" | "named") {
            let named = format!("\r\nrwr-request-id: {}\r\n\r\n", request.id());
            text = text.replace("\r\n\r\n", &named);
        }
        stream.write_all(text.as_bytes()).await.is_ok() && keep_alive
    }

    /// Sends `start`, and then `part` again and again until the gateway disconnects.
    async fn endless(&self, stream: &mut TcpStream, start: &str, part: &str) -> bool {
        let mut bytes = start.as_bytes();
        while stream.write_all(bytes).await.is_ok() {
            self.state.lock().expect("no panic").endless_bytes += bytes.len();
            bytes = part.as_bytes();
        }
        self.state.lock().expect("no panic").aborted_connections += 1;
        false
    }

    async fn large(&self, stream: &mut TcpStream) -> bool {
        let body = vec![b'x'; 200_000];
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.is_ok() && stream.write_all(&body).await.is_ok()
    }

    /// Never responds; counts the connection as aborted when the gateway closes it.
    async fn wait_for_disconnect(&self, stream: &mut TcpStream) {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        self.state.lock().expect("no panic").aborted_connections += 1;
    }
}

/// Responds with the first four of ten bytes, or with the rest to a range request.
fn ranged(request: &ReceivedRequest, rest: &str) -> &'static str {
    match (request.header("range"), request.header("if-range"), rest) {
        (None, ..) => {
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\naccept-ranges: bytes\r\netag: \"v1\"\r\n\r\n0123"
        }
        (Some("bytes=4-"), Some("\"v1\""), "4-9") => {
            "HTTP/1.1 206 Part\r\ncontent-length: 6\r\ncontent-range: bytes 4-9/10\r\n\r\n456789"
        }
        (Some("bytes=4-"), Some("\"v1\""), _) => {
            "HTTP/1.1 206 Part\r\ncontent-length: 6\r\ncontent-range: bytes 5-9/10\r\n\r\n56789!"
        }
        _ => "HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n",
    }
}

pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut request = ReceivedRequest {
        head,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunks(stream, buffer).await?;
        return Some(request);
    }
    let length = request
        .header("content-length")
        .and_then(|v| v.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

async fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = loop {
            if let Some(at) = buffer.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            read_more(stream, buffer).await?;
        };
        let size = String::from_utf8_lossy(&buffer[..line]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        while buffer.len() < line + 2 + size + 2 {
            read_more(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[line + 2..line + 2 + size]);
        buffer.drain(..line + 2 + size + 2);
        if size == 0 {
            return Some(body);
        }
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let count = stream.read_buf(buffer).await.ok()?;
    (count > 0).then_some(())
}
