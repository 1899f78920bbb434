//! Guards against responses of an instance that are taken for those of another request.

mod fakes;

use std::collections::BTreeSet;

use base::prelude::*;
use reqwest::Response;
use wire::directory::Phase;
use wire::ledger::Settled;

use crate::fakes::Rig;
use crate::fakes::control::FakeControl;
use crate::fakes::directory::instance;
use crate::fakes::header;
use crate::fakes::list_instances;
use crate::fakes::rig;
use crate::fakes::scripted::Reply;
use crate::fakes::scripted::ScriptedUpstream;
use crate::fakes::scripted::latest;
use crate::fakes::scripted::own_answer;
use crate::fakes::scripted::refusal;
use crate::fakes::scripted::response;
use crate::fakes::upstream::ReceivedRequest;
use crate::fakes::wait_until;

const SERVICES: [&str; 4] = ["urgent", "once", "durable", "deferred"];
/// Id of a request that was never sent.
const OTHER_ID: &str = "00000000000000000000000000000000";
/// Probes after which the results of the first ones are known.
const PROBES: usize = 20;

/// Lists one instance per service, which is `upstream`.
async fn serve_with(rig: &Rig, upstream: &ScriptedUpstream) {
    let listed = SERVICES.map(|s| instance(s, "scripted", upstream.address, Phase::Ready));
    list_instances(rig, listed.to_vec()).await;
}

/// Starts a rig whose only instance follows the script.
async fn scripted(
    script: impl Fn(&[ReceivedRequest]) -> Reply + Send + Sync + 'static,
) -> (Rig, ScriptedUpstream) {
    let upstream = ScriptedUpstream::start(script).await;
    let rig = rig(&[], |_| {}).await;
    // The retry budget allows one retry per call.
    rig.directory
        .change_limits(|limits| limits.retry_percent = 100);
    serve_with(&rig, &upstream).await;
    (rig, upstream)
}

async fn call(rig: &Rig, service: &str, path: &str) -> Response {
    let request = rig.post(service, path).send();
    request.await.expect("a response")
}

/// Calls, reads the response to its end, and returns its status, outcome and reason.
async fn end_of_call(rig: &Rig, service: &str, path: &str) -> (u16, String, String) {
    let response = call(rig, service, path).await;
    let (outcome, reason) = (
        header(&response, "rwr-outcome"),
        header(&response, "rwr-reason"),
    );
    let status = response.status().as_u16();
    response.bytes().await.expect("a whole body");
    (status, outcome, reason)
}

fn unknown(reason: &str) -> (u16, String, String) {
    (502, "unknown".into(), reason.into())
}

/// Answers a request at a path by `special`, and any other one properly.
fn at(path: &str, requests: &[ReceivedRequest], special: impl Fn(&str) -> String) -> Reply {
    let request = latest(requests);
    if request.path() == path {
        Reply(special(request.id()), false)
    } else {
        Reply(own_answer(request), false)
    }
}

#[tokio::test]
async fn test_correlation_refusal_without_id_is_no_proof() {
    let (rig, upstream) = scripted(|requests| at("/x", requests, |_| refusal(None))).await;
    let end = end_of_call(&rig, "once", "/x").await;
    assert_eq!(end, unknown("mismatch"));
    assert_eq!(upstream.connections_of("/x").len(), 1);
}

#[tokio::test]
async fn test_correlation_late_copy_of_refusal_is_no_proof() {
    let (rig, upstream) = scripted(|requests| match requests {
        [.., last] if last.path() == "/refused" => Reply(refusal(Some(last.id())), false),
        [.., before, last] => Reply(refusal(Some(before.id())) + &own_answer(last), false),
        _ => Reply(own_answer(latest(requests)), false),
    })
    .await;
    rig.directory
        .change_limits(|limits| limits.retry_percent = 0);
    let first = end_of_call(&rig, "once", "/refused").await;
    assert_eq!(first.1, "not-run");
    let second = end_of_call(&rig, "once", "/x").await;
    assert_ne!(second.1, "not-run");
    assert_eq!(upstream.connections_of("/x").len(), 1);
}

/// Guards against a late copy of an answer without an id that is passed on to the next caller.
#[tokio::test]
async fn test_correlation_late_copy_of_answer_without_id_reaches_no_other_caller() {
    let answer = |request: &ReceivedRequest| response(200, None, "", request.path());
    let (rig, upstream) = scripted(move |requests| {
        let before = requests.iter().rev().skip(1);
        let copies: String = before.map(answer).collect();
        Reply(copies + &answer(latest(requests)), false)
    })
    .await;
    for path in ["/first", "/second", "/third"] {
        for service in SERVICES {
            let path = format!("{path}/{service}");
            let response = call(&rig, service, &path).await;
            assert_eq!(response.status().as_u16(), 200, "{path}");
            assert_eq!(response.text().await.expect("a whole body"), path);
        }
    }
    let received = upstream.received();
    let connections: BTreeSet<usize> = received.iter().map(|r| r.connection).collect();
    assert_eq!(connections.len(), received.len());
}

/// Guards against a new connection for each request to instances that name requests.
#[tokio::test]
async fn test_correlation_connections_of_answers_with_id_are_used_again() {
    let (rig, upstream) = scripted(|requests| Reply(own_answer(latest(requests)), false)).await;
    for number in 0..4 {
        let path = format!("/{number}");
        assert_eq!(end_of_call(&rig, "once", &path).await.0, 200);
    }
    let received = upstream.received();
    let calls = received.iter().filter(|r| r.request.path().len() == 2);
    let connections: BTreeSet<usize> = calls.map(|r| r.connection).collect();
    assert_eq!(connections.len(), 1, "{connections:?}");
}

#[tokio::test]
async fn test_correlation_refusal_without_id_frees_no_key() {
    let control = FakeControl::start().await;
    let upstream = ScriptedUpstream::start(|_| Reply(refusal(None), false)).await;
    let rig = rig(&[control.address], |_| {}).await;
    serve_with(&rig, &upstream).await;
    for expected in ["mismatch", "forgotten"] {
        let request = rig.post("once", "/grant").header("rwr-caller", "planner");
        let response = request.header("idempotency-key", "k").send().await;
        assert_eq!(
            header(&response.expect("a response"), "rwr-reason"),
            expected
        );
        wait_until(|| control.settled("k") == Some(Settled::Unknown)).await;
    }
    assert_eq!(upstream.received().len(), 1);
}

#[tokio::test]
async fn test_correlation_connections_of_foreign_response_are_not_used_again() {
    let foreign = |_: &str| response(200, Some(OTHER_ID), "", "");
    let (rig, upstream) = scripted(move |requests| at("/foreign", requests, foreign)).await;
    let rig = &rig;
    let held = end_of_call(rig, "durable", "/hold");
    let others = async {
        wait_until(|| !upstream.connections_of("/hold").is_empty()).await;
        end_of_call(rig, "durable", "/other").await;
        upstream.release.notify_one();
    };
    tokio::join!(held, others);
    assert_eq!(
        end_of_call(rig, "durable", "/foreign").await.2,
        "mismatch",
        "both attempts get the response of another request"
    );
    let before: BTreeSet<usize> = upstream.received().iter().map(|r| r.connection).collect();
    for number in 0..4 {
        let path = format!("/next/{number}");
        assert_eq!(end_of_call(rig, "durable", &path).await.0, 200);
    }
    let next: Vec<usize> = upstream.received()[upstream.received().len() - 4..]
        .iter()
        .map(|r| r.connection)
        .collect();
    let distinct: BTreeSet<usize> = next.iter().copied().collect();
    assert!(distinct.is_disjoint(&before), "{next:?} and {before:?}");
}

#[tokio::test]
async fn test_correlation_second_send_is_not_on_connection_of_the_first() {
    let (rig, upstream) = scripted(|requests| match requests {
        [.., before, last] if before.id() == last.id() => {
            Reply(refusal(Some(last.id())) + &own_answer(last), false)
        }
        [.., last] if last.header("rwr-attempt") == Some("1") => {
            Reply(refusal(Some(last.id())), false)
        }
        [.., last] => Reply(own_answer(last), false),
        [] => unreachable!("there is a request"),
    })
    .await;
    let end = end_of_call(&rig, "once", "/x").await;
    assert_eq!(end.0, 200);
    let connections = upstream.connections_of("/x");
    assert_eq!(connections.len(), 2);
    assert_ne!(connections[0], connections[1]);
}

#[tokio::test]
async fn test_correlation_notices_of_foreign_responses_are_not_believed() {
    for (status, headers) in [
        (200, "rwr-leaving: 1\r\n"),
        (503, "rwr-shed: 1\r\nretry-after: 600\r\n"),
        (429, "retry-after: 600\r\n"),
    ] {
        let foreign = move |_: &str| response(status, Some(OTHER_ID), headers, "");
        let (rig, _) = scripted(move |requests| at("/x", requests, foreign)).await;
        let end = end_of_call(&rig, "once", "/x").await;
        assert_eq!(end, unknown("mismatch"), "{headers}");
        assert_eq!(end_of_call(&rig, "once", "/y").await.0, 200, "{headers}");
    }
}

#[tokio::test]
async fn test_correlation_load_of_foreign_response_is_not_believed() {
    let foreign = |_: &str| response(200, Some(OTHER_ID), "rwr-load: 6/6\r\n", "");
    let (rig, _) = scripted(move |requests| at("/x", requests, foreign)).await;
    assert_eq!(end_of_call(&rig, "once", "/x").await, unknown("mismatch"));
    assert!(!knows_load(&rig));
}

/// Whether the gateway has a load report of an instance of the service `once`.
fn knows_load(rig: &Rig) -> bool {
    let core = rig.gateway.core();
    let service = ServiceName::new("once").expect("a name");
    let balancer = core.balancers.get(&service).expect("a balancer");
    let views = balancer.state().chooser.views(core.clock.now());
    views.iter().any(|view| view.age.is_some())
}

#[tokio::test]
async fn test_correlation_notice_in_interim_response_of_another_request_is_not_believed() {
    for named in ["", "rwr-request-id: other\r\n"] {
        let (rig, _) = scripted(move |requests| {
            let interim = format!("HTTP/1.1 102 Processing\r\n{named}rwr-leaving: 1\r\n\r\n");
            Reply(interim + &own_answer(latest(requests)), false)
        })
        .await;
        for path in ["/x", "/y"] {
            assert_eq!(end_of_call(&rig, "once", path).await.0, 200, "{named}");
        }
    }
}

#[tokio::test]
async fn test_correlation_interim_response_is_not_taken_for_the_final_one() {
    for status in [100, 101, 102, 103, 199] {
        let (rig, _) = scripted(move |requests| {
            let id = Some(latest(requests).id());
            Reply(response(status, id, "rwr-shed: 1\r\n", ""), true)
        })
        .await;
        let end = end_of_call(&rig, "once", "/x").await;
        assert_eq!(end, unknown("no-answer"), "{status}");
    }
}

#[tokio::test]
async fn test_correlation_status_without_proof_does_not_say_not_run() {
    for status in [408, 429, 503] {
        for is_named in [true, false] {
            let (rig, upstream) = scripted(move |requests| {
                let id = Some(latest(requests).id()).filter(|_| is_named);
                Reply(response(status, id, "retry-after: 0\r\n", "busy"), false)
            })
            .await;
            let (code, outcome, _) = end_of_call(&rig, "once", "/x").await;
            assert_eq!((code, &*outcome), (502, "unknown"), "{status} {is_named}");
            assert_eq!(upstream.received().len(), 1);
        }
    }
}

#[tokio::test]
async fn test_correlation_misdirected_request_must_be_named_to_have_not_run() {
    for (id, expected) in [(None, "unknown"), (Some(OTHER_ID), "unknown")] {
        let misdirected = move |_: &str| response(421, id, "rwr-shed: 1\r\n", "");
        let (rig, upstream) = scripted(move |requests| at("/x", requests, misdirected)).await;
        let (code, outcome, _) = end_of_call(&rig, "once", "/x").await;
        assert_eq!((code, &*outcome), (502, expected));
        assert_eq!(upstream.received().len(), 1);
    }
}

/// Starts a rig whose instance answers probes with these headers.
async fn probed(headers: &'static str) -> (Rig, ScriptedUpstream) {
    let script = move |requests: &[ReceivedRequest]| {
        let load = |_: &str| response(200, None, headers, "");
        at("/rwr/load", requests, load)
    };
    let (rig, upstream) = scripted(script).await;
    rig.directory
        .change_limits(|limits| limits.probe_millis = 1_000_000);
    (rig, upstream)
}

#[tokio::test]
async fn test_correlation_request_is_not_on_connection_of_a_probe() {
    let (rig, upstream) = probed("rwr-load: 0/6\r\n").await;
    for number in 0..PROBES {
        wait_until(|| upstream.connections_of("/rwr/load").len() > number).await;
        assert_eq!(end_of_call(&rig, "once", "/x").await.0, 200);
    }
    let probes: BTreeSet<usize> = upstream.connections_of("/rwr/load").into_iter().collect();
    let requests: BTreeSet<usize> = upstream.connections_of("/x").into_iter().collect();
    assert!(
        probes.is_disjoint(&requests),
        "{probes:?} and {requests:?} share connections"
    );
}

#[tokio::test]
async fn test_correlation_probe_does_not_believe_response_to_a_request() {
    let headers = "rwr-request-id: other\r\nrwr-load: 6/6\r\nrwr-leaving: 1\r\n";
    let (rig, upstream) = probed(headers).await;
    wait_until(|| upstream.connections_of("/rwr/load").len() >= PROBES).await;
    assert!(!knows_load(&rig));
    assert_eq!(end_of_call(&rig, "once", "/x").await.0, 200);
}

#[tokio::test]
async fn test_correlation_probe_does_not_believe_copy_of_earlier_response() {
    let (rig, upstream) = scripted(|requests| {
        let request = latest(requests);
        let load = response(200, None, "rwr-load: 0/6\r\n", "");
        let leaving = response(200, None, "rwr-load: 6/6\r\nrwr-leaving: 1\r\n", "");
        match (request.path(), requests.len()) {
            ("/rwr/load", 1) => Reply(load, false),
            ("/rwr/load", _) => Reply(leaving + &load, false),
            _ => Reply(own_answer(request), false),
        }
    })
    .await;
    rig.directory
        .change_limits(|limits| limits.probe_millis = 1_000_000);
    wait_until(|| upstream.connections_of("/rwr/load").len() >= PROBES).await;
    assert_eq!(end_of_call(&rig, "once", "/x").await.0, 200);
}
