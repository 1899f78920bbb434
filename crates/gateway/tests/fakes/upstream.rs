//! An upstream that does what the request's path says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// One request as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    /// A header's value, lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("/")
    }
}

#[derive(Default)]
struct State {
    seen: Vec<Seen>,
    connections: usize,
    // Connections that the gateway closed while a request ran.
    cut: usize,
}

/// The upstream while it is served.
#[derive(Clone)]
pub struct FakeUpstream {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Lets the requests at `/hold` go on.
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
                tokio::spawn(server.clone().converse(stream));
            }
        });
        upstream
    }

    /// All requests so far, probes not among them.
    pub fn seen(&self) -> Vec<Seen> {
        self.requests(|seen| seen.path() != "/rwr/load")
    }

    /// All probes so far.
    pub fn probes(&self) -> Vec<Seen> {
        self.requests(|seen| seen.path() == "/rwr/load")
    }

    fn requests(&self, which: impl Fn(&Seen) -> bool) -> Vec<Seen> {
        let state = self.state.lock().expect("no panic");
        let seen = state.seen.iter();
        seen.filter(|seen| which(seen)).cloned().collect()
    }

    /// Connections opened so far.
    pub fn connections(&self) -> usize {
        self.state.lock().expect("no panic").connections
    }

    /// Connections closed under a running request.
    pub fn cut(&self) -> usize {
        self.state.lock().expect("no panic").cut
    }

    async fn converse(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(seen) = read_request(&mut stream, &mut buffer).await {
            self.state.lock().expect("no panic").seen.push(seen.clone());
            if !self.answer(&mut stream, &seen).await {
                return;
            }
        }
    }

    /// Answers one request; says whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, seen: &Seen) -> bool {
        let path = seen.path().to_owned();
        let act = path.trim_start_matches('/').split(['/', '?']).next();
        let (text, goes_on) = match act.unwrap_or_default() {
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
            "garbage" => ("this is no HTTP\r\n\r\n", false),
            "close" => ("", false),
            "shed" => (
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
                self.wait_for_cut(stream).await;
                return false;
            }
            "hold" => {
                self.release.notified().await;
                ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nheld", true)
            }
            "late" => {
                tokio::time::sleep(Duration::from_millis(300)).await;
                ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", true)
            }
            "echo" => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                    seen.body.len()
                );
                let sent = stream.write_all(head.as_bytes()).await;
                return sent.is_ok() && stream.write_all(&seen.body).await.is_ok();
            }
            "ranged" => (ranged(seen, "4-9"), false),
            "ranged-wrong" => (ranged(seen, "5-9"), false),
            "large" => return self.large(stream).await,
            _ => (
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-type: text/plain\r\nrwr-load: 1/6\r\n\r\nok",
                true,
            ),
        };
        stream.write_all(text.as_bytes()).await.is_ok() && goes_on
    }

    async fn large(&self, stream: &mut TcpStream) -> bool {
        let body = vec![b'x'; 200_000];
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.is_ok() && stream.write_all(&body).await.is_ok()
    }

    /// Never answers; notes when the gateway closes the connection.
    async fn wait_for_cut(&self, stream: &mut TcpStream) {
        let mut byte = [0; 1];
        let _ = stream.read(&mut byte).await;
        self.state.lock().expect("no panic").cut += 1;
    }
}

/// Ten bytes that break off after four, and the rest of them when asked for.
fn ranged(seen: &Seen, rest: &str) -> &'static str {
    match (seen.header("range"), seen.header("if-range"), rest) {
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

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut seen = Seen {
        head,
        body: Vec::new(),
    };
    if seen.header("transfer-encoding").is_some() {
        seen.body = read_chunks(stream, buffer).await?;
        return Some(seen);
    }
    let length = seen.header("content-length").and_then(|v| v.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    seen.body = buffer.drain(..length).collect();
    Some(seen)
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
