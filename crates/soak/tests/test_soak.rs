//! Short soak runs with fixed seeds. A seed that has found a violation gets a test of its own.

use std::time::Duration;

use soak::Plan;

async fn run(seed: u64, steps: u32, faulty_responses: bool) {
    let plan = Plan {
        seed,
        steps,
        max_pause: Duration::from_millis(150),
        faulty_responses,
    };
    let report = soak::run(plan).await.expect("serves again");
    assert!(report.answered > 0, "{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_1() {
    run(1, 20, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_seed_2() {
    run(2, 20, false).await;
}

/// Guards against responses that are doubled, late, cut short or wrongly framed and make a request
/// run twice, or let it be answered as not run although it ran, among the other faults.
#[tokio::test(flavor = "multi_thread")]
async fn test_soak_faulty_responses_seed_1() {
    run(1, 60, true).await;
}
