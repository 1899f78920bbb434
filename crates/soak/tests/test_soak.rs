//! Short soak runs with fixed seeds. A seed that has found a violation gets a test of its own.

use std::time::Duration;

use soak::Plan;

async fn run(seed: u64, steps: u32) {
    let plan = Plan {
        seed,
        steps,
        max_pause: Duration::from_millis(150),
    };
    let report = soak::run(plan).await.expect("serves again");
    assert!(report.answered > 0, "{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_1() {
    run(1, 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_2() {
    run(2, 20).await;
}
