//! Guards against a non-idempotent request that runs twice when it is resent through
//! another gateway, also if the first gateway is killed at some point of the call.

use std::time::Duration;

use base::prelude::*;
use standin::Fault;
use standin::FaultKind;
use standin::Run;
use standin::RunState;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;
use testutils::system::wait;
use tokio::task::JoinHandle;

/// Deadline of each request; a claim is held a few seconds longer.
const DEADLINE: Duration = Duration::from_secs(5);
/// Index of the gateway that gets the first send.
const FIRST: usize = 0;
/// Index of the gateway that gets the resends.
const SECOND: usize = 1;

/// Point of the first send at which the grant is resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    /// While the upstream runs the request.
    Running,
    /// After the upstream has completed the request.
    Done,
    /// After the first gateway was killed before the request reached the upstream.
    KilledBefore,
    /// After the first gateway was killed while the upstream ran the request.
    KilledDuring,
    /// After the first gateway was killed between the end of the run and the response.
    KilledAfter,
}

/// Final reply that the resending caller must get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The response of the first run.
    Answer,
    /// The outcome `Unknown`.
    Unknown,
    /// Either of these.
    Either,
}

struct Case {
    point: Point,
    runs: std::ops::RangeInclusive<usize>,
    expected: Expected,
}

const CASES: [Case; 5] = [
    Case {
        point: Point::Running,
        runs: 1..=1,
        expected: Expected::Answer,
    },
    Case {
        point: Point::Done,
        runs: 1..=1,
        expected: Expected::Answer,
    },
    Case {
        point: Point::KilledBefore,
        runs: 0..=1,
        expected: Expected::Either,
    },
    Case {
        point: Point::KilledDuring,
        runs: 1..=1,
        expected: Expected::Unknown,
    },
    Case {
        point: Point::KilledAfter,
        runs: 1..=1,
        expected: Expected::Unknown,
    },
];

struct Trial {
    system: System,
    upstream: Upstream,
    request: Request,
}

impl Trial {
    async fn start() -> Self {
        let mut system = System::start(3, 2, &services::all()).await.unwrap();
        let mut settings = system.plan.standin(services::GRANTS, 0);
        // Runs are not cancelled with the connection, so that a second run would show.
        settings.cancel = false;
        let upstream = system.start_upstream(&settings).await.unwrap();
        let request = Request::post(services::GRANTS, "/grants", "block 7");
        let request = request.keyed(&testutils::new_key()).within(DEADLINE);
        Self {
            system,
            upstream,
            request,
        }
    }

    fn send(&self, entry: usize) -> JoinHandle<Reply> {
        let (gateway, request) = (self.system.gateway(entry), self.request.clone());
        tokio::spawn(async move { Caller::new().call(gateway, &request).await })
    }

    async fn fault(&self, kind: FaultKind) {
        self.upstream.set_fault(Fault::new(kind)).await.unwrap();
    }

    async fn wait_run(&self, state: RunState) {
        let has_state = |runs: &[Run]| runs.iter().any(|run| run.state == state);
        self.upstream
            .wait("run", |record| has_state(&record.runs))
            .await
            .unwrap();
    }

    async fn kill_first(&mut self) {
        let process = self.system.gateways[FIRST].take().unwrap();
        process.kill().await.unwrap();
    }

    /// Brings the first send to `point`; returns its task if a reply is still expected.
    async fn reach(&mut self, point: Point) -> Option<JoinHandle<Reply>> {
        match point {
            Point::Running => {
                self.fault(FaultKind::Hold).await;
                let first = self.send(FIRST);
                self.wait_run(RunState::Running).await;
                Some(first)
            }
            Point::Done => {
                let first = self.send(FIRST);
                self.wait_run(RunState::Done).await;
                Some(first)
            }
            Point::KilledBefore => {
                self.upstream.process.freeze().unwrap();
                let gateway = self.system.gateways[FIRST].as_ref().unwrap();
                let first = self.send(FIRST);
                gateway
                    .wait_line(|l| l.contains("msg=claim") && l.contains("found=granted"))
                    .await
                    .unwrap();
                self.kill_first().await;
                let first_reply = first.await.unwrap();
                assert!(!first_reply.is_ok(), "{first_reply:?}");
                self.upstream.process.resume().unwrap();
                None
            }
            Point::KilledDuring => {
                self.fault(FaultKind::Hold).await;
                let first = self.send(FIRST);
                self.wait_run(RunState::Running).await;
                self.kill_first().await;
                assert!(!first.await.unwrap().is_ok());
                self.fault(FaultKind::None).await;
                self.wait_run(RunState::Done).await;
                None
            }
            Point::KilledAfter => {
                let mut late = Fault::new(FaultKind::Late);
                late.delay_ms = 60_000;
                self.upstream.set_fault(late).await.unwrap();
                let first = self.send(FIRST);
                self.wait_run(RunState::Done).await;
                self.kill_first().await;
                assert!(!first.await.unwrap().is_ok());
                self.fault(FaultKind::None).await;
                None
            }
        }
    }

    /// Resends until the reply is final; returns all replies.
    async fn resend(&self) -> Vec<Reply> {
        let replies = std::sync::Mutex::new(vec![]);
        wait("settled key", async || {
            let reply = self.send(SECOND).await.unwrap();
            let settled = reply.reason != "in-flight" && reply.outcome != Some(Outcome::NotRun);
            replies.lock().unwrap().push(reply);
            settled
        })
        .await
        .unwrap();
        replies.into_inner().unwrap()
    }
}

async fn run(case: &Case) {
    let point = case.point;
    let mut trial = Trial::start().await;
    let key = trial.request.key.clone().unwrap();
    let first = trial.reach(point).await;
    if point == Point::Running {
        let reply = trial.send(SECOND).await.unwrap();
        assert_eq!(reply.outcome, Some(Outcome::Unknown), "{point:?} {reply:?}");
        assert_eq!(reply.reason, "in-flight", "{point:?}");
        assert!(reply.retry_after.is_some(), "{point:?}");
        trial.fault(FaultKind::None).await;
    }
    let first = match first {
        Some(first) => Some(first.await.unwrap()),
        None => None,
    };
    let replies = trial.resend().await;
    let last = replies.last().unwrap();

    let runs = trial.upstream.runs_of(&key).await;
    assert!(case.runs.contains(&runs.len()), "{point:?} {runs:?}");
    match case.expected {
        Expected::Answer => assert!(last.is_ok(), "{point:?} {last:?}"),
        Expected::Unknown => assert_eq!(last.outcome, Some(Outcome::Unknown), "{point:?}"),
        Expected::Either => {
            let unknown = last.outcome == Some(Outcome::Unknown);
            assert!(last.is_ok() || unknown, "{point:?} {last:?}");
        }
    }
    if let Some(first) = first {
        assert!(first.is_ok(), "{point:?} {first:?}");
        assert_eq!(first.receipt(), last.receipt(), "{point:?}");
    }
    // A reply of `NotRun` must not be followed by more than one run.
    let claimed_not_run = replies.iter().any(|r| r.outcome == Some(Outcome::NotRun));
    assert!(!claimed_not_run || runs.len() <= 1, "{point:?} {replies:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_once_resent_while_running() {
    run(&CASES[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_once_resent_after_done() {
    run(&CASES[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_once_gateway_killed_before() {
    run(&CASES[2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_once_gateway_killed_during() {
    run(&CASES[3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_once_gateway_killed_after() {
    run(&CASES[4]).await;
}
