//! A port's bounds: connections at once, garbage, and the stop.

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

const PATIENCE: Duration = Duration::from_secs(10);

struct Rig {
    address: SocketAddr,
    stop: CancellationToken,
    running: JoinHandle<()>,
    /// Says `true` when a connection is served, `false` when it ended.
    served: mpsc::UnboundedReceiver<bool>,
}

impl Rig {
    async fn start(max_connections: usize) -> Self {
        let incoming = link::listen::<u32, u32>(([127, 0, 0, 1], 0).into());
        let incoming = incoming.await.expect("a port");
        let address = incoming.local_addr();
        let stop = CancellationToken::new();
        let (tell, served) = mpsc::unbounded_channel();
        let acceptor = Acceptor {
            max_connections,
            stop: stop.clone(),
            log: telemetry::log::silent(),
        };
        let serve = move |channel: Channel<u32, u32>| {
            let tell = tell.clone();
            async move {
                let _ = tell.send(true);
                let read = channel.take_while(|read| std::future::ready(read.is_ok()));
                read.for_each(|_| std::future::ready(())).await;
                let _ = tell.send(false);
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
        let next = timeout(PATIENCE, self.served.recv()).await;
        next.expect("something is served or ends")
    }
}

/// Whether the other side closes the connection.
async fn closes(stream: &mut TcpStream) -> bool {
    let read = timeout(PATIENCE, stream.read(&mut [0; 1])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

#[tokio::test]
async fn test_accept_limit() {
    let mut rig = Rig::start(1).await;
    let first = rig.connect().await;
    assert_eq!(rig.next().await, Some(true));
    let mut second = rig.connect().await;
    assert!(closes(&mut second).await, "one too many");
    drop(first);
    assert_eq!(rig.next().await, Some(false));
    let _third = rig.connect().await;
    assert_eq!(rig.next().await, Some(true), "there is room again");
}

#[tokio::test]
async fn test_accept_garbage_ends_alone() {
    let mut rig = Rig::start(2).await;
    let _good = rig.connect().await;
    assert_eq!(rig.next().await, Some(true));
    let mut bad = rig.connect().await;
    assert_eq!(rig.next().await, Some(true));
    bad.write_all(&[0xff; 64]).await.expect("leaves");
    assert_eq!(rig.next().await, Some(false));
    assert!(closes(&mut bad).await);
    assert!(rig.served.try_recv().is_err(), "the other goes on");
}

#[tokio::test]
async fn test_accept_stop_frees_the_port_and_waits() {
    let mut rig = Rig::start(2).await;
    let first = rig.connect().await;
    assert_eq!(rig.next().await, Some(true));
    rig.stop.cancel();
    let freed = async {
        while TcpStream::connect(rig.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, freed).await.expect("the port is free");
    assert!(!rig.running.is_finished(), "a connection is open");
    drop(first);
    assert_eq!(rig.next().await, Some(false));
    let ended = timeout(PATIENCE, rig.running).await;
    ended.expect("ends").expect("without a panic");
}
