//! Sends requests and probes to instances, and heeds what instances ask for.
//!
//! All of them are sent here: first attempts, retries, hedges, trials of ejected instances, and
//! probes. An instance may have asked to back off since it was selected, so that is checked right
//! before the request is handed to the instance's client, and each response is read for what its
//! instance asks.

use std::sync::Arc;

use backoff::Notice;
use base::header;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use slog::info;
use slog::warn;

use crate::balancer::Balancer;
use crate::core::Core;
use crate::counters::add;
use crate::instance_clients::InstanceClient;
use crate::instance_clients::SendError;
use crate::instance_clients::UpstreamRequest;
use crate::view::UpstreamInstance;

/// An instance as the target of a request or a probe.
#[derive(Clone)]
pub struct Target {
    /// The balancer of its service.
    pub balancer: Arc<Balancer>,
    /// The instance.
    pub upstream: Arc<UpstreamInstance>,
    /// Its client.
    pub client: Arc<InstanceClient>,
}

impl Core {
    /// Sends a request to an instance, unless the instance takes nothing from this gateway.
    /// `cause` names the request in the log.
    ///
    /// # Errors
    ///
    /// The instance may have run the request only if the error is [`SendError::NoAnswer`],
    /// [`SendError::Framing`] or [`SendError::EndlessInterim`].
    pub async fn send(
        self: &Arc<Self>,
        target: &Target,
        outgoing: UpstreamRequest,
        cause: &str,
    ) -> Result<reqwest::Response, SendError> {
        let run = target.upstream.run();
        if target.balancer.backoff(self.clock.now(), &run).is_some() {
            return Err(SendError::Withheld);
        }
        let read_interim = {
            let (core, target, cause) = (self.clone(), target.clone(), cause.to_owned());
            move |status, headers: &HeaderMap| {
                core.record_notices(&target, status, headers, &cause);
            }
        };
        let response = target.client.send(outgoing, read_interim).await;
        if let Err(SendError::Connect(_)) = response {
            self.record_unreachable(&target.upstream);
        }
        let response = response?;
        self.record_notices(target, response.status(), response.headers(), cause);
        Ok(response)
    }

    fn record_notices(
        &self,
        target: &Target,
        status: StatusCode,
        headers: &HeaderMap,
        cause: &str,
    ) {
        let leaving = headers.get(header::LEAVING);
        let delays = headers.get_all(header::RETRY_AFTER);
        let delays = delays.iter().map(HeaderValue::as_bytes);
        match backoff::read_head(status.as_u16(), leaving.map(HeaderValue::as_bytes), delays) {
            Ok(Some(notice)) => self.record_notice(target, notice, status, cause),
            Ok(None) => {}
            Err(err) => warn!(self.log, "invalid backoff"; "instance" => %target.upstream.id,
                "value" => ?headers.get(header::RETRY_AFTER), "error" => %err),
        }
    }

    fn record_notice(&self, target: &Target, notice: Notice, status: StatusCode, cause: &str) {
        let now = self.clock.now();
        let Target {
            balancer, upstream, ..
        } = target;
        let Some(backoff) = balancer.record_notice(now, &upstream.run(), notice) else {
            return;
        };
        add(&self.counters.backoffs, 1);
        info!(self.log, "hold"; "reason" => <&str>::from(backoff), "instance" => %upstream.id,
            "incarnation" => upstream.incarnation, "service" => %upstream.service,
            "status" => status.as_u16(), "request" => cause,
            "left_ms" => backoff.remaining(now).map(|left| left.as_millis()));
    }
}
