//! Effects of each fault on responses and on the recorded runs.

use std::time::Duration;

use base::header;
use base::prelude::*;
use reqwest::Client;
use reqwest::Response;
use standin::Fault;
use standin::FaultKind;
use standin::RunState;
use standin::Settings;
use standin::StandIn;
use standin::archive;

fn settings() -> Settings {
    let mut settings = Settings::new(
        ServiceName::new("grants").unwrap(),
        InstanceId::new("grants-1").unwrap(),
        DomainName::new("milano").unwrap(),
    );
    settings.time = Duration::from_millis(1);
    settings.archive.0 = 100_000;
    settings
}

async fn start(settings: Settings) -> StandIn {
    standin::start(settings, telemetry::log::silent())
        .await
        .unwrap()
}

fn url(upstream: &StandIn, path: &str) -> String {
    format!("http://{}{path}", upstream.address())
}

async fn grant(upstream: &StandIn, key: &str) -> reqwest::Result<Response> {
    Client::new()
        .post(url(upstream, "/grant"))
        .header(header::IDEMPOTENCY_KEY, key)
        .header(header::REQUEST_ID, key)
        .body("block 7")
        .send()
        .await
}

fn header_text<'a>(response: &'a Response, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |v| v.to_str().unwrap())
}

#[tokio::test]
async fn test_faults_answered() {
    struct Case {
        kind: FaultKind,
        status: u16,
        shed: &'static str,
        states: &'static [RunState],
    }
    let cases = [
        Case {
            kind: FaultKind::None,
            status: 200,
            shed: "",
            states: &[RunState::Done],
        },
        Case {
            kind: FaultKind::Slow,
            status: 200,
            shed: "",
            states: &[RunState::Done],
        },
        Case {
            kind: FaultKind::Late,
            status: 200,
            shed: "",
            states: &[RunState::Done],
        },
        Case {
            kind: FaultKind::Fail,
            status: 500,
            shed: "",
            states: &[RunState::Failed],
        },
        Case {
            kind: FaultKind::Shed,
            status: 503,
            shed: "1",
            states: &[],
        },
    ];
    for case in cases {
        let upstream = start(settings()).await;
        let mut fault = Fault::new(case.kind);
        fault.delay_ms = 5;
        upstream.set_fault(fault);
        let response = grant(&upstream, "k1").await.unwrap();
        assert_eq!(response.status(), case.status, "{}", case.kind);
        assert_eq!(
            header_text(&response, header::SHED),
            case.shed,
            "{}",
            case.kind
        );
        assert_eq!(header_text(&response, header::LOAD), "0/6", "{}", case.kind);
        let runs = upstream.runs().with_key("k1");
        let states: Vec<RunState> = runs.iter().map(|r| r.state).collect();
        assert_eq!(states, case.states, "{}", case.kind);
    }
}

#[tokio::test]
async fn test_faults_rest_and_leaving() {
    let upstream = start(settings()).await;
    let mut fault = Fault::new(FaultKind::Rest);
    fault.factor = 3;
    upstream.set_fault(fault);
    let refused = grant(&upstream, "k1").await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(header_text(&refused, header::SHED), "1");
    assert_eq!(header_text(&refused, header::RETRY_AFTER), "3");
    assert_eq!(header_text(&refused, header::LEAVING), "");
    upstream.set_fault(Fault::new(FaultKind::Leaving));
    let answered = grant(&upstream, "k1").await.unwrap();
    assert_eq!(answered.status(), 200);
    assert_eq!(header_text(&answered, header::LEAVING), "1");
    assert_eq!(upstream.runs().with_key("k1").len(), 1);
}

#[tokio::test]
async fn test_faults_short_body() {
    let upstream = start(settings()).await;
    upstream.set_fault(Fault::new(FaultKind::Short));
    for path in ["/grant", "/archive/1970"] {
        let response = reqwest::get(url(&upstream, path)).await.unwrap();
        assert_eq!(response.status(), 200, "{path}");
        assert!(response.content_length().unwrap() > 0, "{path}");
        assert!(response.bytes().await.is_err(), "{path}");
    }
}

#[tokio::test]
async fn test_faults_crossed_id() {
    let upstream = start(settings()).await;
    let response = grant(&upstream, "k1").await.unwrap();
    assert_eq!(header_text(&response, header::REQUEST_ID), "k1");
    upstream.set_fault(Fault::new(FaultKind::Crossed));
    let response = grant(&upstream, "k2").await.unwrap();
    assert_eq!(header_text(&response, header::REQUEST_ID), "k1");
}

#[tokio::test]
async fn test_faults_cancelled_when_closed() {
    // When the connection closes, the request is cancelled only if `cancel` is set.
    let cases = [
        (FaultKind::Stall, true, RunState::Cancelled),
        (FaultKind::Hold, true, RunState::Cancelled),
        (FaultKind::Hold, false, RunState::Done),
    ];
    for (kind, cancel, state) in cases {
        let mut settings = settings();
        settings.cancel = cancel;
        let upstream = start(settings).await;
        upstream.set_fault(Fault::new(kind));
        tokio::select! {
            _ = grant(&upstream, "k1") => panic!("answered under {kind}"),
            () = upstream.runs().wait(|runs| runs.len() == 1) => {}
        }
        if !cancel {
            upstream.set_fault(Fault::default());
        }
        upstream.runs().wait(|runs| runs[0].state == state).await;
    }
}

#[tokio::test]
async fn test_faults_hold_released() {
    let upstream = start(settings()).await;
    upstream.set_fault(Fault::new(FaultKind::Hold));
    let release = async {
        upstream.runs().wait(|runs| runs.len() == 1).await;
        upstream.set_fault(Fault::default());
    };
    let (response, ()) = tokio::join!(grant(&upstream, "k1"), release);
    assert_eq!(response.unwrap().status(), 200);
}

#[tokio::test]
async fn test_faults_deadline() {
    let upstream = start(settings()).await;
    upstream.set_fault(Fault::new(FaultKind::Stall));
    let ask = |deadline: &'static str| {
        let request = Client::new().get(url(&upstream, "/status"));
        request.header(header::DEADLINE, deadline).send()
    };
    assert_eq!(ask("soon").await.unwrap().status(), 400);
    assert_eq!(upstream.runs().all().len(), 0);
    assert_eq!(ask("20").await.unwrap().status(), 504);
    assert_eq!(upstream.runs().all()[0].state, RunState::Expired);
}

#[tokio::test]
async fn test_faults_queue_full_is_shed() {
    let mut settings = settings();
    settings.slots = 1;
    settings.queue = 0;
    let upstream = start(settings).await;
    upstream.set_fault(Fault::new(FaultKind::Hold));
    let second = async {
        upstream.runs().wait(|runs| runs.len() == 1).await;
        let response = grant(&upstream, "k2").await.unwrap();
        upstream.set_fault(Fault::default());
        response
    };
    let (first, second) = tokio::join!(grant(&upstream, "k1"), second);
    assert_eq!(first.unwrap().status(), 200);
    assert_eq!(second.status(), 503);
    assert_eq!(header_text(&second, header::SHED), "1");
    assert!(upstream.runs().with_key("k2").is_empty());
}

#[tokio::test]
async fn test_faults_switched_over_http() {
    let upstream = start(settings()).await;
    let switch = |body: &'static str| {
        let request = Client::new().post(url(&upstream, "/standin/fault"));
        request.body(body).send()
    };
    assert_eq!(switch("{\"kind\":\"shed\"}").await.unwrap().status(), 200);
    assert_eq!(grant(&upstream, "k1").await.unwrap().status(), 503);
    assert_eq!(switch("{\"kind\":\"odd\"}").await.unwrap().status(), 400);
    assert_eq!(switch("{\"kind\":\"none\"}").await.unwrap().status(), 200);
    assert_eq!(grant(&upstream, "k1").await.unwrap().status(), 200);
    let record = reqwest::get(url(&upstream, "/standin/runs")).await.unwrap();
    let record = record.text().await.unwrap();
    assert!(record.contains("\"key\":\"k1\""), "{record}");
}

#[tokio::test]
async fn test_archive_ranges() {
    let cases: [(&str, u16, std::ops::Range<u64>); 5] = [
        ("", 200, 0..100_000),
        ("bytes=0-", 206, 0..100_000),
        ("bytes=50000-", 206, 50_000..100_000),
        ("bytes=10-19", 206, 10..20),
        ("bytes=99990-200000", 206, 99_990..100_000),
    ];
    let upstream = start(settings()).await;
    for (range, status, expected) in cases {
        let mut request = Client::new().get(url(&upstream, "/archive/1970"));
        if !range.is_empty() {
            request = request.header("range", range);
        }
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), status, "{range}");
        let body = response.bytes().await.unwrap();
        assert_eq!(body, archive::bytes("/archive/1970", expected), "{range}");
    }
    let request = Client::new().get(url(&upstream, "/archive/1970"));
    let response = request.header("range", "bytes=100000-").send().await;
    assert_eq!(response.unwrap().status(), 416);
}

#[tokio::test]
async fn test_probe_counted_and_killed() {
    let mut settings = settings();
    settings.probe = Duration::from_millis(5);
    let upstream = start(settings).await;
    let probe = url(&upstream, "/rwr/load");
    let response = reqwest::get(&probe).await.unwrap();
    assert_eq!(header_text(&response, header::LOAD), "0/6");
    assert_eq!(upstream.probes(), 1);
    upstream.kill();
    tokio::task::yield_now().await;
    assert!(reqwest::get(&probe).await.is_err());
}

#[tokio::test]
async fn test_request_for_another_incarnation_is_not_run() {
    let upstream = start(settings()).await;
    let send = async |expected: Option<&str>| {
        let mut request = Client::new().get(url(&upstream, "/blocks/7"));
        if let Some(expected) = expected {
            request = request.header(header::EXPECTED_INSTANCE, expected);
        }
        request.send().await.unwrap()
    };
    let response = send(None).await;
    assert_eq!(response.status(), 200);
    let incarnation = header_text(&response, header::INSTANCE);
    assert_eq!(send(Some(incarnation)).await.status(), 200);
    let earlier = send(Some("another:1")).await;
    assert_eq!(earlier.status(), 421);
    assert_eq!(header_text(&earlier, header::SHED), "1");
    assert_eq!(upstream.runs().all().len(), 2);
}

#[tokio::test]
async fn test_ill_fails_probes_and_serves_requests() {
    let upstream = start(settings()).await;
    upstream.set_fault(Fault::new(FaultKind::Ill));
    let probe = reqwest::get(url(&upstream, "/rwr/load")).await.unwrap();
    assert_eq!(probe.status(), 503);
    assert_eq!(grant(&upstream, "k1").await.unwrap().status(), 200);
}
