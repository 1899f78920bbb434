//! Random cuts between entry processes and instances, while callers send requests.

mod fakes;

use std::env;
use std::sync::Arc;
use std::time::Duration;

use fakes::Fleet;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::proxy::Path;
use fakes::upstream::Behavior;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Names the first seed and the number of seeds, for long runs by hand.
const SEEDS_VARIABLE: &str = "RWR_RELAY_SEEDS";
const PROCESSES: u8 = 4;
const CALLERS: usize = 6;
/// Requests of each caller.
const REQUESTS: usize = 60;
/// Changes of paths in one run.
const CHANGES: usize = 12;
/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(700);

/// A request that was sent, and its response if there was one.
struct Sent {
    id: String,
    once: bool,
    answer: Option<Answer>,
}

/// Sends requests to random processes.
async fn send_requests(fleet: Arc<Fleet>, caller: usize, seed: u64) -> Vec<Sent> {
    let mut rng = SmallRng::seed_from_u64(seed + caller as u64);
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{caller}-{number}");
        let once = rng.random_bool(0.5);
        let entry = fleet.entries.choose(&mut rng).expect("processes");
        let mut connection = Caller::connect(entry.front()).await;
        let path = if once { ONCE } else { READ };
        let calling = async {
            connection.send("POST", path, &id, "the body").await;
            connection.answer().await
        };
        let answer = tokio::time::timeout(PATIENCE, calling).await.ok().flatten();
        sent.push(Sent { id, once, answer });
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    sent
}

/// Cuts and joins the paths of all processes but the last one, in overlapping series.
async fn change_paths(fleet: &Fleet, rng: &mut SmallRng) {
    let paths = [Path::Open, Path::Refused, Path::OldOnly, Path::Hanging];
    for _ in 0..CHANGES {
        let index = rng.random_range(0..fleet.entries.len() - 1);
        let path = paths[rng.random_range(0..paths.len())];
        fleet.set_path_of(index, path).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..150))).await;
    }
}

fn check(fleet: &Fleet, sent: &Sent, seed: u64) {
    let runs = fleet.runs(&sent.id);
    let (id, status) = (&sent.id, sent.answer.as_ref().map(|answer| answer.status));
    if sent.once {
        assert!(runs <= 1, "seed {seed}, {id}: {runs} runs");
    }
    match (&sent.answer, status) {
        (Some(answer), Some(200)) => {
            let expected = format!("answer to {id} by ");
            assert!(answer.body.starts_with(&expected), "seed {seed}, {id}");
            assert!(runs >= 1, "seed {seed}, {id}: answered without a run");
        }
        (_, Some(503)) => assert_eq!(runs, 0, "seed {seed}, {id}: refused, but run"),
        (_, Some(502 | 504) | None) => {}
        (_, status) => panic!("seed {seed}, {id}: {status:?}"),
    }
}

async fn run(seed: u64) {
    let network = 100 + u8::try_from(seed % 100).expect("small");
    let fleet = Arc::new(Fleet::start(network, PROCESSES, Behavior::Answer).await);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(send_requests(Arc::clone(&fleet), caller, seed)))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    change_paths(&fleet, &mut rng).await;
    for index in 0..fleet.entries.len() {
        fleet.set_path_of(index, Path::Open).await;
    }
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("a caller"));
    }
    // What runs late breaks a refusal as well.
    tokio::time::sleep(PATIENCE).await;
    for sent in &all {
        check(&fleet, sent, seed);
    }
}

/// Guards against requests that run twice, or after a refusal, while paths are cut and joined.
#[tokio::test]
async fn test_relay_soak_keeps_promises_while_paths_change() {
    let seeds = env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1 2".into());
    let mut numbers = seeds.split(' ').map(|text| text.parse().expect("a number"));
    let (first, count): (u64, u64) = (
        numbers.next().expect("a first seed"),
        numbers.next().expect("a number of seeds"),
    );
    for seed in first..first + count {
        run(seed).await;
    }
}
