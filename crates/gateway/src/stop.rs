//! The graceful stop, which cuts no request in flight.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::directory::HostPhase;

use crate::core::Core;
use crate::core::Phase;
use crate::serve::Port;

/// Longest wait for a directory to hear of the stop before the linger begins.
const TELL_TIME: Duration = Duration::from_secs(1);

/// Runs the stop to its end.
///
/// Directories are told first. Callers keep routing answers for a while, so the
/// gateway serves on until the last of these has run out; then it closes.
pub async fn run(core: &Arc<Core>, port: Port, mut told: watch::Receiver<HostPhase>) {
    core.phase.send_replace(Phase::Stopping);
    let stopping = told.wait_for(|phase| *phase == HostPhase::Stopping);
    let heard = timeout(TELL_TIME, stopping).await.is_ok();
    info!(core.log, "stopping"; "told" => heard, "in_flight" => core.flying.count());
    sleep(core.settings.stop.linger).await;
    core.phase.send_replace(Phase::Closing);
    info!(core.log, "closing"; "in_flight" => core.flying.count());
    port.close(core.settings.stop.finish).await;
    // Runs that must not be cut outlive their callers' connections.
    let landed = timeout(core.settings.stop.finish, core.flying.landed()).await;
    core.end();
    info!(core.log, "stopped"; "whole" => landed.is_ok());
}
