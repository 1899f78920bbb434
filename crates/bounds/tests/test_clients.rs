//! Who is let in, and who has to give way, when memory or connections run out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bounds::Buffer;
use bounds::Charge;
use bounds::ClientStream;
use bounds::Clients;
use bounds::Limits;
use quickcheck::quickcheck;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::time::sleep;

const KIBI: u64 = 1024;
const MEBI: u64 = 1024 * KIBI;
/// Longer than the time after which a client counts as stalled.
const STALLED: Duration = Duration::from_millis(1_200);

fn clients(memory: u64, connections: usize) -> Clients {
    let limits = Limits {
        memory,
        connections,
    };
    let metrics = Arc::new(telemetry::metrics::silent());
    Clients::new(limits, telemetry::log::silent(), metrics)
}

/// A connection whose client's side is held by the test; dropped once it is closed.
struct Peer {
    stream: Arc<Mutex<Option<ClientStream<DuplexStream>>>>,
    far: DuplexStream,
}

fn connect(clients: &Clients, port: u16) -> Option<Peer> {
    let stream = Arc::new(Mutex::new(None));
    let closing = Arc::clone(&stream);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let close = move || {
        // Closed by its own task, as in a process.
        let closing = Arc::clone(&closing);
        tokio::spawn(async move { drop(closing.lock().unwrap().take()) });
    };
    let (near, far) = tokio::io::duplex(64 * 1024);
    let admitted = clients.admit(address, close)?.with(near);
    *stream.lock().unwrap() = Some(admitted);
    Some(Peer { stream, far })
}

impl Drop for Peer {
    fn drop(&mut self) {
        drop(self.stream.lock().unwrap().take());
    }
}

impl Peer {
    fn client(&self) -> bounds::Client {
        let stream = self.stream.lock().unwrap();
        stream.as_ref().expect("an open stream").client().clone()
    }

    fn is_open(&self) -> bool {
        self.stream.lock().unwrap().is_some()
    }

    /// Lets the client send `bytes` bytes, and the process read them.
    async fn send(&mut self, bytes: usize) {
        self.far.write_all(&vec![b'x'; bytes]).await.unwrap();
        let mut stream = self.stream.lock().unwrap().take().expect("an open stream");
        let mut buffer = vec![0; bytes];
        stream.read_exact(&mut buffer).await.unwrap();
        *self.stream.lock().unwrap() = Some(stream);
    }
}

async fn charged(peer: &Peer, bytes: u64) -> Charge {
    let mut charge = peer.client().charge();
    charge.grow(bytes).await.expect("room");
    charge
}

/// Guards against an account that leaks, so that a process refuses everything after some time.
#[tokio::test(start_paused = true)]
async fn test_clients_account_is_empty_after_all_have_gone() {
    let clients = clients(MEBI, 16);
    let peer = connect(&clients, 1).unwrap();
    let request = peer.client().begin().await.unwrap();
    let charge = charged(&peer, 100 * KIBI).await;
    assert!(clients.used() > 100 * KIBI);
    drop((request, charge, peer));
    assert_eq!((clients.used(), clients.open()), (0, 0));
}

/// Guards against bodies that stop short of their end and keep the memory from other callers.
#[tokio::test(start_paused = true)]
async fn test_clients_stalled_body_gives_way_to_a_newcomer() {
    let clients = clients(MEBI, 16);
    let stalled = connect(&clients, 1).unwrap();
    let request = stalled.client().begin().await.unwrap();
    let receiving = request.receiving();
    let body = charged(&stalled, 800 * KIBI).await;
    sleep(STALLED).await;
    let newcomer = connect(&clients, 2).unwrap();
    let holder = async move {
        // What its task holds is dropped as the connection closes.
        while stalled.is_open() {
            sleep(Duration::from_millis(1)).await;
        }
        drop((request, receiving, body));
    };
    let (_charge, ()) = tokio::join!(charged(&newcomer, 400 * KIBI), holder);
    assert!(newcomer.is_open());
}

/// Guards against giving up requests that wait for their instance, or that still arrive.
#[tokio::test(start_paused = true)]
async fn test_clients_served_and_arriving_requests_are_kept() {
    let clients = clients(MEBI, 16);
    let served = connect(&clients, 1).unwrap();
    let _request = served.client().begin().await.unwrap();
    let _body = charged(&served, 350 * KIBI).await;
    let mut arriving = connect(&clients, 2).unwrap();
    let request = arriving.client().begin().await.unwrap();
    let _receiving = request.receiving();
    let _part = charged(&arriving, 350 * KIBI).await;
    sleep(STALLED).await;
    arriving.send(8 * 1024).await;
    let newcomer = connect(&clients, 3).unwrap();
    assert!(newcomer.client().charge().grow(400 * KIBI).await.is_err());
    assert!(served.is_open() && arriving.is_open());
}

/// Guards against a client that sends a byte now and then to keep its place.
#[tokio::test(start_paused = true)]
async fn test_clients_trickle_counts_as_stalled() {
    let clients = clients(MEBI, 16);
    let mut trickling = connect(&clients, 1).unwrap();
    for _ in 0..8 {
        trickling.send(1).await;
        sleep(Duration::from_millis(200)).await;
    }
    let mut others = Vec::new();
    for port in 2..=17 {
        others.extend(connect(&clients, port));
    }
    tokio::task::yield_now().await;
    assert_eq!(others.len(), 16);
    assert!(!trickling.is_open());
}

/// Guards against large bodies that leave no memory to ordinary requests.
#[tokio::test(start_paused = true)]
async fn test_clients_small_requests_find_room_beside_large_bodies() {
    let clients = clients(2 * MEBI, 16);
    let large = connect(&clients, 1).unwrap();
    let mut body = charged(&large, 100 * KIBI).await;
    while body.grow(100 * KIBI).await.is_ok() {}
    let small = connect(&clients, 2).expect("admitted");
    assert!(small.client().begin().await.is_ok());
    assert!(large.is_open());
}

/// Guards against unfinished heads that use up all connections, and against closing connections
/// that are in use instead of those.
#[tokio::test(start_paused = true)]
async fn test_clients_unfinished_heads_give_way_before_others() {
    let clients = clients(MEBI, 16);
    let idle = connect(&clients, 1).unwrap();
    let served = connect(&clients, 2).unwrap();
    let _request = served.client().begin().await.unwrap();
    let mut heads = Vec::new();
    for port in 3..=16 {
        let mut head = connect(&clients, port).unwrap();
        head.send(20).await;
        heads.push(head);
    }
    assert!(connect(&clients, 17).is_none(), "all have just come");
    sleep(STALLED).await;
    let newcomer = connect(&clients, 18);
    tokio::task::yield_now().await;
    assert!(newcomer.is_some());
    assert!(idle.is_open() && served.is_open());
    assert!(heads.iter().any(|head| !head.is_open()));
    assert!(clients.open() <= 16);
}

/// Guards against long heads that together exceed the account.
#[tokio::test(start_paused = true)]
async fn test_clients_long_heads_are_charged() {
    let clients = clients(MEBI, 64);
    let mut heads = Vec::new();
    for port in 1..=60 {
        heads.extend(connect(&clients, port));
    }
    for head in &mut heads {
        let mut stream = head.stream.lock().unwrap().take().expect("an open stream");
        let mut buffer = vec![0; 32 * 1024];
        head.far.write_all(&buffer).await.unwrap();
        // The connection ends with an error where there is no memory for its head.
        let is_read = stream.read_exact(&mut buffer).await.is_ok();
        assert!(clients.used() <= MEBI, "{}", clients.used());
        if is_read {
            *head.stream.lock().unwrap() = Some(stream);
        }
    }
    let open = heads.iter().filter(|head| head.is_open()).count();
    assert!((1..60).contains(&open), "{open}");
}

/// Guards against refusing callers while idle connections are kept.
#[tokio::test(start_paused = true)]
async fn test_clients_longest_idle_gives_way_when_no_other_does() {
    let clients = clients(MEBI, 16);
    let mut idle = Vec::new();
    for port in 1..=16 {
        idle.push(connect(&clients, port).unwrap());
        sleep(Duration::from_millis(100)).await;
    }
    sleep(STALLED).await;
    let newcomer = connect(&clients, 17);
    tokio::task::yield_now().await;
    assert!(newcomer.is_some());
    let open: Vec<bool> = idle.iter().map(Peer::is_open).collect();
    assert!(!open[0] && open[1..].iter().all(|open| *open), "{open:?}");
}

/// Guards against bodies in pieces that take many times their size.
#[tokio::test(start_paused = true)]
async fn test_clients_body_in_pieces_costs_its_size() {
    let clients = clients(64 * MEBI, 16);
    let peer = connect(&clients, 1).unwrap();
    let before = clients.used();
    let mut buffer = Buffer::new(peer.client().charge(), None);
    for byte in 0..200_000_u32 {
        buffer.push(&byte.to_le_bytes()[..1]).await.unwrap();
    }
    let cost = clients.used() - before;
    assert!((200_000..230_000).contains(&cost), "{cost}");
    let bytes = buffer.into_bytes();
    assert_eq!(bytes.len(), 200_000);
    assert!(clients.used() - before < 210_000);
    drop(bytes);
    assert_eq!(clients.used(), before);
}

quickcheck! {
    /// Guards against a buffer that loses, repeats or reorders bytes, whatever its pieces.
    fn test_clients_buffer_keeps_bytes_in_order(parts: Vec<Vec<u8>>, known: bool) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        runtime.unwrap().block_on(async {
            let whole = parts.concat();
            let clients = clients(64 * MEBI, 16);
            let charge = clients.unconnected().charge();
            let mut buffer = Buffer::new(charge, known.then_some(whole.len()));
            for part in &parts {
                buffer.push(part).await.unwrap();
            }
            let mut read = Vec::new();
            while read.len() < buffer.len() {
                let part = buffer.part(read.len()).to_vec();
                read.extend(part);
            }
            let bytes = buffer.into_bytes();
            let is_same = read == whole && bytes == whole;
            drop(bytes);
            is_same && clients.used() == 0
        })
    }

    /// Guards against an account that is exceeded by what it grants.
    fn test_clients_account_is_never_exceeded(sizes: Vec<u32>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        runtime.unwrap().block_on(async {
            let clients = clients(MEBI, 16);
            let mut charges = Vec::new();
            for size in sizes {
                let mut charge = clients.unconnected().charge();
                if size % 3 == 0 {
                    charges.pop();
                }
                // Refused where it doesn't fit.
                let _ = charge.grow((size % 300_000).into()).await;
                charges.push(charge);
                if clients.used() > MEBI {
                    return false;
                }
            }
            drop(charges);
            clients.used() == 0
        })
    }
}
