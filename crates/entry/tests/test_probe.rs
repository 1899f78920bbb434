//! Guards against responses that a probe takes for its own.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use base::prelude::*;
use entry::Entry;
use fakes::HUB;
use route::LoadReport;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wire::hub::Instance;
use wire::hub::Phase;

const INSTANCE: &str = "i-1";
/// Headers of a response after which a connection may be kept.
const KEPT: &str = "rwr-load: 1/6\r\nkeep-alive: timeout=30\r\n";

/// An instance that answers everything with the same bytes.
struct Page {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Page {
    /// `closes` tells whether it closes the connection after a response.
    async fn start(reply: String, closes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let page = Self {
            address: listener.local_addr().expect("bound"),
            connections: Arc::default(),
        };
        let connections = page.connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(respond(stream, reply.clone(), closes));
            }
        });
        page
    }
}

async fn respond(mut stream: TcpStream, reply: String, closes: bool) {
    let mut buffer = Vec::new();
    while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
        if buffer.ends_with(b"\r\n\r\n") {
            buffer.clear();
            if stream.write_all(reply.as_bytes()).await.is_err() || closes {
                return;
            }
        }
    }
}

fn response(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} Text\r\n{headers}content-length: 0\r\n\r\n")
}

async fn start_entry(page: &Page) -> Entry {
    let entry = fakes::start_unconfigured().await;
    entry.core().set_table(fakes::table(1));
    let instance = Instance {
        id: INSTANCE.into(),
        service: "status".into(),
        address: page.address.to_string(),
        domain: "a".into(),
        slots: 6,
        phase: Phase::Ready.into(),
        sequence: 1,
        heard: true,
        ..Instance::default()
    };
    entry.core().apply_instances(HUB, &[instance], &[]);
    entry
}

async fn probe(entry: &Entry) -> Option<LoadReport> {
    let (core, service) = (entry.core(), ServiceName::new("status").expect("a name"));
    let upstream = core.live_instances(&service).remove(0);
    let ids = [INSTANCE.to_owned()];
    let picks = core.balancer(&service, |balancer, _| balancer.picks(&ids));
    let pick = picks.and_then(|picks| picks.into_iter().next());
    entry::probe::probe_instance(core, pick.expect("a pick"), &upstream).await
}

/// Probes twice. Returns how many reports were believed, and the number of connections.
async fn probe_twice(status: u16, headers: &str) -> (usize, usize) {
    let page = Page::start(response(status, headers), false).await;
    let entry = start_entry(&page).await;
    let reports = [probe(&entry).await, probe(&entry).await];
    let believed = reports.iter().flatten().count();
    (believed, page.connections.load(Ordering::Relaxed))
}

#[tokio::test]
async fn test_probe_does_not_believe_response_to_a_request() {
    for status in [200, 421, 503] {
        let headers = format!("rwr-request-id: r-1\r\n{KEPT}");
        assert_eq!(probe_twice(status, &headers).await, (0, 2), "{status}");
    }
}

#[tokio::test]
async fn test_probe_does_not_believe_response_of_another_instance() {
    let headers = format!("rwr-instance: i-2\r\n{KEPT}");
    assert_eq!(probe_twice(200, &headers).await, (0, 2));
    let headers = format!("rwr-instance: {INSTANCE}\r\nrwr-instance: i-2\r\n{KEPT}");
    assert_eq!(probe_twice(200, &headers).await, (0, 2));
}

#[tokio::test]
async fn test_probe_keeps_connection_of_its_own_response() {
    assert_eq!(probe_twice(200, KEPT).await, (2, 1));
    let headers = format!("rwr-instance: {INSTANCE}\r\n{KEPT}");
    assert_eq!(probe_twice(200, &headers).await, (2, 1));
}

#[tokio::test]
async fn test_probe_does_not_believe_head_that_breaks_off() {
    let whole = response(200, KEPT);
    for cut in 0..whole.len() {
        let page = Page::start(whole[..cut].to_owned(), true).await;
        let entry = start_entry(&page).await;
        assert_eq!(probe(&entry).await, None, "cut at {cut}");
    }
}
