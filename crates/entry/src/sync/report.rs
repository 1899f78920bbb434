//! Tells one hub of instances that crashed under requests.
//!
//! Every hub is told, and counts for itself: whichever of them is lost, the others know which
//! requests are to be refused. One that starts anew is told everything again.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::watch;
use wire::hub::Report;
use wire::link::within;
use wire::peer::HubLink;

use crate::core::Core;

/// Longest wait for a hub's answer to a report.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a report that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Never ends; `epochs` names the hub's process, 0 while none has answered.
pub async fn run(core: Arc<Core>, link: Arc<HubLink>, mut epochs: watch::Receiver<u64>) {
    let mut events = core.newest_event.subscribe();
    let (mut told, mut known) = (0, 0);
    let mut lost = false;
    loop {
        events.mark_unchanged();
        let epoch = *epochs.borrow_and_update();
        let new = epoch != known;
        if new {
            told = 0;
        }
        let (report, newest) = core.crash_report(told, new);
        if epoch == 0 || is_empty(&report) {
            tokio::select! {
                _ = events.changed() => {}
                _ = epochs.changed() => {}
            }
            continue;
        }
        let sent = send(&core, &link, report).await;
        if sent {
            (told, known) = (newest, epoch);
            core.acknowledged_event.send_if_modified(|held| {
                let more = newest > *held;
                *held = newest.max(*held);
                more
            });
        }
        if lost == sent {
            lost = !sent;
            let outcome = if sent { "taken" } else { "failed" };
            info!(core.log, "report of crashes"; "hub" => %link.address(), "outcome" => outcome);
        }
        if !sent {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

fn is_empty(report: &Report) -> bool {
    report.crashes.is_empty() && report.answered.is_empty() && report.refused.is_empty()
}

/// Whether the hub has taken it.
async fn send(core: &Core, link: &HubLink, report: Report) -> bool {
    let Ok(client) = link.client().await else {
        return false;
    };
    match link.judge(client.report(within(TIMEOUT), report).await) {
        Ok(suspects) => {
            core.apply_suspects(link.address(), &suspects);
            true
        }
        Err(_) => false,
    }
}
