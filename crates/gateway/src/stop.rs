//! Graceful stop, which lets requests in flight finish.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::directory::HostPhase;

use crate::core::Core;
use crate::core::Phase;
use crate::serve::HttpServer;

/// Maximum wait for a directory to receive the stop before the linger time starts.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stops the gateway.
///
/// Directories are informed first. As callers cache routing answers, the gateway
/// keeps serving for the linger time before it closes its port.
pub async fn run(core: &Arc<Core>, server: HttpServer, mut announced: watch::Receiver<HostPhase>) {
    core.phase.send_replace(Phase::Stopping);
    let stopping = announced.wait_for(|phase| *phase == HostPhase::Stopping);
    let is_announced = timeout(ANNOUNCE_TIMEOUT, stopping).await.is_ok();
    info!(core.log, "stopping"; "told" => is_announced, "in_flight" => core.in_flight.count());
    sleep(core.settings.stop.linger).await;
    core.phase.send_replace(Phase::Closing);
    info!(core.log, "closing"; "in_flight" => core.in_flight.count());
    server.close(core.settings.stop.finish).await;
    // Calls that must not be cancelled continue after their caller has disconnected.
    let idle = timeout(core.settings.stop.finish, core.in_flight.wait_until_idle()).await;
    core.shut_down();
    info!(core.log, "stopped"; "whole" => idle.is_ok());
}
