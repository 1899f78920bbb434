//! A grant sent again through another gateway, with real processes killed
//! at chosen points: the upstreams' own records show at most one run.

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

/// Deadline of each send; a claim is held a few seconds longer.
const DEADLINE: Duration = Duration::from_secs(5);
/// The gateway of the first send.
const FIRST: usize = 0;
/// The gateway of the resend.
const SECOND: usize = 1;

/// When the grant is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    /// While the first run is under way.
    Running,
    /// After the first send was answered.
    Done,
    /// After the first gateway was killed before its request reached the upstream.
    KilledBefore,
    /// After it was killed while the upstream ran.
    KilledDuring,
    /// After it was killed between the upstream's run and its answer.
    KilledAfter,
}

/// What the caller must learn from the resend in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Learns {
    /// The first run's answer.
    Answer,
    /// That nobody can tell.
    Unknown,
    /// Either the answer or that nobody can tell.
    Either,
}

struct Case {
    point: Point,
    runs: std::ops::RangeInclusive<usize>,
    learns: Learns,
}

const CASES: [Case; 5] = [
    Case {
        point: Point::Running,
        runs: 1..=1,
        learns: Learns::Answer,
    },
    Case {
        point: Point::Done,
        runs: 1..=1,
        learns: Learns::Answer,
    },
    Case {
        point: Point::KilledBefore,
        runs: 0..=1,
        learns: Learns::Either,
    },
    Case {
        point: Point::KilledDuring,
        runs: 1..=1,
        learns: Learns::Unknown,
    },
    Case {
        point: Point::KilledAfter,
        runs: 1..=1,
        learns: Learns::Unknown,
    },
];

struct Trial {
    system: System,
    upstream: Upstream,
    ask: Request,
}

impl Trial {
    async fn start() -> Self {
        let mut system = System::start(3, 2, &services::all()).await.unwrap();
        let mut settings = system.plan.standin(services::GRANTS, 0);
        // It finishes what it began, so that nothing hides a second run.
        settings.cancel = false;
        let upstream = system.start_upstream(&settings).await.unwrap();
        let ask = Request::post(services::GRANTS, "/grants", "block 7");
        let ask = ask.keyed(&testutils::new_key()).within(DEADLINE);
        Self {
            system,
            upstream,
            ask,
        }
    }

    fn send(&self, entry: usize) -> JoinHandle<Reply> {
        let (gateway, ask) = (self.system.gateway(entry), self.ask.clone());
        tokio::spawn(async move { Caller::new().call(gateway, &ask).await })
    }

    async fn fault(&self, kind: FaultKind) {
        self.upstream.set_fault(Fault::new(kind)).await.unwrap();
    }

    async fn wait_run(&self, state: RunState) {
        let begun = |runs: &[Run]| runs.iter().any(|run| run.state == state);
        self.upstream
            .wait("run", |record| begun(&record.runs))
            .await
            .unwrap();
    }

    async fn kill_first(&mut self) {
        let process = self.system.gateways[FIRST].take().unwrap();
        process.kill().await.unwrap();
    }

    /// Brings the first send to `point`; its reply, when it has one.
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
                let claimed = self.system.gateways[FIRST].as_ref().unwrap();
                let first = self.send(FIRST);
                claimed
                    .wait_line(|l| l.contains("msg=claim") && l.contains("found=granted"))
                    .await
                    .unwrap();
                self.kill_first().await;
                let lost = first.await.unwrap();
                assert!(!lost.is_ok(), "{lost:?}");
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

    /// Sends again until the reply says more than that the key is in flight.
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
    let key = trial.ask.key.clone().unwrap();
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
    match case.learns {
        Learns::Answer => assert!(last.is_ok(), "{point:?} {last:?}"),
        Learns::Unknown => assert_eq!(last.outcome, Some(Outcome::Unknown), "{point:?}"),
        Learns::Either => {
            let unknown = last.outcome == Some(Outcome::Unknown);
            assert!(last.is_ok() || unknown, "{point:?} {last:?}");
        }
    }
    if let Some(first) = first {
        assert!(first.is_ok(), "{point:?} {first:?}");
        assert_eq!(first.receipt(), last.receipt(), "{point:?}");
    }
    // Whoever was told that it was not run was told the truth.
    let told = replies.iter().any(|r| r.outcome == Some(Outcome::NotRun));
    assert!(!told || runs.len() <= 1, "{point:?} {replies:?}");
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
