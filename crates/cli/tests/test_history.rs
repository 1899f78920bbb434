//! `rwrctl history` when the first replica has no data or does not reply.

mod fakes;

use cli::Exit;
use fakes::Fake;
use fakes::listen;
use fakes::rwrctl;
use futures::StreamExt;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

#[tokio::test]
async fn test_history_skips_replica_without_data() {
    let empty = Fake::default();
    empty.lock().no_majority = true;
    let first = listen!(ControlApi, empty);
    let second = listen!(ControlApi, Fake::filled());
    for line in ["history", "history --from 1"] {
        let result = rwrctl(&format!("{line} --control {first},{second}")).await;
        assert_eq!(result.exit, Exit::Done, "{line}: {}", result.err);
        assert!(result.out.contains("a-1"), "{line}: {}", result.out);
    }
}

#[tokio::test]
async fn test_history_skips_replica_that_does_not_reply() {
    let silent = TcpListener::bind(fakes::any_port())
        .await
        .expect("a free port");
    let first = silent.local_addr().expect("its address");
    let second = listen!(ControlApi, Fake::filled());
    let line = format!("history --timeout 2s --control {first},{second}");
    let result = rwrctl(&line).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
    assert!(result.out.contains("a-1"), "{}", result.out);
}
