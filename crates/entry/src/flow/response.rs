//! The final response to the caller, and its log line.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use slog::info;

use super::Flow;
use super::Outcome;
use super::millis;
use crate::body::Arriving;
use crate::body::ResponseBody;
use crate::exchange::UpstreamBody;
use crate::headers;
use crate::refusal;
use crate::refusal::Reason;
use crate::relay;
use crate::relay::HopOutcome;
use crate::stream_tracker::Responder;
use crate::stream_tracker::ResponseContext;
use crate::stream_tracker::ResponseSource;
use crate::stream_tracker::StreamTracker;

impl Flow {
    /// Returns a body that is passed on as it arrives; `first` has been read already.
    fn stream(&mut self, first: Bytes, rest: Arriving, source: ResponseSource) -> ResponseBody {
        let (responder, sent_at) = match (self.peer.take(), &self.last_attempt) {
            (Some(lease), _) => (Responder::Peer(lease), self.started_at),
            (None, Some(attempt)) => {
                let upstream = Arc::clone(&attempt.upstream);
                (
                    Responder::Instance(upstream, attempt.choice),
                    attempt.sent_at,
                )
            }
            (None, None) => unreachable!("a response belongs to an attempt"),
        };
        let context = ResponseContext {
            core: Arc::clone(&self.core),
            request: self.identity(),
            route: Arc::clone(&self.route),
            responder,
            sent_at,
            request_bytes: self.request_bytes,
            deadline: self.deadline,
        };
        ResponseBody::stream(first, rest, StreamTracker::new(context, source))
    }

    /// Replaces an instance's response whose status would tell the caller that a request that may
    /// run once hasn't run.
    fn replace_unproven(&self, outcome: Outcome) -> Outcome {
        let Outcome::Response(parts, body) = outcome else {
            return outcome;
        };
        if self.route.kind.is_idempotent() || !correlate::promises_not_run(parts.status) {
            return Outcome::Response(parts, body);
        }
        info!(self.core.log, "status unproven"; "request" => self.request.id.to_str().unwrap_or("-"),
            "status" => parts.status.as_u16(), "instance" => self.last_instance(),
            "service" => %self.service);
        Outcome::Refusal(Reason::Broken, None)
    }

    pub(super) fn respond(&mut self, outcome: Outcome) -> Response<ResponseBody> {
        let outcome = self.replace_unproven(outcome);
        let elapsed = self.started_at.elapsed();
        let hop_outcome = match &outcome {
            Outcome::Response(..) => HopOutcome::Answered,
            Outcome::Refusal(reason, _) => HopOutcome::Refused(*reason),
        };
        let (mut response, label, retry_after) = match outcome {
            Outcome::Response(mut parts, body) => {
                headers::keep_end_to_end(&self.request.method, parts.status, &mut parts.headers);
                let body = match body {
                    UpstreamBody::Whole(bytes) => ResponseBody::whole(bytes),
                    UpstreamBody::Stream(first, rest, source) => self.stream(first, rest, *source),
                };
                let response = Response::from_parts(*parts, body);
                (response, "answered", None)
            }
            Outcome::Refusal(reason, retry_after) => (
                refusal::response(reason, retry_after),
                reason.into(),
                retry_after,
            ),
        };
        if self.hop.is_some() {
            let name = &self.core.dialect.request;
            response.headers_mut().insert(name, self.request.id.clone());
            hop_outcome.write(response.headers_mut());
            self.core
                .peer_report(&self.service)
                .write(response.headers_mut());
            if let (HopOutcome::Answered, Some(run)) = (hop_outcome, &self.responder) {
                relay::write_instance(run, response.headers_mut());
            }
        }
        info!(self.core.log, "request"; "request" => self.request.id.to_str().unwrap_or("-"),
            "outcome" => label, "status" => response.status().as_u16(),
            "route" => &*self.route.name, "service" => %self.service,
            "workspace" => self.workspace.as_ref().map_or("-", |w| w.name.as_str()),
            "table" => self.table_version, "attempts" => self.attempts, "unsent" => self.unsent,
            "instance" => self.last_instance(), "relayed" => self.hop.is_some(),
            "aim_ms" => millis(self.aim), "back_ms" => retry_after.map_or(0, millis),
            "ms" => millis(elapsed));
        self.core
            .counters
            .request(self.service.as_str(), label, elapsed);
        response
    }
}
