//! The main path: announce, follow, poll, route.

use std::sync::Arc;

use wire::directory::HostPhase;

use crate::common;

#[tokio::test]
async fn test_path_announce_to_route() {
    let (_control, address) = common::control().await;
    let all = vec![
        common::settings("a", "milano"),
        common::settings("b", "torino"),
    ];
    let directories = common::directories(all, &[address]).await;
    for directory in &directories {
        common::ready(directory).await;
    }
    let answer = common::announce(
        directories[0].http(),
        common::announcement("g1", "ready", 1, 1),
    )
    .await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, r#"{"lease_ms":1500,"refresh_ms":500}"#);
    let _a = common::Gateway::start(
        directories[0].rpc(),
        common::host("a", "milano", HostPhase::Serving, 0),
    );
    let _b = common::Gateway::start(
        directories[1].rpc(),
        common::host("b", "torino", HostPhase::Serving, 0),
    );
    for directory in &directories {
        let route = common::eventually("both hosts", async || {
            let answer = common::get(directory.http(), "/v1/route?service=grants").await;
            (answer.body.matches("domain").count() == 2).then_some(answer)
        })
        .await;
        assert_eq!(route.status, 200);
        assert_eq!(route.headers["cache-control"], "max-age=5");
        let seen = Arc::clone(directory.shared()).step(|inner, _| inner.members.instances().len());
        assert_eq!(
            seen, 1,
            "the instance came by way of the other directory or its own"
        );
    }
    for directory in directories {
        assert!(directory.stop().await);
    }
}
