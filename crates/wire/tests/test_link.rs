//! Calls must end with an error, not hang, when the peer closes the connection midway.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;
use wire::hub::Fetch;
use wire::link::within;
use wire::peer;

const CALL_TIMEOUT: Duration = Duration::from_millis(100);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_link_call_ends_when_its_peer_does() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // Closes each connection after a read of up to 90 bytes, a different number each time.
    tokio::spawn(async move {
        for index in 0_usize.. {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(async move {
                let mut buffer = vec![0; 1 + index % 90];
                let _ = stream.read(&mut buffer).await;
            });
        }
    });
    let calls = (0..16).map(|_| {
        tokio::spawn(async move {
            let link = peer::hub(address);
            for _ in 0..400 {
                let Ok(client) = link.client().await else {
                    continue;
                };
                let call = client.fetch(within(CALL_TIMEOUT), Fetch { have: None });
                let ended = timeout(TEST_TIMEOUT, call).await;
                let result = ended.expect("the call ends, whatever became of its peer");
                assert!(link.check_result(result).is_err());
            }
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("no panic");
    }
}
