//! History while a replica knows nothing, or doesn't answer.

mod fakes;

use cli::Exit;
use fakes::FILE;
use fakes::Fake;
use fakes::listen;
use fakes::rwrctl;
use futures::StreamExt;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use wire::catalogue::Change;

fn filled() -> Fake {
    let fake = Fake::default();
    let wanted = catalogue::file::parse("c", FILE).expect("a good file");
    let mut world = fake.world();
    let edits = catalogue::diff::edits(&world.state.catalogue(), &wanted);
    world.state.apply(&Change {
        id: "a-1".into(),
        base: 0,
        author: "anna".into(),
        edits,
    });
    drop(world);
    fake
}

#[tokio::test]
async fn test_history_emptied_replica_first_in_the_list_bounds_nothing() {
    let empty = Fake::default();
    empty.world().cut = true;
    let first = listen!(ControlApi, empty);
    let second = listen!(ControlApi, filled());
    for line in ["history", "history --from 1"] {
        let ended = rwrctl(&format!("{line} --control {first},{second}")).await;
        assert_eq!(ended.exit, Exit::Done, "{line}: {}", ended.err);
        assert!(ended.out.contains("a-1"), "{line}: {}", ended.out);
    }
}

#[tokio::test]
async fn test_history_replica_that_does_not_answer_is_passed_over() {
    let silent = TcpListener::bind(fakes::any()).await.expect("a free port");
    let first = silent.local_addr().expect("its address");
    let second = listen!(ControlApi, filled());
    let line = format!("history --timeout 2s --control {first},{second}");
    let ended = rwrctl(&line).await;
    assert_eq!(ended.exit, Exit::Done, "{}", ended.err);
    assert!(ended.out.contains("a-1"), "{}", ended.out);
}
