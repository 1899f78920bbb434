//! An upstream over bare sockets, so that it can break every rule of HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// Bytes added to answers that are halved: several packets.
pub const LONG: usize = 8_000;

/// What it does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Answers it.
    Answer,
    /// Answers with a failure of its own.
    Fail,
    /// Refuses it unrun.
    Shed,
    /// Says that another instance has the address.
    Elsewhere,
    /// Closes the connection without an answer.
    Close,
    /// Breaks off in the middle of the body.
    Truncate,
    /// Answers with the name of another request.
    Stranger,
    /// Answers, and once more.
    Twice,
    /// Never answers.
    Hang,
    /// Answers without a length, and closes.
    Unframed,
    /// Refuses a request unrun at its head, and reads on.
    ShedEarly,
    /// Ends: all connections close, and nothing listens any more.
    Crash,
    /// Answers with half of the body, and the rest once it is told to.
    Halves,
    /// Answers with half of the body, and closes once it is told to send the rest.
    HalfThenClose,
}

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub head: String,
    pub body: Vec<u8>,
}

impl Arrival {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found
                .eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    }

    /// Method and path.
    pub fn line(&self) -> String {
        let first = self.head.lines().next().unwrap_or_default();
        first.trim_end_matches(" HTTP/1.1").to_owned()
    }
}

struct Shared {
    id: String,
    manner: Mutex<Manner>,
    arrivals: watch::Sender<Vec<Arrival>>,
    /// Requests whose connection closed while they were worked on.
    left: watch::Sender<usize>,
    /// Heads of requests that have come.
    heads: watch::Sender<usize>,
    /// Bytes of bodies that have come.
    received: watch::Sender<usize>,
    /// Connections that were taken.
    connections: watch::Sender<usize>,
    /// Whether the rest of halved answers may be sent.
    rest: watch::Sender<bool>,
    /// Whether a request has crashed it.
    crashed: watch::Sender<bool>,
    /// Whether nothing listens any more.
    gone: watch::Sender<bool>,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _task: AbortOnDropHandle<()>,
}

impl Upstream {
    pub async fn start(id: &str, manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            manner: Mutex::new(manner),
            arrivals: watch::Sender::default(),
            left: watch::Sender::default(),
            heads: watch::Sender::default(),
            received: watch::Sender::default(),
            connections: watch::Sender::default(),
            rest: watch::Sender::default(),
            crashed: watch::Sender::default(),
            gone: watch::Sender::default(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self {
            id: id.to_owned(),
            address,
            shared,
            _task: AbortOnDropHandle::new(task),
        }
    }

    pub fn set(&self, manner: Manner) {
        *lock(&self.shared.manner) = manner;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.borrow().clone()
    }

    /// Waits until so many requests have come.
    pub async fn reached(&self, count: usize) {
        let mut arrivals = self.shared.arrivals.subscribe();
        let reached = arrivals.wait_for(|found| found.len() >= count);
        reached.await.expect("the upstream lives");
    }

    /// Waits until so many bytes of bodies have come.
    pub async fn received(&self, bytes: usize) {
        let mut received = self.shared.received.subscribe();
        let reached = received.wait_for(|found| *found >= bytes);
        reached.await.expect("the upstream lives");
    }

    /// How many heads of requests have come.
    pub fn heads(&self) -> usize {
        *self.shared.heads.borrow()
    }

    /// Waits until so many heads of requests have come.
    pub async fn headed(&self, count: usize) {
        let mut heads = self.shared.heads.subscribe();
        let reached = heads.wait_for(|found| *found >= count);
        reached.await.expect("the upstream lives");
    }

    /// How many connections were taken.
    pub fn connections(&self) -> usize {
        *self.shared.connections.borrow()
    }

    /// Sends the rest of halved answers.
    pub fn send_rest(&self) {
        self.shared.rest.send_replace(true);
    }

    /// Waits until so many callers have left during the work.
    pub async fn left(&self, count: usize) {
        let mut left = self.shared.left.subscribe();
        let reached = left.wait_for(|found| *found >= count);
        reached.await.expect("the upstream lives");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut crashed = shared.crashed.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = crashed.wait_for(|crashed| *crashed) => break,
        };
        let (stream, _) = accepted.expect("accepts");
        shared.connections.send_modify(|count| *count += 1);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let mut gone = shared.gone.subscribe();
            tokio::select! {
                () = serve(stream, Arc::clone(&shared)) => {}
                _ = gone.wait_for(|gone| *gone) => {}
            }
        });
    }
    drop(listener);
    shared.gone.send_replace(true);
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut rest = Vec::new();
    while let Some(arrival) = read(&mut stream, &mut rest, &shared).await {
        let health = arrival.line() == "GET /health";
        let manner = if health {
            Manner::Answer
        } else {
            shared.arrivals.send_modify(|all| all.push(arrival.clone()));
            *lock(&shared.manner)
        };
        if !respond(&mut stream, &shared, &arrival, manner).await {
            return;
        }
    }
}

/// Reads one request with its body; none when the connection ended.
async fn read(stream: &mut TcpStream, rest: &mut Vec<u8>, shared: &Shared) -> Option<Arrival> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let arrival = Arrival {
                head,
                body: Vec::new(),
            };
            let length = arrival.header("content-length");
            let length: usize = length.map_or(0, |text| text.parse().expect("a number"));
            if arrival.line() != "GET /health" {
                shared.heads.send_modify(|heads| *heads += 1);
            }
            if length > 0 && *lock(&shared.manner) == Manner::ShedEarly {
                let text = "HTTP/1.1 503 Service Unavailable\r\nrwr-shed: 1\r\n\
                            content-length: 0\r\n\r\n";
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            let mut told = rest.len() - end - 4;
            shared.received.send_modify(|bytes| *bytes += told);
            while rest.len() < end + 4 + length {
                let count = stream.read(&mut buffer).await.ok().filter(|c| *c > 0)?;
                rest.extend_from_slice(&buffer[..count]);
                told += count;
                shared.received.send_modify(|bytes| *bytes += count);
            }
            debug_assert!(told >= length, "all of the body");
            let body = rest[end + 4..end + 4 + length].to_vec();
            rest.drain(..end + 4 + length);
            return Some(Arrival { body, ..arrival });
        }
        let count = stream.read(&mut buffer).await.ok().filter(|c| *c > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    }
}

/// Does as told; false when the connection is over.
async fn respond(
    stream: &mut TcpStream,
    shared: &Shared,
    arrival: &Arrival,
    manner: Manner,
) -> bool {
    let id = arrival.header("rwr-request-id").unwrap_or_default();
    let own = format!(
        "rwr-request-id: {id}\r\nrwr-instance: {}\r\nrwr-load: 0/6\r\nsignature: s-{id}\r\n",
        shared.id
    );
    let mut body = format!("answer to {id} by {}", shared.id);
    if matches!(manner, Manner::Halves | Manner::HalfThenClose) {
        body.push_str(&".".repeat(LONG));
    }
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{own}keep-alive: timeout=30\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let text = match manner {
        Manner::Answer => answer,
        Manner::Fail => answer.replace("200 OK", "500 Internal Server Error"),
        Manner::Shed => format!(
            "HTTP/1.1 503 Service Unavailable\r\n{own}rwr-shed: 1\r\ncontent-length: 0\r\n\r\n"
        ),
        Manner::Elsewhere => {
            "HTTP/1.1 421 Misdirected Request\r\nrwr-instance: i-x\r\nrwr-shed: 1\r\ncontent-length: 0\r\n\r\n"
                .to_owned()
        }
        Manner::Close => return false,
        Manner::Crash => {
            shared.crashed.send_replace(true);
            return std::future::pending().await;
        }
        Manner::Truncate => answer[..answer.len() - 4].to_owned(),
        Manner::Stranger => answer.replace(&id, "another"),
        Manner::Twice => format!("{answer}{answer}"),
        Manner::Hang => {
            let mut byte = [0];
            // Nothing more comes; the read ends when the other side leaves.
            let _ = stream.read(&mut byte).await;
            shared.left.send_modify(|left| *left += 1);
            return false;
        }
        Manner::ShedEarly => return true,
        Manner::Halves | Manner::HalfThenClose => {
            let half = answer.len() - length / 2;
            if stream.write_all(&answer.as_bytes()[..half]).await.is_err() {
                return false;
            }
            let mut rest = shared.rest.subscribe();
            let _ = rest.wait_for(|rest| *rest).await;
            if manner == Manner::HalfThenClose {
                return false;
            }
            return stream.write_all(&answer.as_bytes()[half..]).await.is_ok();
        }
        Manner::Unframed => format!("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n{body}"),
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    !matches!(manner, Manner::Truncate | Manner::Unframed)
}
