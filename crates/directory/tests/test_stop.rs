//! The graceful stop.

use std::time::Duration;

use wire::directory::HostPhase;
use wire::directory::Sync;
use wire::link;

use crate::common;

#[tokio::test]
async fn test_stop_answers_held_polls() {
    let (_control, address) = common::control().await;
    let settings = vec![common::settings("a", "milano")];
    let directory = common::directories(settings, &[address]).await.remove(0);
    common::ready(&directory).await;
    let peer = wire::peer::directory(directory.rpc());
    let client = peer.client().await.expect("connects");
    let host = common::host("a", "milano", HostPhase::Serving, 1);
    let ask = Sync {
        host: Some(host),
        have: 1,
        wait_ms: 60_000,
        ..Sync::default()
    };
    // The whole table at once, then a poll that is held.
    let first = client
        .sync(link::within(Duration::from_secs(5)), ask.clone())
        .await
        .expect("answered");
    let ask = Sync {
        epoch: first.epoch,
        cursor: first.cursor,
        ..ask
    };
    let held =
        tokio::spawn(async move { client.sync(link::within(Duration::from_secs(5)), ask).await });
    let mut seen = directory.shared().watch();
    let polled = seen.wait_for(|stamp| stamp.hosts > 0).await;
    polled.expect("the poll came");
    let http = directory.http();
    assert!(directory.stop().await, "within its time");
    let reply = held.await.expect("ends").expect("is answered");
    assert_eq!(reply.confirmed, 1);
    assert!(
        tokio::net::TcpStream::connect(http).await.is_err(),
        "nothing listens"
    );
}
