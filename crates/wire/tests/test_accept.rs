//! The accept loop: its connection limit, malformed frames, and stopping.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::accept::Acceptor;
use wire::link;
use wire::link::Channel;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    address: SocketAddr,
    stop: CancellationToken,
    running: JoinHandle<()>,
    /// Receives `true` when a connection starts to be served, `false` when it ends.
    served: mpsc::UnboundedReceiver<bool>,
}

impl Fixture {
    async fn start(max_connections: usize) -> Self {
        let incoming = link::listen::<u32, u32>(([127, 0, 0, 1], 0).into());
        let incoming = incoming.await.expect("a port");
        let address = incoming.local_addr();
        let stop = CancellationToken::new();
        let (sender, served) = mpsc::unbounded_channel();
        let acceptor = Acceptor {
            max_connections,
            stop: stop.clone(),
            log: telemetry::log::silent(),
        };
        let serve = move |channel: Channel<u32, u32>| {
            let sender = sender.clone();
            async move {
                let _ = sender.send(true);
                let read = channel.take_while(|read| std::future::ready(read.is_ok()));
                read.for_each(|_| std::future::ready(())).await;
                let _ = sender.send(false);
            }
        };
        let running = tokio::spawn(acceptor.run(incoming, serve));
        Self {
            address,
            stop,
            running,
            served,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connects")
    }

    async fn next(&mut self) -> Option<bool> {
        let next = timeout(TEST_TIMEOUT, self.served.recv()).await;
        next.expect("something is served or ends")
    }
}

/// Whether the peer closes the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let read = timeout(TEST_TIMEOUT, stream.read(&mut [0; 1])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

#[tokio::test]
async fn test_accept_limit() {
    let mut fixture = Fixture::start(1).await;
    let first = fixture.connect().await;
    assert_eq!(fixture.next().await, Some(true));
    let mut second = fixture.connect().await;
    assert!(is_closed(&mut second).await, "one too many");
    drop(first);
    assert_eq!(fixture.next().await, Some(false));
    let _third = fixture.connect().await;
    assert_eq!(fixture.next().await, Some(true), "there is room again");
}

#[tokio::test]
async fn test_accept_garbage_ends_only_its_connection() {
    let mut fixture = Fixture::start(2).await;
    let _good = fixture.connect().await;
    assert_eq!(fixture.next().await, Some(true));
    let mut bad = fixture.connect().await;
    assert_eq!(fixture.next().await, Some(true));
    bad.write_all(&[0xff; 64]).await.expect("leaves");
    assert_eq!(fixture.next().await, Some(false));
    assert!(is_closed(&mut bad).await);
    assert!(fixture.served.try_recv().is_err(), "the other goes on");
}

#[tokio::test]
async fn test_accept_stop_frees_the_port_and_waits() {
    let mut fixture = Fixture::start(2).await;
    let first = fixture.connect().await;
    assert_eq!(fixture.next().await, Some(true));
    fixture.stop.cancel();
    let freed = async {
        while TcpStream::connect(fixture.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, freed)
        .await
        .expect("the port is free");
    assert!(!fixture.running.is_finished(), "a connection is open");
    drop(first);
    assert_eq!(fixture.next().await, Some(false));
    let ended = timeout(TEST_TIMEOUT, fixture.running).await;
    ended.expect("ends").expect("without a panic");
}
