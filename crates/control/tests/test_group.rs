//! A group in one process: founding, changes, follows and stops.

mod common;

use common::accepted;
use common::change;
use common::clients;
use common::start;

#[tokio::test]
async fn test_group_accepts_a_change_that_all_follow() {
    let (_, replicas) = start("group-accepts", 3).await;
    let clients = clients(&replicas);
    let kind = clients[1]
        .propose_with_retry(&change("c-1", 0, "status"))
        .await;
    assert_eq!(accepted(&kind), 1);
    for client in &clients {
        let reply = client.wait_for_version(1).await;
        let catalogue = reply.catalogue.expect("newer than nothing");
        assert_eq!(catalogue.entries[0].service, "status");
    }
    for replica in replicas {
        replica.stop().await;
    }
}
