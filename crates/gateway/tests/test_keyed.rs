//! Guards against keyed requests of class once that run twice or whose outcome is
//! reported wrongly.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use gateway::body::RequestBody;
use gateway::call;
use gateway::refusal::Reason;
use gateway::request_head::RequestHead;
use gateway::suspects::RequestIdentity;
use http::HeaderMap;
use http::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use wire::ledger::Settled;

use crate::fakes::Rig;
use crate::fakes::control::FakeControl;
use crate::fakes::header;
use crate::fakes::ready;
use crate::fakes::rig;
use crate::fakes::settings;
use crate::fakes::wait_until;

fn keyed_request(rig: &Rig, key: &str, path: &str) -> RequestBuilder {
    rig.post("once", path)
        .header("rwr-caller", "planner")
        .header("idempotency-key", key)
}

/// Sends a request and returns the parts of its response.
async fn send(request: RequestBuilder) -> (u16, String, String, String) {
    response_parts(request.send().await.expect("a response")).await
}

/// Status, outcome, reason and body of a response.
async fn response_parts(response: Response) -> (u16, String, String, String) {
    let status = response.status().as_u16();
    let outcome = header(&response, "rwr-outcome");
    let reason = header(&response, "rwr-reason");
    let body = response.text().await.unwrap_or_else(|_| "broken".into());
    (status, outcome, reason, body)
}

/// Responses to a request and its resend for one behaviour of the upstream.
struct Case {
    path: &'static str,
    first: (u16, &'static str, &'static str),
    settled: Settled,
    second: (u16, &'static str, &'static str),
    runs: usize,
}

const CASES: [Case; 7] = [
    Case {
        path: "/ok",
        first: (200, "", ""),
        settled: Settled::Done,
        second: (200, "", ""),
        runs: 1,
    },
    Case {
        path: "/error",
        first: (500, "", ""),
        settled: Settled::Done,
        second: (500, "", ""),
        runs: 1,
    },
    Case {
        path: "/close",
        first: (502, "unknown", "no-answer"),
        settled: Settled::Unknown,
        second: (409, "unknown", "forgotten"),
        runs: 1,
    },
    Case {
        path: "/short",
        first: (502, "unknown", "short-body"),
        settled: Settled::Unknown,
        second: (409, "unknown", "forgotten"),
        runs: 1,
    },
    Case {
        path: "/foreign",
        first: (502, "unknown", "mismatch"),
        settled: Settled::Unknown,
        second: (409, "unknown", "forgotten"),
        runs: 1,
    },
    Case {
        path: "/unframed",
        first: (502, "unknown", "no-answer"),
        settled: Settled::Unknown,
        second: (409, "unknown", "forgotten"),
        runs: 1,
    },
    Case {
        path: "/large",
        first: (200, "", ""),
        settled: Settled::Done,
        second: (409, "unknown", "not-kept"),
        runs: 1,
    },
];

#[tokio::test]
async fn test_keyed_resend() {
    for case in CASES {
        let control = FakeControl::start().await;
        let rig = rig(&[control.address], |_| {}).await;
        let first = send(keyed_request(&rig, "k", case.path)).await;
        assert_eq!((first.0, &*first.1, &*first.2), case.first, "{}", case.path);
        wait_until(|| control.settled("k") == Some(case.settled)).await;
        let second = send(keyed_request(&rig, "k", case.path)).await;
        let head = (second.0, &*second.1, &*second.2);
        assert_eq!(head, case.second, "{}", case.path);
        if second.0 == first.0 {
            assert_eq!(second.3, first.3, "{}", case.path);
        }
        assert_eq!(rig.upstream.received().len(), case.runs, "{}", case.path);
    }
}

#[tokio::test]
async fn test_keyed_shed_may_run_again() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    for _ in 0..2 {
        let shed = send(keyed_request(&rig, "k", "/shed")).await;
        assert_eq!((shed.0, &*shed.1, &*shed.2), (503, "not-run", "shed"));
        wait_until(|| control.settled("k") == Some(Settled::NotRun)).await;
    }
}

#[tokio::test]
async fn test_keyed_resend_through_another_gateway() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    let other = ready(settings(&[rig.directory.address], &[control.address])).await;
    let first = send(keyed_request(&rig, "k", "/echo").body("block 7")).await;
    let second = fakes::client()
        .post(format!("http://{}/echo", other.http()))
        .header("rwr-service", "once")
        .header("rwr-caller", "planner")
        .header("idempotency-key", "k")
        .body("block 7");
    let second = send(second).await;
    assert_eq!(first, second);
    assert_eq!(first.3, "block 7");
    assert_eq!(rig.upstream.received().len(), 1);
}

#[tokio::test]
async fn test_keyed_resend_while_it_runs() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    let first = tokio::spawn(keyed_request(&rig, "k", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    let second = keyed_request(&rig, "k", "/hold")
        .send()
        .await
        .expect("a response");
    // The header has whole seconds, so 1.5 s is rounded up.
    assert_eq!(header(&second, "retry-after"), "2");
    let second = response_parts(second).await;
    assert_eq!(
        (second.0, &*second.1, &*second.2),
        (409, "unknown", "in-flight")
    );
    rig.upstream.release.notify_one();
    let first = first.await.expect("no panic").expect("a response");
    assert_eq!(response_parts(first).await.3, "held");
    assert_eq!(rig.upstream.received().len(), 1);
}

#[tokio::test]
async fn test_keyed_other_request_with_same_key() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    keyed_request(&rig, "k", "/ok")
        .send()
        .await
        .expect("a response");
    let body = keyed_request(&rig, "k", "/ok").body("other");
    let target = keyed_request(&rig, "k", "/ok?x=1");
    for changed in [body, target] {
        let response = send(changed).await;
        assert_eq!(
            (response.0, &*response.1, &*response.2),
            (422, "not-run", "key-reused")
        );
    }
    assert_eq!(rig.upstream.received().len(), 1);
}

#[tokio::test]
async fn test_keyed_without_ledger() {
    let control = FakeControl::start().await;
    control.state.lock().expect("no panic").unreachable = true;
    let rig = rig(&[control.address], |_| {}).await;
    let response = keyed_request(&rig, "k", "/ok")
        .send()
        .await
        .expect("a response");
    assert!(!header(&response, "retry-after").is_empty());
    let response = response_parts(response).await;
    assert_eq!(
        (response.0, &*response.1, &*response.2),
        (503, "not-run", "ledger")
    );
    assert_eq!(rig.upstream.received().len(), 0);
}

#[tokio::test]
async fn test_keyed_claim_answer_lost() {
    let first = FakeControl::start().await;
    let second = FakeControl::with(first.state.clone()).await;
    first.state.lock().expect("no panic").lose_answer = true;
    let rig = rig(&[first.address, second.address], |_| {}).await;
    let response = send(keyed_request(&rig, "k", "/ok")).await;
    assert_eq!(response.0, 200);
    assert_eq!(rig.upstream.received().len(), 1);
    assert_eq!(first.state.lock().expect("no panic").claims, 2);
}

#[tokio::test]
async fn test_keyed_stored_response_corrupted() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    keyed_request(&rig, "k", "/ok")
        .send()
        .await
        .expect("a response");
    {
        let mut state = control.state.lock().expect("no panic");
        let settle = state.records.get_mut("k").and_then(|r| r.settle.as_mut());
        let response = settle
            .and_then(|s| s.answer.as_mut())
            .expect("a stored response");
        response.body = "no".into();
    }
    let response = send(keyed_request(&rig, "k", "/ok")).await;
    assert_eq!((response.0, &*response.1), (502, "unknown"));
}

#[tokio::test]
async fn test_keyed_caller_leaving() {
    let control = FakeControl::start().await;
    let rig = rig(&[control.address], |_| {}).await;
    let first = tokio::spawn(keyed_request(&rig, "k", "/hold").send());
    wait_until(|| rig.upstream.received().len() == 1).await;
    first.abort();
    let _ = first.await;
    rig.upstream.release.notify_one();
    wait_until(|| control.settled("k") == Some(Settled::Done)).await;
    let again = send(keyed_request(&rig, "k", "/hold")).await;
    assert_eq!((again.0, &*again.3), (200, "held"));
    assert_eq!(rig.upstream.received().len(), 1);
}

#[tokio::test]
async fn test_keyed_claim_expired() {
    let rig = rig(&[], |_| {}).await;
    let core = rig.gateway.core().clone();
    let now = core.clock.now();
    let mut headers = HeaderMap::new();
    headers.insert("rwr-service", "once".parse().expect("a value"));
    let max_deadline = Duration::from_mins(1);
    let head = RequestHead::parse(
        Arc::from("id"),
        now,
        &core.view(),
        max_deadline,
        &Method::POST,
        &headers,
    )
    .expect("a valid head");
    let balancer = core.balancers.get(&head.service.name).expect("a balancer");
    let request = call::Request {
        identity: RequestIdentity::new(&head, None, "POST", "/ok", b""),
        head,
        client: core.callers.unconnected(),
        method: Method::POST,
        target: Arc::from("/ok"),
        headers,
        body: RequestBody::Buffered(bytes::Bytes::new()),
        // As after a pause of the process between the claim and the attempt.
        claim_expires_at: Some(now),
        permit: None,
    };
    let response = call::start(core, balancer, request)
        .await
        .expect("a response");
    let refusal = response.err().expect("a refusal");
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (Outcome::NotRun, Reason::Hold)
    );
    assert_eq!(rig.upstream.received().len(), 0);
}
