//! Guards against requests that are refused because instances have ended, while others are well.

use std::collections::HashMap;

use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::process::field;
use testutils::services;

/// Gateways, each with its directory.
const GATEWAYS: usize = 7;
/// Instances of the service.
const INSTANCES: usize = 14;
/// Requests, sent through all gateways in turn.
const REQUESTS: usize = 42;

struct Rig {
    system: System,
    upstreams: Vec<Upstream>,
}

impl Rig {
    async fn start() -> Self {
        let mut system = System::start(1, GATEWAYS, &services::all()).await.unwrap();
        let mut upstreams = vec![];
        for number in 0..INSTANCES {
            upstreams.push(system.upstream(services::STATUS, number).await.unwrap());
        }
        Self { system, upstreams }
    }

    /// Kills `count` instances, the oldest first.
    async fn kill(&mut self, count: usize) {
        for upstream in self.upstreams.drain(..count) {
            upstream.process.kill().await.unwrap();
        }
    }

    async fn call(&self, gateway: usize, number: usize) -> Reply {
        let request = Request::get(services::STATUS, &format!("/read/{number}"));
        let address = self.system.gateway(gateway);
        Caller::new().call(address, &request).await
    }

    /// Largest number of refused connections of one request.
    fn max_failed_connections(&self) -> usize {
        let mut counts = HashMap::new();
        for line in self.system.decisions().lines() {
            if field(line, "msg") == Some("attempt failed") {
                let request = field(line, "request").map(str::to_owned);
                *counts.entry(request).or_default() += 1;
            }
        }
        counts.into_values().max().unwrap_or_default()
    }

    async fn check_served(&self) {
        for number in 0..REQUESTS {
            let reply = self.call(number % GATEWAYS, number).await;
            assert!(
                reply.is_ok(),
                "{number}: {reply:?}\n{}",
                self.system.decisions()
            );
        }
    }
}

/// Gateways that have sent nothing yet choose among all instances.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_connect_requests_are_served_while_few_instances_are_down() {
    let mut rig = Rig::start().await;
    rig.kill(3).await;
    rig.check_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_connect_requests_are_served_while_half_of_the_instances_are_down() {
    let mut rig = Rig::start().await;
    rig.kill(INSTANCES / 2).await;
    rig.check_served().await;
}

/// What can't be served is refused with the time to come back, and not run.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_connect_requests_are_refused_while_all_instances_are_down() {
    let mut rig = Rig::start().await;
    rig.kill(INSTANCES).await;
    for number in 0..REQUESTS {
        let reply = rig.call(number % GATEWAYS, number).await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.outcome, Some(base::prelude::Outcome::NotRun));
        assert!(reply.retry_after.is_some(), "{reply:?}");
    }
    let connections = rig.max_failed_connections();
    assert!(connections <= INSTANCES, "{connections} for one request");
}
