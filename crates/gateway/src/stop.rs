//! Graceful stop, which lets requests in flight finish.
//!
//! Nothing is passed on that can't be answered before the end, by what is known of the service's
//! response times. Such a request is refused before it leaves.

use std::sync::Arc;
use std::time::Duration;

use attempt::stop::Grace;
use base::prelude::*;
use http::StatusCode;
use slog::info;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use wire::directory::HostPhase;

use crate::balancer::Balancer;
use crate::core::Core;
use crate::core::Phase;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::serve::HttpServer;

/// Maximum wait for a directory to receive the stop before the linger time starts.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Refusal of a request that other gateways can serve without delay.
pub const STOPPING: Refusal = Refusal::unavailable(Reason::Stopping, Duration::ZERO);
/// Failure of a request that an instance may be running at the end of the stop.
pub const STOPPED: Refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, Reason::Stopping);

impl Core {
    /// When a request to the service may be passed on at the latest; `None` unless the gateway stops.
    #[must_use]
    pub fn latest_start(&self, service: &ServiceName, deadline: Moment) -> Option<Moment> {
        let grace = (*self.grace.borrow())?;
        Some(grace.latest_start(self.response_time(service), deadline))
    }

    /// Whether it is too late to pass a request to the service on.
    #[must_use]
    pub fn is_too_late(&self, service: &ServiceName, deadline: Moment) -> bool {
        let latest = self.latest_start(service, deadline);
        latest.is_some_and(|latest| self.clock.now() > latest)
    }

    /// Runs `step` unless it becomes too late to pass the request on.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it does.
    pub async fn before_too_late<T>(
        &self,
        service: &ServiceName,
        deadline: Moment,
        step: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        let too_late = async {
            let grace = self.stop_begun().await;
            let latest = grace.latest_start(self.response_time(service), deadline);
            sleep_until(self.clock.instant(latest)).await;
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            () = too_late => Err(STOPPING),
        }
    }

    /// Completes at the end of a stop.
    pub async fn grace_ended(&self) {
        let end = self.stop_begun().await.end();
        sleep_until(self.clock.instant(end)).await;
    }

    /// Records the time from sending a request on to the end of its response.
    pub fn record_response_time(&self, service: &ServiceName, time: Duration) {
        if let Some(balancer) = self.balancers.get(service) {
            balancer.state().recent.record(time);
        }
    }

    /// The longest response time of the service's recent requests.
    fn response_time(&self, service: &ServiceName) -> Duration {
        let balancer = self.balancers.get(service);
        let longest = |balancer: &Balancer| balancer.state().recent.longest();
        balancer.and_then(|b| longest(&b)).unwrap_or_default()
    }

    /// Waits until a stop begins.
    async fn stop_begun(&self) -> Grace {
        let mut grace = self.grace.subscribe();
        let begun = grace.wait_for(Option::is_some).await;
        match begun.ok().and_then(|grace| *grace) {
            Some(grace) => grace,
            None => std::future::pending().await,
        }
    }
}

/// Stops the gateway.
///
/// Directories are informed first. As callers cache routing answers, the gateway
/// keeps serving for the linger time before it closes its port.
pub async fn run(core: &Arc<Core>, server: HttpServer, mut announced: watch::Receiver<HostPhase>) {
    let stop = core.settings.stop;
    let end = core.clock.now() + stop.linger + stop.finish;
    core.grace.send_replace(Some(Grace::until(end)));
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
