//! An instance, or another entry process, whose responses a test decides request by request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use testutils::Host;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::Instance;
use wire::hub::Phase;

/// The header that names a request.
const ID: &str = "rwr-request-id";

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub is_probe: bool,
    /// Whether another entry process asks if instances are reached.
    pub is_question: bool,
    /// Number of the connection, from 0.
    pub connection: usize,
}

/// What becomes of the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    Reset,
    /// Nothing more is sent until the caller disconnects.
    Hang,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Whether the request runs.
    pub runs: bool,
    pub bytes: Vec<u8>,
    /// Sent once the next request has arrived on the connection, before its response.
    pub late: Vec<u8>,
    pub next: Next,
}

impl Reply {
    /// A response after which the connection is kept, without any effect of the request.
    pub fn unrun(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            runs: false,
            bytes: bytes.into(),
            late: Vec::new(),
            next: Next::Keep,
        }
    }

    /// The response of a request that has run.
    pub fn run(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            runs: true,
            ..Self::unrun(bytes)
        }
    }

    /// Adds bytes that come late.
    pub fn and_late(self, late: impl Into<Vec<u8>>) -> Self {
        Self {
            late: late.into(),
            ..self
        }
    }

    pub fn then(self, next: Next) -> Self {
        Self { next, ..self }
    }
}

/// A response with these headers besides those of its frame.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let headers: Vec<String> = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    let headers = headers.concat();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\n{headers}keep-alive: timeout=30\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

pub fn answer(id: &str) -> String {
    response(200, &[(ID, id)], &format!("answer to {id}"))
}

/// Says that the request was refused before any work.
pub fn refusal(id: &str) -> String {
    response(503, &[(ID, id), ("rwr-shed", "1")], "")
}

/// The response to a probe, with this number of requests in flight.
pub fn health(in_flight: usize) -> String {
    response(200, &[("rwr-load", &format!("{in_flight}/6"))], "")
}

type Handler = Box<dyn FnMut(&Received) -> Reply + Send>;

struct Shared {
    handler: Mutex<Handler>,
    runs: watch::Sender<Vec<Received>>,
    received: watch::Sender<Vec<Received>>,
}

pub struct Scripted {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Keeps others from the port.
    host: Option<Host>,
    _task: AbortOnDropHandle<()>,
}

impl Scripted {
    /// Starts an instance.
    pub async fn start(id: &str, handler: impl FnMut(&Received) -> Reply + Send + 'static) -> Self {
        let host = Host::new();
        let mut instance = Self::start_at(host.at(0), handler).await;
        id.clone_into(&mut instance.id);
        instance.host = Some(host);
        instance
    }

    /// Starts it at an address that nobody else uses.
    pub async fn start_at(
        address: SocketAddr,
        handler: impl FnMut(&Received) -> Reply + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            handler: Mutex::new(Box::new(handler)),
            runs: watch::Sender::default(),
            received: watch::Sender::default(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self {
            id: String::new(),
            address,
            shared,
            host: None,
            _task: AbortOnDropHandle::new(task),
        }
    }

    pub fn set_handler(&self, handler: impl FnMut(&Received) -> Reply + Send + 'static) {
        *lock(&self.shared.handler) = Box::new(handler);
    }

    /// How often the request has run.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.shared.runs.borrow();
        runs.iter().filter(|run| run.id == id).count()
    }

    /// The requests that arrived, without probes and questions.
    pub fn received(&self) -> Vec<Received> {
        self.shared.received.borrow().clone()
    }

    /// Waits until `count` requests have arrived, without probes and questions.
    pub async fn wait_for(&self, count: usize) {
        let mut received = self.shared.received.subscribe();
        let reached = received.wait_for(|found| found.len() >= count);
        reached.await.expect("the instance lives");
    }

    /// The instance as a hub reports it.
    pub fn row(&self) -> Instance {
        Instance {
            id: self.id.clone(),
            service: "status".into(),
            address: self.address.to_string(),
            domain: "a".into(),
            slots: 6,
            phase: Phase::Ready.into(),
            sequence: 1,
            heard: true,
            ..Instance::default()
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connection = 0;
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, connection, Arc::clone(&shared)));
        connection += 1;
    }
}

async fn serve(mut stream: TcpStream, connection: usize, shared: Arc<Shared>) {
    let mut unread = Vec::new();
    let mut late = Vec::new();
    while let Some(request) = read(&mut stream, &mut unread, connection).await {
        let reply = (lock(&shared.handler))(&request);
        if reply.runs {
            shared.runs.send_modify(|runs| runs.push(request.clone()));
        }
        let mut bytes = Vec::new();
        if !request.is_probe && !request.is_question {
            shared.received.send_modify(|all| all.push(request.clone()));
            bytes = std::mem::replace(&mut late, reply.late);
        }
        bytes.extend(reply.bytes);
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match reply.next {
            Next::Keep => {}
            Next::Close => return,
            Next::Reset => {
                // Closing it with a linger time of zero resets the connection.
                let _ = stream.set_zero_linger();
                return;
            }
            Next::Hang => {
                let _ = stream.read(&mut [0]).await;
                return;
            }
        }
    }
}

/// Reads a request with a body of a known length.
async fn read(stream: &mut TcpStream, unread: &mut Vec<u8>, connection: usize) -> Option<Received> {
    let mut buffer = [0; 4096];
    loop {
        let end = unread.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&unread[..end]).into_owned();
            let length = header(&head, "content-length");
            let length: usize = length.map_or(0, |text| text.parse().expect("a number"));
            if unread.len() >= end + 4 + length {
                unread.drain(..end + 4 + length);
                return Some(Received {
                    id: header(&head, ID).unwrap_or_default(),
                    is_probe: head.starts_with("GET /health "),
                    is_question: header(&head, "rwr-hop-question").is_some(),
                    connection,
                });
            }
        }
        let count = stream.read(&mut buffer).await.ok().filter(|c| *c > 0)?;
        unread.extend_from_slice(&buffer[..count]);
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (found, value) = line.split_once(':')?;
        let is_same = found.eq_ignore_ascii_case(name);
        is_same.then(|| value.trim().to_owned())
    })
}
