//! Guards against requests that run twice, or that are refused as not run though they run, in any
//! order of refusals, copies, responses without an id, cuts and retries.

mod fakes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use futures::future::join_all;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use wire::directory::Phase;

use crate::fakes::Rig;
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

/// Number of orders that are tried.
const ORDERS: u64 = 40;
/// Requests sent in turn, and how many at once.
const ROUNDS: usize = 6;
const AT_ONCE: usize = 3;
/// Statuses that promise that a request hasn't run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What an instance does with a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Answer,
    Refuse,
    /// Refuses it, and sends the refusal twice.
    RefuseTwice,
    /// Sends this before it runs the request and answers.
    Before(Extra),
    /// Runs the request, and sends this instead of an answer.
    Instead(Extra),
    /// Runs the request and closes in the middle of the head.
    Cut(u8),
}

/// Bytes that aren't the response of the latest request.
#[derive(Clone, Copy, Debug)]
enum Extra {
    /// A refusal of the request that the connection carried before, or the same one as there.
    CopyOfRefusal,
    UnnamedRefusal,
    UnnamedStatus(u16),
    UnnamedAnswer,
    CopyOfAnswer,
}

impl Arbitrary for Extra {
    fn arbitrary(g: &mut Gen) -> Self {
        let status = *g.choose(&PROMISES).unwrap_or(&503);
        let all = [
            Self::CopyOfRefusal,
            Self::UnnamedRefusal,
            Self::UnnamedStatus(status),
            Self::UnnamedAnswer,
            Self::CopyOfAnswer,
        ];
        *g.choose(&all).unwrap_or(&Self::CopyOfRefusal)
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Answer,
            1 | 2 => Self::Refuse,
            3 => Self::RefuseTwice,
            4 | 5 => Self::Before(Extra::arbitrary(g)),
            6 => Self::Instead(Extra::arbitrary(g)),
            _ => Self::Cut(u8::arbitrary(g)),
        }
    }
}

impl Extra {
    fn bytes(self, requests: &[ReceivedRequest]) -> String {
        let before = requests.iter().rev().nth(1);
        let id = before.map(ReceivedRequest::id);
        match self {
            Self::CopyOfRefusal => refusal(id),
            Self::UnnamedRefusal => refusal(None),
            Self::UnnamedStatus(status) => response(status, None, "", ""),
            Self::UnnamedAnswer => response(200, None, "", "other"),
            Self::CopyOfAnswer => before.map(own_answer).unwrap_or_default(),
        }
    }
}

/// Instances that follow the steps, and how often they ran each request.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<BTreeMap<String, usize>>>);

impl Runs {
    fn reply(&self, step: Step, requests: &[ReceivedRequest]) -> Reply {
        let request = latest(requests);
        if matches!(step, Step::Refuse | Step::RefuseTwice) {
            let bytes = refusal(Some(request.id()));
            let copies = if matches!(step, Step::Refuse) { 1 } else { 2 };
            return Reply(bytes.repeat(copies), false);
        }
        let mut runs = self.0.lock().expect("no panic");
        *runs.entry(request.path().to_owned()).or_default() += 1;
        let own = own_answer(request);
        match step {
            Step::Before(extra) => Reply(extra.bytes(requests) + &own, false),
            Step::Instead(extra) => Reply(extra.bytes(requests), false),
            Step::Cut(cut) => Reply(own[..usize::from(cut) % own.len()].to_owned(), true),
            _ => Reply(own, false),
        }
    }

    fn of(&self, path: &str) -> usize {
        let runs = self.0.lock().expect("no panic");
        runs.get(path).copied().unwrap_or_default()
    }
}

async fn start_instance(runs: &Runs, steps: &Arc<Mutex<Vec<Step>>>) -> ScriptedUpstream {
    let (runs, steps) = (runs.clone(), steps.clone());
    ScriptedUpstream::start(move |requests| {
        let step = steps.lock().expect("no panic").pop();
        runs.reply(step.unwrap_or(Step::Answer), requests)
    })
    .await
}

/// Calls, and returns whether the response says that the request hasn't run.
async fn is_called_not_run(rig: &Rig, path: &str) -> bool {
    let request = rig.post("once", path).header("rwr-deadline-ms", "200");
    let Ok(response) = request.send().await else {
        return false;
    };
    let is_not_run = header(&response, "rwr-outcome") == "not-run"
        || PROMISES.contains(&response.status().as_u16());
    // A body that breaks off says nothing of the run.
    let _ = response.bytes().await;
    is_not_run
}

async fn check_order(steps: Vec<Step>) {
    let (runs, steps) = (Runs::default(), Arc::new(Mutex::new(steps)));
    let rig = rig(&[], |_| {}).await;
    rig.directory
        .change_limits(|limits| limits.retry_percent = 100);
    let mut listed = Vec::new();
    for id in ["i-2", "i-3"] {
        let upstream = start_instance(&runs, &steps).await;
        listed.push(instance("once", id, upstream.address, Phase::Ready));
    }
    list_instances(&rig, listed).await;
    for round in 0..ROUNDS {
        let paths: Vec<String> = (0..AT_ONCE).map(|n| format!("/{round}/{n}")).collect();
        let calls = paths.iter().map(|path| is_called_not_run(&rig, path));
        let ends = join_all(calls).await;
        for (path, is_not_run) in paths.iter().zip(ends) {
            let count = runs.of(path);
            assert!(count <= 1, "{path} ran {count} times");
            assert!(count == 0 || !is_not_run, "{path} is called not run");
        }
    }
    rig.gateway.core().shut_down();
}

#[test]
fn test_correlation_at_most_one_run_and_none_behind_not_run() {
    fn holds(steps: Vec<Step>) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(check_order(steps));
    }
    QuickCheck::new()
        .tests(ORDERS)
        .quickcheck(holds as fn(Vec<Step>));
}
