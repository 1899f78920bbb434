//! Malformed input on a port that affects other clients or is not rejected.

mod common;

use std::net::SocketAddr;

use common::accepted;
use common::change;
use common::clients;
use common::start;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes sent to a port, and whether the replica closes the connection.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    closed: bool,
}

fn cases() -> Vec<Case> {
    let mut short = 1_000_u32.to_be_bytes().to_vec();
    short.extend([1; 10]);
    let mut junk = 64_u32.to_be_bytes().to_vec();
    junk.extend([0xff; 64]);
    vec![
        Case {
            name: "a frame over the bound",
            bytes: u32::MAX.to_be_bytes().to_vec(),
            closed: true,
        },
        Case {
            name: "an HTTP request",
            bytes: b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            closed: true,
        },
        Case {
            name: "a frame that is no message",
            bytes: junk,
            closed: true,
        },
        Case {
            name: "a frame that stays short",
            bytes: short,
            closed: false,
        },
        Case {
            name: "nothing",
            bytes: vec![],
            closed: false,
        },
    ]
}

#[tokio::test]
async fn test_port_garbage_does_not_affect_other_clients() {
    let (_, replicas) = start("port-garbage", 3).await;
    let clients = clients(&replicas);
    let mut version = 0;
    let mut idle = Vec::new();
    for replica in &replicas {
        for address in [replica.rpc(), replica.replica()] {
            for case in cases() {
                let stream = send(address, &case).await;
                if !case.closed {
                    idle.push(stream);
                }
                let next = change(&format!("c-{version}"), version, "status");
                let kind = clients[0].propose_with_retry(&next).await;
                version += 1;
                assert_eq!(accepted(&kind), version, "{}", case.name);
            }
        }
    }
    drop(idle);
}

async fn send(address: SocketAddr, case: &Case) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&case.bytes).await.expect("sends");
    if case.closed {
        let mut rest = Vec::new();
        let read = stream.read_to_end(&mut rest);
        let end = tokio::time::timeout(common::TIMEOUT, read).await;
        // A connection reset also counts as closed.
        let _ = end.expect(case.name);
        assert!(rest.is_empty(), "{}", case.name);
    }
    stream
}
