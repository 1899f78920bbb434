//! Guards against responses of another gateway that are taken for those of another request.

mod fakes;

use reqwest::Response;
use wire::directory::InstanceChange;
use wire::directory::Phase;

use crate::fakes::Rig;
use crate::fakes::directory::instance;
use crate::fakes::header;
use crate::fakes::rig;
use crate::fakes::scripted::Reply;
use crate::fakes::scripted::ScriptedUpstream;
use crate::fakes::scripted::latest;
use crate::fakes::scripted::own_answer;
use crate::fakes::scripted::response;
use crate::fakes::upstream::ReceivedRequest;

/// Number of instances that refuse connections of the gateway that is cut off.
const UNREACHED: u16 = 12;
/// Id of a request that was never sent.
const OTHER_ID: &str = "00000000000000000000000000000000";

/// A gateway that is cut off, and another one that follows a script.
struct Relayed {
    rig: Rig,
    peer: ScriptedUpstream,
    _closed: testutils::Host,
}

impl Relayed {
    async fn start(script: impl Fn(&[ReceivedRequest]) -> Reply + Send + Sync + 'static) -> Self {
        let peer = ScriptedUpstream::start(move |requests| {
            if latest(requests).path() == "/warm" {
                return Reply(own_answer(latest(requests)), false);
            }
            script(requests)
        })
        .await;
        let rig = rig(&[], |_| {}).await;
        let closed = testutils::Host::new();
        let listed: Vec<InstanceChange> = (1..=UNREACHED)
            .map(|port| instance("once", &format!("i-{port}"), closed.at(port), Phase::Ready))
            .collect();
        fakes::cut_off(&rig, peer.address, &listed).await;
        Self {
            rig,
            peer,
            _closed: closed,
        }
    }

    async fn call(&self, path: &str) -> Response {
        let request = self.rig.post("once", path).send();
        request.await.expect("a response")
    }
}

#[tokio::test]
async fn test_cutoff_refusal_that_does_not_name_the_request_is_no_proof() {
    for reason in ["shed", "fenced", "connect", "queue-full"] {
        for id in [None, Some(OTHER_ID)] {
            let headers = format!("rwr-outcome: not-run\r\nrwr-reason: {reason}\r\n");
            let refusal = response(503, id, &headers, "");
            let relayed = Relayed::start(move |_| Reply(refusal.clone(), false)).await;
            let end = relayed.call("/x").await;
            assert_eq!(header(&end, "rwr-outcome"), "unknown", "{reason} {id:?}");
            assert_eq!(end.status(), 502, "{reason} {id:?}");
            assert_eq!(relayed.peer.connections_of("/x").len(), 1);
        }
    }
}

#[tokio::test]
async fn test_cutoff_answer_that_does_not_name_the_request_is_not_passed_on() {
    for id in [None, Some(OTHER_ID)] {
        let answer = response(200, id, "", "other");
        let relayed = Relayed::start(move |_| Reply(answer.clone(), false)).await;
        let end = relayed.call("/x").await;
        assert_eq!(header(&end, "rwr-reason"), "mismatch", "{id:?}");
        assert_eq!(end.status(), 502, "{id:?}");
    }
}

#[tokio::test]
async fn test_cutoff_connection_of_foreign_response_is_not_used_again() {
    let foreign = response(200, Some(OTHER_ID), "", "");
    let relayed = Relayed::start(move |requests| match latest(requests) {
        request if request.path() == "/x" => Reply(foreign.clone(), false),
        request => Reply(own_answer(request), false),
    })
    .await;
    relayed.call("/x").await;
    assert_eq!(relayed.call("/y").await.status(), 200);
    let (foreign, next) = ("/x", "/y");
    let connections = |path| relayed.peer.connections_of(path);
    assert_ne!(connections(foreign), connections(next));
}

#[tokio::test]
async fn test_cutoff_status_of_gateway_without_outcome_does_not_say_not_run() {
    for status in [408, 421, 429, 503] {
        let relayed = Relayed::start(move |requests| {
            Reply(
                response(status, Some(latest(requests).id()), "", "busy"),
                false,
            )
        })
        .await;
        let end = relayed.call("/x").await;
        assert_eq!(header(&end, "rwr-outcome"), "unknown", "{status}");
        assert_eq!(end.status(), 502, "{status}");
    }
}

#[tokio::test]
async fn test_cutoff_relayed_request_keeps_its_id() {
    let rig = rig(&[], |_| {}).await;
    let request = rig.post("once", "/ok").header("rwr-hop", "127.0.0.1");
    let request = request.header("rwr-request-id", OTHER_ID);
    let response = request.send().await.expect("a response");
    assert_eq!(header(&response, "rwr-request-id"), OTHER_ID);
    assert_eq!(rig.upstream.received().remove(0).id(), OTHER_ID);
}
