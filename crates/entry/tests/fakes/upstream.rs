//! An upstream on plain sockets, which can violate HTTP in any way.

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

/// Bytes added to responses that are sent in halves; more than a packet.
pub const LONG: usize = 8_000;

/// Start of an interim response.
const INTERIM: &str = "HTTP/1.1 102 Processing\r\n";
/// The header of an upstream that is shutting down.
const LEAVING: &str = "rwr-leaving: 1\r\n";
/// Number of repetitions that are written at once.
const ENDLESS_BATCH: usize = 256;

/// How the upstream handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answers it.
    Answer,
    /// Answers with a server error.
    Fail,
    /// Refuses it without running it.
    Shed,
    /// Refuses it with this status, and names a time in `Retry-After` for which it wants nothing.
    Rest(u16, &'static str),
    /// Answers it, and says that it is shutting down.
    Leave,
    /// Refuses it, and says that it is shutting down.
    ShedAndLeave,
    /// Refuses it, asks for a short rest, and says that it is shutting down.
    RestAndLeave,
    /// Answers with the id of another request, and says that it is shutting down.
    WrongIdAndLeave,
    /// Says in an interim response that it is shutting down, and answers.
    InterimLeave,
    /// Sends interim responses until the caller disconnects.
    EndlessInterim,
    /// Sends a few interim responses, and answers.
    FewInterim,
    /// Sends a header that doesn't end until the caller disconnects.
    EndlessHead,
    /// Sends a body that doesn't end until the caller disconnects.
    EndlessBody,
    /// Refuses it without running it, and never sends the body of the refusal.
    ShedWithoutEnd,
    /// Answers that another instance has the address.
    AddressTaken,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Answers with the id of another request.
    WrongId,
    /// Refuses it in a response that names this request.
    RefusalOf(&'static str),
    /// Answers it without naming a request.
    Unnamed,
    /// Answers twice.
    Twice,
    /// Never answers.
    Hang,
    /// Holds requests up to its capacity until a signal. Never answers others, nor anything later
    /// on their connections.
    Queue,
    /// Holds requests up to its capacity until a signal, and then refuses them without running them.
    QueueThenShed,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Sends this text, in which `{own}` stands for the headers of an answer.
    Text(&'static str),
    /// Refuses the request after its head, and reads its body.
    ShedEarly,
    /// Crashes: all connections close, and the listener too.
    Crash,
    /// Crashes: all connections close, and the listener once it has accepted another one.
    CrashLate,
    /// Sends half of the response body, and the rest on a signal.
    Halves,
    /// Sends half of the response body, and closes the connection on a signal.
    HalfThenClose,
}

/// A received request.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found
                .eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
    }

    /// The method and path.
    pub fn line(&self) -> String {
        let first = self.head.lines().next().unwrap_or_default();
        first.trim_end_matches(" HTTP/1.1").to_owned()
    }
}

struct Shared {
    id: String,
    behavior: Mutex<Behavior>,
    /// How it handles probes.
    health: Mutex<Behavior>,
    /// Number of received probes.
    probes: watch::Sender<usize>,
    /// Number of bytes sent in responses without an end.
    endless_bytes: watch::Sender<usize>,
    received_requests: watch::Sender<Vec<ReceivedRequest>>,
    /// Number of requests whose caller disconnected before the response.
    disconnects: watch::Sender<usize>,
    /// Number of received request heads.
    heads: watch::Sender<usize>,
    /// Number of received body bytes.
    body_bytes: watch::Sender<usize>,
    /// Number of accepted connections.
    connections: watch::Sender<usize>,
    /// Whether the rest of halved responses may be sent.
    rest_allowed: watch::Sender<bool>,
    /// Number of requests that other processes have sent.
    others: watch::Sender<usize>,
    /// Number of requests that it holds at most.
    capacity: watch::Sender<usize>,
    /// Number of requests that it holds.
    held: watch::Sender<usize>,
    /// Number of held requests whose caller disconnected.
    aborted: watch::Sender<usize>,
    /// Whether a request has crashed the upstream.
    crashed: watch::Sender<bool>,
    /// Whether the listener is closed.
    is_closed: watch::Sender<bool>,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Keeps others from the port of an upstream that has crashed.
    _host: Host,
    _task: AbortOnDropHandle<()>,
}

impl Upstream {
    pub async fn start(id: &str, behavior: Behavior) -> Self {
        let host = Host::new();
        let listener = TcpListener::bind(host.at(0)).await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            behavior: Mutex::new(behavior),
            health: Mutex::new(Behavior::Answer),
            probes: watch::Sender::default(),
            endless_bytes: watch::Sender::default(),
            received_requests: watch::Sender::default(),
            disconnects: watch::Sender::default(),
            heads: watch::Sender::default(),
            body_bytes: watch::Sender::default(),
            connections: watch::Sender::default(),
            rest_allowed: watch::Sender::default(),
            others: watch::Sender::default(),
            capacity: watch::Sender::default(),
            held: watch::Sender::default(),
            aborted: watch::Sender::default(),
            crashed: watch::Sender::default(),
            is_closed: watch::Sender::default(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self {
            id: id.to_owned(),
            address,
            shared,
            _host: host,
            _task: AbortOnDropHandle::new(task),
        }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.shared.behavior) = behavior;
    }

    /// Sets how it handles probes.
    pub fn set_health(&self, behavior: Behavior) {
        *lock(&self.shared.health) = behavior;
    }

    /// Number of received probes.
    pub fn probes(&self) -> usize {
        *self.shared.probes.borrow()
    }

    /// Waits until `count` probes have been received.
    pub async fn wait_for_probes(&self, count: usize) {
        let mut probes = self.shared.probes.subscribe();
        let reached = probes.wait_for(|found| *found >= count);
        reached.await.expect("the upstream lives");
    }

    /// Number of bytes sent in responses without an end.
    pub fn endless_bytes(&self) -> usize {
        *self.shared.endless_bytes.borrow()
    }

    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.received_requests.borrow().clone()
    }

    /// Waits until `count` requests have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut received_requests = self.shared.received_requests.subscribe();
        let reached = received_requests.wait_for(|found| found.len() >= count);
        reached.await.expect("the upstream lives");
    }

    /// Waits until `bytes` body bytes have been received.
    pub async fn wait_for_body_bytes(&self, bytes: usize) {
        let mut received = self.shared.body_bytes.subscribe();
        let reached = received.wait_for(|found| *found >= bytes);
        reached.await.expect("the upstream lives");
    }

    /// The number of received request heads.
    pub fn heads(&self) -> usize {
        *self.shared.heads.borrow()
    }

    /// Waits until `count` request heads have been received.
    pub async fn wait_for_heads(&self, count: usize) {
        let mut heads = self.shared.heads.subscribe();
        let reached = heads.wait_for(|found| *found >= count);
        reached.await.expect("the upstream lives");
    }

    /// The number of accepted connections.
    pub fn connections(&self) -> usize {
        *self.shared.connections.borrow()
    }

    /// Sets how many requests it holds at most, and how many of other processes it reports.
    pub fn set_capacity(&self, capacity: usize, others: usize) {
        self.shared.capacity.send_replace(capacity);
        self.shared.others.send_replace(others);
    }

    /// Number of held requests whose caller disconnected.
    pub fn aborted(&self) -> usize {
        *self.shared.aborted.borrow()
    }

    /// Lets the rest of halved responses, and the responses to held requests, be sent.
    pub fn send_rest(&self) {
        self.shared.rest_allowed.send_replace(true);
    }

    /// Holds such responses again.
    pub fn hold_rest(&self) {
        self.shared.rest_allowed.send_replace(false);
    }

    /// Waits until `count` callers have disconnected before the response.
    pub async fn wait_for_disconnects(&self, count: usize) {
        let mut disconnects = self.shared.disconnects.subscribe();
        let reached = disconnects.wait_for(|found| *found >= count);
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
            let mut is_closed = shared.is_closed.subscribe();
            tokio::select! {
                () = serve(stream, Arc::clone(&shared)) => {}
                _ = is_closed.wait_for(|is_closed| *is_closed) => {}
            }
        });
    }
    let late = *lock(&shared.behavior) == Behavior::CrashLate;
    let connection = if late {
        shared.is_closed.send_replace(true);
        listener.accept().await.ok()
    } else {
        None
    };
    drop(listener);
    drop(connection);
    shared.is_closed.send_replace(true);
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut rest = Vec::new();
    while let Some(request) = read(&mut stream, &mut rest, &shared).await {
        let health = request.line() == "GET /health";
        let behavior = if health {
            shared.probes.send_modify(|count| *count += 1);
            *lock(&shared.health)
        } else {
            shared
                .received_requests
                .send_modify(|all| all.push(request.clone()));
            *lock(&shared.behavior)
        };
        if !respond(&mut stream, &shared, &request, behavior).await {
            return;
        }
    }
}

/// Reads a request with its body; `None` if the connection ended.
async fn read(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    shared: &Shared,
) -> Option<ReceivedRequest> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let request = ReceivedRequest {
                head,
                body: Vec::new(),
            };
            let length = request.header("content-length");
            let length: usize = length.map_or(0, |text| text.parse().expect("a number"));
            if request.line() != "GET /health" {
                shared.heads.send_modify(|heads| *heads += 1);
            }
            if length > 0 && *lock(&shared.behavior) == Behavior::ShedEarly {
                let id = request.header("rwr-request-id").unwrap_or_default();
                let text = refusal(&format!("rwr-request-id: {id}\r\n"));
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            let mut received = rest.len() - end - 4;
            shared.body_bytes.send_modify(|bytes| *bytes += received);
            while rest.len() < end + 4 + length {
                let count = stream.read(&mut buffer).await.ok().filter(|c| *c > 0)?;
                rest.extend_from_slice(&buffer[..count]);
                received += count;
                shared.body_bytes.send_modify(|bytes| *bytes += count);
            }
            debug_assert!(received >= length, "all of the body");
            let body = rest[end + 4..end + 4 + length].to_vec();
            rest.drain(..end + 4 + length);
            return Some(ReceivedRequest { body, ..request });
        }
        let count = stream.read(&mut buffer).await.ok().filter(|c| *c > 0)?;
        rest.extend_from_slice(&buffer[..count]);
    }
}

/// A successful response with the headers `own`.
fn answer(own: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{own}keep-alive: timeout=30\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Responds to a request. Returns whether the connection stays open.
async fn respond(
    stream: &mut TcpStream,
    shared: &Shared,
    request: &ReceivedRequest,
    behavior: Behavior,
) -> bool {
    let id = request.header("rwr-request-id").unwrap_or_default();
    let own = format!(
        "rwr-request-id: {id}\r\nrwr-instance: {}\r\nrwr-load: {}/6\r\nsignature: s-{id}\r\n",
        shared.id,
        *shared.held.borrow() + *shared.others.borrow(),
    );
    let long = matches!(behavior, Behavior::Halves | Behavior::HalfThenClose);
    let rest = ".".repeat(if long { LONG } else { 0 });
    let body = format!("answer to {id} by {}{rest}", shared.id);
    let (length, answer) = (body.len(), answer(&own, &body));
    let text = match behavior {
        Behavior::Answer => answer,
        Behavior::Queue if hold(stream, shared).await => answer,
        Behavior::QueueThenShed if hold(stream, shared).await => refusal(&own),
        Behavior::Fail => answer.replace("200 OK", "500 Internal Server Error"),
        Behavior::Shed => refusal(&own),
        Behavior::AddressTaken => format!(
            "HTTP/1.1 421 Misdirected Request\r\nrwr-request-id: {id}\r\nrwr-instance: i-x\r\n\
             rwr-shed: 1\r\ncontent-length: 0\r\n\r\n"
        ),
        Behavior::Close => return false,
        Behavior::Crash | Behavior::CrashLate => {
            shared.crashed.send_replace(true);
            return std::future::pending().await;
        }
        Behavior::Truncate => answer[..answer.len() - 4].to_owned(),
        Behavior::WrongId => answer.replace(&id, "another"),
        Behavior::RefusalOf(named) => refusal(&format!(
            "rwr-request-id: {named}\r\nkeep-alive: timeout=30\r\n"
        )),
        Behavior::Unnamed => answer.replacen(&format!("rwr-request-id: {id}\r\n"), "", 1),
        Behavior::Twice => format!("{answer}{answer}"),
        Behavior::Hang | Behavior::Queue | Behavior::QueueThenShed => {
            let mut byte = [0];
            // Completes when the peer disconnects.
            let _ = stream.read(&mut byte).await;
            shared.disconnects.send_modify(|count| *count += 1);
            return false;
        }
        Behavior::ShedEarly => return true,
        Behavior::Halves | Behavior::HalfThenClose => {
            let half = answer.len() - length / 2;
            if stream.write_all(&answer.as_bytes()[..half]).await.is_err() {
                return false;
            }
            let mut rest = shared.rest_allowed.subscribe();
            let _ = rest.wait_for(|rest| *rest).await;
            if behavior == Behavior::HalfThenClose {
                return false;
            }
            return stream.write_all(&answer.as_bytes()[half..]).await.is_ok();
        }
        Behavior::Rest(status, seconds) => format!(
            "HTTP/1.1 {status} Busy\r\n{own}rwr-shed: 1\r\nretry-after: {seconds}\r\n\
             content-length: 0\r\n\r\n"
        ),
        Behavior::Leave => answer.replacen(&own, &format!("{own}{LEAVING}"), 1),
        Behavior::ShedAndLeave => refusal(&format!("{own}{LEAVING}")),
        Behavior::RestAndLeave => format!(
            "HTTP/1.1 503 Service Unavailable\r\n{own}{LEAVING}rwr-shed: 1\r\n\
             retry-after: 0.01\r\ncontent-length: 0\r\n\r\n"
        ),
        Behavior::WrongIdAndLeave => answer
            .replacen(&own, &format!("{own}{LEAVING}"), 1)
            .replace(&id, "another"),
        Behavior::InterimLeave => format!("{INTERIM}{LEAVING}\r\n{answer}"),
        Behavior::FewInterim => format!("{INTERIM}\r\n{INTERIM}\r\n{INTERIM}\r\n{answer}"),
        Behavior::EndlessInterim => {
            return send_endlessly(stream, shared, "", &format!("{INTERIM}\r\n")).await;
        }
        Behavior::ShedWithoutEnd => {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nrwr-request-id: {id}\r\nrwr-shed: 1\r\n\
                 content-length: 5\r\n\r\n"
            );
            if stream.write_all(text.as_bytes()).await.is_ok() {
                // Completes when the peer disconnects.
                let _ = stream.read(&mut [0]).await;
            }
            shared.disconnects.send_modify(|count| *count += 1);
            return false;
        }
        Behavior::EndlessHead => {
            let start = format!("HTTP/1.1 200 OK\r\n{own}x-long: ");
            return send_endlessly(stream, shared, &start, "0123456789").await;
        }
        Behavior::EndlessBody => {
            let start = format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n");
            return send_endlessly(stream, shared, &start, "a\r\n0123456789\r\n").await;
        }
        Behavior::Text(text) => text.replace("{own}", &own),
        Behavior::Unframed => format!("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n{body}"),
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    !matches!(behavior, Behavior::Truncate | Behavior::Unframed)
}

/// A refusal with these headers.
fn refusal(headers: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\n{headers}rwr-shed: 1\r\ncontent-length: 0\r\n\r\n")
}

/// Holds a request until it may be answered. Returns false if there was no room for it, or its
/// caller has disconnected.
async fn hold(stream: &mut TcpStream, shared: &Shared) -> bool {
    let capacity = *shared.capacity.borrow();
    let has_room = shared.held.send_if_modified(|held| {
        let has_room = *held < capacity;
        *held += usize::from(has_room);
        has_room
    });
    if !has_room {
        return false;
    }
    let mut rest = shared.rest_allowed.subscribe();
    let mut byte = [0];
    let answered = tokio::select! {
        _ = rest.wait_for(|rest| *rest) => true,
        _ = stream.read(&mut byte) => false,
    };
    shared.held.send_modify(|held| *held -= 1);
    shared
        .aborted
        .send_modify(|count| *count += usize::from(!answered));
    answered
}

/// Sends `start`, and then `part` again and again until the caller disconnects.
async fn send_endlessly(stream: &mut TcpStream, shared: &Shared, start: &str, part: &str) -> bool {
    let batch = part.repeat(ENDLESS_BATCH);
    let mut bytes = start.as_bytes();
    while stream.write_all(bytes).await.is_ok() {
        shared
            .endless_bytes
            .send_modify(|sent| *sent += bytes.len());
        bytes = batch.as_bytes();
    }
    shared.disconnects.send_modify(|count| *count += 1);
    false
}
