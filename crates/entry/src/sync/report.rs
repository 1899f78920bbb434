//! Reports crashed instances and the limits of instances to a hub.
//!
//! Every hub receives all reports and counts for itself, so that the loss of some hubs doesn't
//! lift a quarantine. A hub that restarts receives everything again.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::watch;
use wire::hub::Report;
use wire::link::within;
use wire::peer::HubLink;

use crate::core::Core;
use crate::core::ReportCursor;

/// Timeout for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reports events as they occur; `epochs` is the epoch of the hub's process, 0 until it has
/// answered. Runs forever.
pub async fn run(core: Arc<Core>, link: Arc<HubLink>, mut epochs: watch::Receiver<u64>) {
    let mut events = core.newest_event.subscribe();
    let mut limits = core.newest_limit.subscribe();
    let (mut acknowledged, mut known_epoch) = (ReportCursor::default(), 0);
    let mut is_failing = false;
    loop {
        events.mark_unchanged();
        limits.mark_unchanged();
        let epoch = *epochs.borrow_and_update();
        let is_new_process = epoch != known_epoch;
        if is_new_process {
            acknowledged = ReportCursor::default();
        }
        let (report, newest) = core.report(acknowledged, is_new_process);
        if epoch == 0 || is_empty(&report) {
            tokio::select! {
                _ = events.changed() => {}
                _ = limits.changed() => {}
                _ = epochs.changed() => {}
            }
            continue;
        }
        let sent = send(&core, &link, report).await;
        if sent {
            (acknowledged, known_epoch) = (newest, epoch);
            core.acknowledged_event.send_if_modified(|current| {
                let is_newer = newest.event > *current;
                *current = newest.event.max(*current);
                is_newer
            });
        }
        if is_failing == sent {
            is_failing = !sent;
            let outcome = if sent { "taken" } else { "failed" };
            info!(core.log, "report of crashes"; "hub" => %link.address(), "outcome" => outcome);
        }
        if !sent {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

fn is_empty(report: &Report) -> bool {
    report.crashes.is_empty()
        && report.answered.is_empty()
        && report.refused.is_empty()
        && report.limits.is_empty()
}

/// Sends a report. Returns whether the hub accepted it.
async fn send(core: &Core, link: &HubLink, report: Report) -> bool {
    let Ok(client) = link.client().await else {
        return false;
    };
    match link.check_result(client.report(within(REPORT_TIMEOUT), report).await) {
        Ok(suspects) => {
            core.apply_suspects(link.address(), &suspects);
            true
        }
        Err(_) => false,
    }
}
