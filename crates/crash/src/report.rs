//! Sends a process's observations to one collector, as they occur.
//!
//! Each collector counts for itself, so that the loss of some doesn't lift a quarantine. One that
//! restarts receives everything again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::select_all;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use wire::directory::CrashReport;
use wire::hub::Report;
use wire::hub::Suspects;
use wire::link::within;
use wire::peer::DirectoryLink;
use wire::peer::HubLink;

/// Timeout for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A process that has something to report.
pub trait Source: Send + Sync + 'static {
    /// The newest observations that a collector has received.
    type Cursor: Copy + Default + Send + Sync;

    /// The log.
    fn log(&self) -> &Logger;

    /// Numbers of the newest observations; a change means that there is something to report.
    fn changes(&self) -> Vec<watch::Receiver<u64>>;

    /// The report for a collector that has received the observations up to `acknowledged`, and
    /// what it will have received with it. `new` is set for a collector that has restarted.
    fn report(&self, acknowledged: Self::Cursor, new: bool) -> (Report, Self::Cursor);

    /// Handles the reply of the collector at `address` to a report.
    fn record_reply(&self, address: SocketAddr, received: Self::Cursor, suspects: &Suspects);
}

/// A collector of reports.
pub trait Target: Send + Sync + 'static {
    /// Log key.
    const ROLE: &'static str;

    /// Address of the collector.
    fn address(&self) -> SocketAddr;

    /// Sends a report; returns the collector's suspects if it accepted the report.
    fn send(&self, report: Report) -> impl Future<Output = Option<Suspects>> + Send;
}

impl Target for Arc<HubLink> {
    const ROLE: &'static str = "hub";

    fn address(&self) -> SocketAddr {
        HubLink::address(self)
    }

    async fn send(&self, report: Report) -> Option<Suspects> {
        let client = self.client().await.ok()?;
        let result = client.report(within(REPORT_TIMEOUT), report).await;
        self.check_result(result).ok()
    }
}

/// A directory, which passes on what gateways report to the other directories.
pub struct Directory {
    /// Link to the directory.
    pub link: Arc<DirectoryLink>,
    /// Whether the sender is a directory, too.
    pub relayed: bool,
}

impl Target for Directory {
    const ROLE: &'static str = "directory";

    fn address(&self) -> SocketAddr {
        self.link.address()
    }

    async fn send(&self, report: Report) -> Option<Suspects> {
        let client = self.link.client().await.ok()?;
        let report = CrashReport {
            report: Some(report),
            relayed: self.relayed,
        };
        let result = client.report(within(REPORT_TIMEOUT), report).await;
        self.link.check_result(result).ok()
    }
}

/// Reports observations as they occur; `epochs` is the epoch of the collector's process, 0 while
/// nothing is to be sent to it. Runs forever.
pub async fn run<S: Source, T: Target>(
    source: Arc<S>,
    target: T,
    mut epochs: watch::Receiver<u64>,
) {
    let mut changes = source.changes();
    let (mut acknowledged, mut known_epoch) = (S::Cursor::default(), 0);
    let mut is_failing = false;
    loop {
        changes.iter_mut().for_each(watch::Receiver::mark_unchanged);
        let epoch = *epochs.borrow_and_update();
        let is_new_process = epoch != known_epoch;
        if is_new_process {
            acknowledged = S::Cursor::default();
        }
        let (report, newest) = source.report(acknowledged, is_new_process);
        if epoch == 0 || is_empty(&report) {
            wait_for_change(&mut changes, &mut epochs).await;
            continue;
        }
        let reply = target.send(report).await;
        let sent = reply.is_some();
        if let Some(suspects) = reply {
            (acknowledged, known_epoch) = (newest, epoch);
            source.record_reply(target.address(), newest, &suspects);
        }
        if is_failing == sent {
            is_failing = !sent;
            let outcome = if sent { "taken" } else { "failed" };
            info!(source.log(), "report of crashes"; T::ROLE => %target.address(),
                "outcome" => outcome);
        }
        if !sent {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn wait_for_change(changes: &mut [watch::Receiver<u64>], epochs: &mut watch::Receiver<u64>) {
    let any = changes.iter_mut().chain([epochs]);
    // The senders live as long as the process.
    let _ = select_all(any.map(|receiver| Box::pin(receiver.changed()))).await;
}

fn is_empty(report: &Report) -> bool {
    report.crashes.is_empty()
        && report.answered.is_empty()
        && report.refused.is_empty()
        && report.limits.is_empty()
}
