//! Requests at the bounds of what callers may send: the largest ones are served, larger ones aren't,
//! and those that find no memory are refused before they are sent.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use conf::value::Bytes;
use entry::Entry;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Caller;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use testutils::Host;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

const KIBI: usize = 1024;
const MEBI: usize = 1024 * KIBI;
/// The account in these tests: the smallest that the settings allow.
const MEMORY: Bytes = Bytes(MEBI as u64);

fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
         rwr-deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

async fn entry(upstreams: &[&Upstream]) -> Entry {
    let mut settings = fakes::settings();
    settings.bounds.memory = Some(MEMORY);
    fakes::configure(fakes::start_with(settings).await, upstreams)
}

/// Guards against bounds that a single request inside the limits would meet.
#[tokio::test]
async fn test_bounds_largest_body_is_served_in_calm() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    for (id, length) in [("r-1", 300 * KIBI), ("r-2", 64 * MEBI), ("r-3", 200 * KIBI)] {
        let mut caller = Caller::connect(entry.front()).await;
        let framing = format!("content-length: {length}");
        caller.send_raw(head(ONCE, id, &framing).as_bytes()).await;
        caller.send_raw(&vec![b'x'; length]).await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 200, "{length}");
        let received = upstream.received_requests();
        assert_eq!(received.last().expect("received").body.len(), length);
    }
}

/// Guards against requests that are refused for lack of memory and run nevertheless, or that get no
/// time to come back, and against memory that stays charged.
#[tokio::test]
async fn test_bounds_request_without_memory_is_refused_unsent() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = entry(&[&upstream]).await;
    let mut others = entry.core().clients.unconnected().charge();
    others.grow(700 * KIBI as u64).await.expect("room");
    let length = 250 * KIBI;
    let announced = format!("content-length: {length}");
    for (id, framing, body) in [
        ("r-1", announced.as_str(), "x".repeat(length)),
        (
            "r-2",
            "transfer-encoding: chunked",
            format!("{length:x}\r\n{}\r\n", "x".repeat(length)),
        ),
    ] {
        let mut caller = Caller::connect(entry.front()).await;
        let request = head(ONCE, id, framing) + &body;
        caller.send_raw(request.as_bytes()).await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status, 503, "{framing}");
        assert!(answer.header("retry-after").is_some());
        assert!(upstream.received_requests().is_empty());
    }
    drop(others);
    let mut caller = Caller::connect(entry.front()).await;
    let request = head(ONCE, "r-3", &announced) + &"x".repeat(length);
    caller.send_raw(request.as_bytes()).await;
    assert_eq!(caller.answer().await.expect("an answer").status, 200);
}

/// What an instance that never answers has received.
#[derive(Clone, Default)]
struct Sink {
    bytes: usize,
    last: Vec<u8>,
    ended: bool,
}

/// Starts an instance that reads what it is sent until the connection ends.
async fn start_sink(host: &Host) -> (std::net::SocketAddr, Arc<watch::Sender<Sink>>) {
    let listener = TcpListener::bind(host.at(0)).await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let sink = Arc::new(watch::Sender::new(Sink::default()));
    let shared = Arc::clone(&sink);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut buffer = vec![0; 64 * KIBI];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            shared.send_modify(|sink| {
                sink.bytes += count;
                sink.last = buffer[..count].to_vec();
            });
        }
        shared.send_modify(|sink| sink.ended = true);
    });
    (address, sink)
}

/// Guards against a body in chunks that reaches an instance although it exceeds the limit.
#[tokio::test]
async fn test_bounds_chunked_body_over_the_limit_never_looks_complete() {
    let host = Host::new();
    let (address, sink) = start_sink(&host).await;
    let settings = entry::Settings {
        probes: 0,
        ..fakes::settings()
    };
    let entry = fakes::start_with(settings).await;
    let mut limited = table(1);
    limited.limits.body_bytes = MEBI as u64;
    entry.core().set_table(limited);
    let instance = wire::hub::Instance {
        address: address.to_string(),
        ..fakes::instance_of("i-1", "status")
    };
    entry.core().apply_instances(HUB, &[instance], &[]);
    let mut caller = Caller::connect(entry.front()).await;
    let framing = "transfer-encoding: chunked";
    caller.send_raw(head(READ, "r-1", framing).as_bytes()).await;
    let chunk = format!("{:x}\r\n{}\r\n", 100 * KIBI, "x".repeat(100 * KIBI));
    for _ in 0..10 {
        caller.send_raw(chunk.as_bytes()).await;
    }
    // The process may close the connection from here on.
    let rest = chunk.repeat(2) + "0\r\n\r\n";
    let _ = caller.try_send_raw(rest.as_bytes()).await;
    let mut received = sink.subscribe();
    let ended = tokio::time::timeout(Duration::from_secs(30), received.wait_for(|s| s.ended));
    ended.await.expect("the connection ends").expect("a sink");
    let received = sink.borrow().clone();
    assert!(received.bytes <= MEBI + 16 * KIBI, "{}", received.bytes);
    assert!(!received.last.ends_with(b"0\r\n\r\n"));
    let answer = caller.answer().await;
    assert!(answer.is_none_or(|answer| answer.status >= 400));
}

/// Guards against forwarding any of a short body in chunks that exceeds a small limit.
#[tokio::test]
async fn test_bounds_short_body_over_a_small_limit_is_refused_unsent() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = fakes::start_with(fakes::settings()).await;
    let mut limited = table(1);
    limited.limits.body_bytes = 10_000;
    let entry = fakes::configure(entry, &[&upstream]);
    limited.version = 2;
    entry.core().set_table(limited);
    let mut caller = Caller::connect(entry.front()).await;
    let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", 10_001, "x".repeat(10_001));
    let request = head(ONCE, "r-1", "transfer-encoding: chunked") + &body;
    caller.send_raw(request.as_bytes()).await;
    assert_eq!(caller.answer().await.expect("an answer").status, 413);
    assert!(upstream.received_requests().is_empty());
}
