//! A few seeds of the soak, short ones, and every seed that ever broke something.

use std::time::Duration;

use soak::Plan;

async fn run(seed: u64, steps: u32) {
    let plan = Plan {
        seed,
        steps,
        pause: Duration::from_millis(150),
    };
    let verdict = soak::run(plan).await.expect("serves again");
    assert!(verdict.answered > 0, "{verdict}");
    assert!(verdict.broken.is_empty(), "{verdict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_1() {
    run(1, 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_2() {
    run(2, 20).await;
}
