//! Periodic work: notices freezes of the process, evicts state, and reports what is left.

use std::sync::Arc;
use std::time::Duration;

use crate::core::Core;
use base::prelude::*;

use super::limit;

/// A holder that isn't called for a second counts as frozen.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of ticks between two reports.
const REPORT_TICKS: u32 = 50;
/// Maximum number of workspaces in a report.
const MAX_REPORTED: usize = 32;

/// Runs forever.
pub async fn run(core: Arc<Core>) {
    let mut ticks = 0u32;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = core.clock.now();
        core.quotas.state().holder.tick(now);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(REPORT_TICKS) {
            report(&core, now);
        }
    }
}

fn report(core: &Core, now: Moment) {
    let levels = {
        let mut state = core.quotas.state();
        state.holder.evict(now, |workspace| limit(core, workspace));
        state.batches.retain(|_, batch| !batch.is_idle(now));
        state
            .borrowings
            .retain(|_, borrowing| Arc::strong_count(borrowing) > 1);
        state.holder.levels(MAX_REPORTED)
    };
    for level in levels {
        core.counters
            .quota_left(&level.workspace, level.tokens.count());
    }
}
