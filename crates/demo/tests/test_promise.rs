//! Guards against checks of promises that miss a violation, or report one without cause.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use demo::promise::Evidence;
use demo::promise::Probes;
use demo::promise::Promise;
use demo::promise::check;
use demo::traffic::Record;
use demo::traffic::Workload;
use demo::traffic::request;
use demo::watch::VersionHistory;
use standin::Run;
use standin::RunState;
use testutils::Reply;
use testutils::caller::Delivery;
use testutils::services;
use tokio::time::Instant;

const LATENCY: Duration = Duration::from_millis(5);

fn record(service: &'static str, class: Class, number: usize) -> Record {
    let workload = Workload {
        service,
        class,
        caller: "planner",
        pause: LATENCY,
    };
    let request = request(workload, number);
    let body = format!(
        "{{\"service\":\"s\",\"instance\":\"i\",\"run\":1,\"key\":\"{}\",\"caller\":\"planner\",\"path\":\"{}\",\"echo\":\"{}\"}}",
        request.key.clone().unwrap_or_default(),
        request.path,
        request.body
    );
    let reply = Reply {
        status: 200,
        body,
        delivery: Delivery::Complete,
        ..Reply::default()
    };
    Record {
        workload,
        request,
        gateway: None,
        reply,
        started_at: Instant::now(),
        latency: LATENCY,
    }
}

fn run(record: &Record) -> Run {
    Run {
        number: 1,
        key: record.request.key.clone().unwrap_or_default(),
        caller: "planner".into(),
        workspace: String::new(),
        authorization: String::new(),
        path: record.request.path.clone(),
        request: String::new(),
        attempt: "1".into(),
        drained_ms: Some(100),
        state: RunState::Done,
    }
}

/// Evidence for which every promise holds.
fn valid_evidence() -> Evidence {
    let grant = record(services::GRANTS, Class::Once, 1);
    let change = record(services::CANCELLATIONS, Class::Durable, 1);
    let mut refused = record(services::DRAWINGS, Class::Once, 1);
    refused.reply.status = 503;
    refused.reply.outcome = Some(Outcome::NotRun);
    let runs = BTreeMap::from([
        (format!("{}-0", services::GRANTS), vec![run(&grant)]),
        (format!("{}-0", services::CANCELLATIONS), vec![run(&change)]),
        (format!("{}-0", services::DRAWINGS), vec![]),
    ]);
    let versions = VersionHistory {
        observations: 1,
        ..VersionHistory::default()
    };
    Evidence {
        after_kill: vec![grant.clone()],
        records: vec![grant, change, refused],
        runs,
        probes: vec![Probes {
            instance: "i".into(),
            count: 5,
            budget: 5,
        }],
        drained: format!("{}-0", services::CANCELLATIONS),
        drained_for: Duration::from_secs(6),
        archive: 100,
        in_force: Some(Duration::from_secs(4)),
        versions,
        during_stop: 1,
    }
}

fn runs<'a>(evidence: &'a mut Evidence, service: &str) -> &'a mut Vec<Run> {
    evidence.runs.get_mut(&format!("{service}-0")).unwrap()
}

type Violate = fn(&mut Evidence);

const CASES: [(Promise, Violate); 13] = [
    (Promise::Budget, |e| e.probes[0].count = 6),
    (Promise::Own, |e| {
        e.records[0].request.body = "another's".into();
    }),
    (Promise::NotRun, |e| {
        let ran = run(&e.records[2]);
        runs(e, services::DRAWINGS).push(ran);
    }),
    (Promise::Once, |e| {
        let again = run(&e.records[0]);
        runs(e, services::GRANTS).push(again);
    }),
    (Promise::Durable, |e| {
        runs(e, services::CANCELLATIONS)[0].state = RunState::Cancelled;
    }),
    (Promise::Leaving, |e| {
        runs(e, services::CANCELLATIONS)[0].drained_ms = Some(3_001);
    }),
    (Promise::Leaving, |e| e.drained_for = Duration::from_secs(1)),
    (Promise::Stop, |e| {
        e.records[0].reply.delivery = Delivery::Truncated;
    }),
    (Promise::Stop, |e| e.during_stop = 0),
    (Promise::InForce, |e| {
        e.in_force = Some(Duration::from_secs(5));
    }),
    (Promise::InForce, |e| e.in_force = None),
    (Promise::NoRevert, |e| {
        let directory = "127.0.0.1:1".parse().unwrap();
        e.versions.record(directory, "entry-0", 2);
        e.versions.record(directory, "entry-0", 1);
    }),
    (Promise::Served, |e| e.after_kill[0].reply.status = 500),
];

#[tokio::test]
async fn test_promise_all_held() {
    for result in check(&valid_evidence()) {
        assert!(result.holds(), "{result} {:?}", result.broken);
    }
}

#[tokio::test]
async fn test_promise_broken() {
    for (promise, violate) in CASES {
        let mut evidence = valid_evidence();
        violate(&mut evidence);
        let results = check(&evidence);
        let result = results.iter().find(|r| r.promise == promise).unwrap();
        assert!(!result.holds(), "{result}");
    }
}
