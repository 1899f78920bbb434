//! A graceful stop must reply to waiting polls.

use std::time::Duration;

use wire::directory::HostPhase;
use wire::directory::Sync;
use wire::link;

use crate::common;

#[tokio::test]
async fn test_stop_answers_waiting_polls() {
    let (_control, address) = common::control().await;
    let settings = vec![common::settings("a", "milano")];
    let directory = common::directories(settings, &[address]).await.remove(0);
    common::ready(&directory).await;
    let peer = wire::peer::directory(directory.rpc());
    let client = peer.client().await.expect("connects");
    let host = common::host("a", "milano", HostPhase::Serving, 1);
    let request = Sync {
        host: Some(host),
        have: 1,
        wait_ms: 60_000,
        ..Sync::default()
    };
    // The first poll returns the whole table at once, the second one waits.
    let first = client
        .sync(link::within(Duration::from_secs(5)), request.clone())
        .await
        .expect("answered");
    let request = Sync {
        epoch: first.epoch,
        cursor: first.cursor,
        ..request
    };
    let waiting = tokio::spawn(async move {
        client
            .sync(link::within(Duration::from_secs(5)), request)
            .await
    });
    let mut seen = directory.shared().subscribe();
    let polled = seen.wait_for(|version| version.hosts > 0).await;
    polled.expect("the poll came");
    let http = directory.http();
    assert!(directory.stop().await, "within its time");
    let reply = waiting.await.expect("ends").expect("is answered");
    assert_eq!(reply.confirmed, 1);
    assert!(
        tokio::net::TcpStream::connect(http).await.is_err(),
        "nothing listens"
    );
}
