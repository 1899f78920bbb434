//! Each promise, held by good evidence and broken by one bad piece of it.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use demo::promise::Evidence;
use demo::promise::Probes;
use demo::promise::Promise;
use demo::promise::judge;
use demo::traffic::Record;
use demo::traffic::Shape;
use demo::traffic::ask;
use demo::watch::Seen;
use standin::Run;
use standin::RunState;
use testutils::Reply;
use testutils::caller::End;
use testutils::services;
use tokio::time::Instant;

const SPAN: Duration = Duration::from_millis(5);

fn record(service: &'static str, class: Class, number: usize) -> Record {
    let shape = Shape {
        service,
        class,
        caller: "planner",
        pause: SPAN,
    };
    let ask = ask(shape, number);
    let body = format!(
        "{{\"service\":\"s\",\"instance\":\"i\",\"run\":1,\"key\":\"{}\",\"caller\":\"planner\",\"path\":\"{}\",\"echo\":\"{}\"}}",
        ask.key.clone().unwrap_or_default(),
        ask.path,
        ask.body
    );
    let reply = Reply {
        status: 200,
        body,
        end: End::Whole,
        ..Reply::default()
    };
    Record {
        shape,
        ask,
        gateway: None,
        reply,
        begin: Instant::now(),
        took: SPAN,
    }
}

fn run(record: &Record) -> Run {
    Run {
        number: 1,
        key: record.ask.key.clone().unwrap_or_default(),
        caller: "planner".into(),
        path: record.ask.path.clone(),
        request: String::new(),
        attempt: "1".into(),
        drained_ms: Some(100),
        state: RunState::Done,
    }
}

/// Evidence by which every promise is held.
fn good() -> Evidence {
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
    let seen = Seen {
        looks: 1,
        ..Seen::default()
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
        seen,
        during_stop: 1,
    }
}

fn runs<'a>(evidence: &'a mut Evidence, service: &str) -> &'a mut Vec<Run> {
    evidence.runs.get_mut(&format!("{service}-0")).unwrap()
}

type Spoil = fn(&mut Evidence);

const CASES: [(Promise, Spoil); 13] = [
    (Promise::Budget, |e| e.probes[0].count = 6),
    (Promise::Own, |e| e.records[0].ask.body = "another's".into()),
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
    (Promise::Stop, |e| e.records[0].reply.end = End::Cut),
    (Promise::Stop, |e| e.during_stop = 0),
    (Promise::InForce, |e| {
        e.in_force = Some(Duration::from_secs(5));
    }),
    (Promise::InForce, |e| e.in_force = None),
    (Promise::NoRevert, |e| {
        let directory = "127.0.0.1:1".parse().unwrap();
        e.seen.note(directory, "entry-0", 2);
        e.seen.note(directory, "entry-0", 1);
    }),
    (Promise::Served, |e| e.after_kill[0].reply.status = 500),
];

#[tokio::test]
async fn test_promise_all_held() {
    for judgement in judge(&good()) {
        assert!(judgement.held(), "{judgement} {:?}", judgement.broken);
    }
}

#[tokio::test]
async fn test_promise_broken() {
    for (promise, spoil) in CASES {
        let mut evidence = good();
        spoil(&mut evidence);
        let judgements = judge(&evidence);
        let judgement = judgements.iter().find(|j| j.promise == promise).unwrap();
        assert!(!judgement.held(), "{judgement}");
    }
}
