//! Sends requests and probes to instances, and heeds what instances ask for.
//!
//! All of them are sent here: first attempts, retries, hedges, trials of ejected instances, and
//! probes. An instance may have asked to back off since it was selected, so that is checked right
//! before the request is handed to the instance's client, and each response that is the request's
//! own is read for what its instance asks.

use std::sync::Arc;

use backoff::Notice;
use base::header;
use correlate::Owner;
use correlate::Verdict;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use slog::info;
use slog::o;
use slog::warn;

use crate::balancer::Balancer;
use crate::core::Core;
use crate::correlation;
use crate::counters::add;
use crate::instance_clients::InstanceClient;
use crate::instance_clients::Reuse;
use crate::instance_clients::SendError;
use crate::instance_clients::UpstreamRequest;
use crate::relay;
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

/// Stands for a request's id in the log.
const PROBE_CAUSE: &str = "probe";

/// The request or probe whose interim responses are read for notices.
#[derive(Clone, Copy)]
struct Interim<'a> {
    owner: Owner,
    /// The id of the request, or [`PROBE_CAUSE`].
    id: &'a str,
}

impl Core {
    /// Sends the request `id` to an instance, unless the instance takes nothing from this gateway.
    ///
    /// # Errors
    ///
    /// The instance may have run the request only if the error is [`SendError::NoAnswer`],
    /// [`SendError::Framing`] or [`SendError::EndlessInterim`].
    pub async fn send(
        self: &Arc<Self>,
        target: &Target,
        outgoing: UpstreamRequest,
        id: &str,
        reuse: Reuse,
    ) -> Result<reqwest::Response, SendError> {
        let interim = Interim {
            owner: Owner::Sent,
            id,
        };
        let response = self.exchange(target, outgoing, interim, reuse).await?;
        match relay::judge_head(response.status(), response.headers(), id) {
            Verdict::Foreign(_) => target.client.discard_open(),
            Verdict::Answered | Verdict::NotRun(_) => {
                self.record_notices(target, response.status(), response.headers(), id);
            }
        }
        Ok(response)
    }

    /// Sends a probe on a connection of its own, so that no response of an earlier request or
    /// probe can arrive in place of its own, nor its own in place of a later one's. Returns `None`
    /// if there is no response, or if it names a request.
    pub async fn send_probe(
        self: &Arc<Self>,
        target: &Target,
        outgoing: UpstreamRequest,
    ) -> Option<reqwest::Response> {
        let interim = Interim {
            owner: Owner::Unnamed,
            id: PROBE_CAUSE,
        };
        let sending = self.exchange(target, outgoing, interim, Reuse::Forbidden);
        let response = sending.await.ok()?;
        let (status, headers) = (response.status(), response.headers());
        let owner = correlation::owner(PROBE_CAUSE, headers);
        if owner != Owner::Unnamed {
            let upstream = &target.upstream;
            let service = upstream.service.to_string();
            let log = self
                .log
                .new(o!("request" => PROBE_CAUSE, "service" => service));
            correlation::record_foreign(self, &log, upstream, owner, status, headers);
            return None;
        }
        self.record_notices(target, status, headers, PROBE_CAUSE);
        Some(response)
    }

    async fn exchange(
        self: &Arc<Self>,
        target: &Target,
        outgoing: UpstreamRequest,
        interim: Interim<'_>,
        reuse: Reuse,
    ) -> Result<reqwest::Response, SendError> {
        let run = target.upstream.run();
        if target.balancer.backoff(self.clock.now(), &run).is_some() {
            return Err(SendError::Withheld);
        }
        let read_interim = {
            let (core, target) = (self.clone(), target.clone());
            let (id, expected) = (interim.id.to_owned(), interim.owner);
            move |status, headers: &HeaderMap| {
                if correlation::owner(&id, headers) == expected {
                    core.record_notices(&target, status, headers, &id);
                }
            }
        };
        let response = target.client.send(outgoing, reuse, read_interim).await;
        if let Err(SendError::Connect(_)) = response {
            self.record_unreachable(&target.upstream);
        }
        response
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
