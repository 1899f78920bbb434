//! Starts attempts of a call: chooses an instance, reserves a connection and sends the request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use attempt::Start;
use attempt::timing;
use base::prelude::*;
use http::HeaderMap;
use http::HeaderValue;
use http::header::IF_RANGE;
use http::header::RANGE;
use route::OutcomeKind;
use slog::Logger;
use slog::info;
use tokio::sync::OwnedSemaphorePermit;

use crate::attempt_guard::AttemptGuard;
use crate::call::driver::Driver;
use crate::call::driver::micros;
use crate::call::state::PendingAttempt;
use crate::headers;
use crate::headers::AttemptHeaders;
use crate::instance_clients::InstanceClient;
use crate::instance_clients::Reuse;
use crate::instance_clients::UpstreamRequest;
use crate::refusal::Reason;
use crate::relay::UpstreamResponse;
use crate::send::Target;
use crate::view::UpstreamInstance;

/// Maximum number of instances that one call tries, so that a call ends soon when all hosts of a
/// large service refuse connections.
const MAX_CONNECTS: usize = 16;
/// Outcome of an attempt that found no free connection.
const NOT_SENT: route::Outcome = route::Outcome {
    kind: OutcomeKind::Cancelled,
    latency: Duration::ZERO,
    report: None,
};

/// An instance with a reserved connection.
struct ChosenInstance {
    client: Arc<InstanceClient>,
    guard: AttemptGuard,
    reuse: Reuse,
}

impl Driver {
    /// Chooses an instance and starts to send the request to it.
    pub(super) fn send_attempt(&mut self, start: Start) -> std::result::Result<(), Reason> {
        let (chosen, outgoing) = self.prepare(start)?;
        let ChosenInstance {
            client,
            guard,
            reuse,
        } = chosen;
        let method = outgoing.method.clone();
        let (core, id) = (self.core.clone(), self.request.head.id.clone());
        let target = Target {
            balancer: self.balancer.clone(),
            upstream: guard.upstream(),
            client,
        };
        let head = Box::pin(async move {
            let response = core.send(&target, outgoing, &id, reuse).await?;
            Ok(UpstreamResponse::new(response, &method))
        });
        self.pending.push(PendingAttempt { start, guard, head });
        Ok(())
    }

    /// Continues an attempt whose instance took no connection at another instance. As nothing
    /// was sent, that is neither a retry nor limited by the retry budget. Returns false if there
    /// is no other instance, or the body was streamed.
    pub(super) fn connect_elsewhere(&mut self, start: Start) -> bool {
        let (now, deadline) = (self.core.clock.now(), self.request.head.deadline);
        if self.tried.len() >= MAX_CONNECTS || now >= deadline || !self.request.body.is_buffered() {
            return false;
        }
        let start = Start {
            upstream_timeout: timing::upstream_timeout(deadline.since(now)),
            ..start
        };
        match self.send_attempt(start) {
            Ok(()) => true,
            Err(reason) => {
                self.start_failure.get_or_insert(reason);
                false
            }
        }
    }

    fn prepare(
        &mut self,
        start: Start,
    ) -> std::result::Result<(ChosenInstance, UpstreamRequest), Reason> {
        let now = self.core.clock.now();
        if self.request.claim_expires_at.is_some_and(|at| now >= at) {
            return Err(Reason::Hold);
        }
        let head = &self.request.head;
        if self.core.is_too_late(&head.service.name, head.deadline) {
            return Err(Reason::Stopping);
        }
        // The request may have been quarantined while it was queued.
        if let Some(remaining) = self.core.check_quarantine(&self.request.identity) {
            self.quarantine = Some(remaining);
            return Err(Reason::Quarantined);
        }
        let chosen = self.choose_instance(start, now)?;
        let headers = self.attempt_headers(start);
        // A streamed body was already sent by an earlier attempt.
        let body = self.request.body.take().ok_or(Reason::Connect)?;
        let outgoing = UpstreamRequest {
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers,
            body,
        };
        Ok((chosen, outgoing))
    }

    /// Chooses an instance with a free connection, reserves the connection and logs the
    /// decision.
    fn choose_instance(
        &mut self,
        start: Start,
        now: Moment,
    ) -> std::result::Result<ChosenInstance, Reason> {
        let mut state = self.balancer.state();
        let mut reason = Reason::NoUpstream;
        while let Some(choice) = state.chooser.choose(now, &self.tried) {
            // The chooser returns one of these only if no other instance is left.
            if self.unreachable.contains(&choice.pick) {
                return Err(Reason::Connect);
            }
            let was_tried = self.tried.contains(&choice.pick);
            let ticket = state.chooser.started(now, choice.pick);
            let id = state.chooser.id(choice.pick).cloned();
            let Some((client, upstream, connection)) = self.reserve_connection(id.as_ref()) else {
                state.chooser.finished(now, ticket, NOT_SENT);
                if was_tried {
                    break;
                }
                reason = Reason::Connections;
                self.tried.push(choice.pick);
                continue;
            };
            drop(state);
            self.tried.push(choice.pick);
            log_choice(&self.log, start, id.as_ref(), &choice);
            let guard = AttemptGuard::new(
                self.balancer.clone(),
                self.core.clock,
                ticket,
                upstream,
                connection,
            );
            return Ok(ChosenInstance {
                client,
                guard,
                // A copy of the first send's response would bear the same id.
                reuse: if was_tried {
                    Reuse::Forbidden
                } else {
                    Reuse::Allowed
                },
            });
        }
        Err(reason)
    }

    fn reserve_connection(
        &self,
        id: Option<&InstanceId>,
    ) -> Option<(
        Arc<InstanceClient>,
        Arc<UpstreamInstance>,
        OwnedSemaphorePermit,
    )> {
        let service = &self.request.head.service.name;
        let client = self.core.clients.get(service, id?)?;
        let upstream = self.core.view().instance(service, id?)?.clone();
        let connection = client.reserve()?;
        Some((client, upstream, connection))
    }

    fn attempt_headers(&self, start: Start) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        headers::set_attempt_headers(
            &mut headers,
            AttemptHeaders {
                id: &self.request.head.id,
                attempt: start.number.into(),
                remaining: start.upstream_timeout,
                depth: start.depth,
            },
        );
        if start.offset > 0 {
            let range = format!("bytes={}-", start.offset);
            if let (Ok(range), Some(etag)) = (HeaderValue::from_str(&range), &self.etag) {
                headers.insert(RANGE, range);
                headers.insert(IF_RANGE, etag.clone());
            }
        }
        headers
    }
}

/// Logs a routing decision with the load data it was based on and the age of that data.
fn log_choice(log: &Logger, start: Start, id: Option<&InstanceId>, choice: &route::Choice) {
    info!(log, "route";
        "attempt" => start.number,
        "hedge" => start.hedge,
        "instance" => id.map(InstanceId::as_str),
        "reason" => <&str>::from(choice.reason),
        "age_us" => %Age(choice.age),
        "in_flight" => choice.in_flight,
        "expected_us" => micros(choice.expected),
    );
}

/// Displays an age in microseconds, or `-` if it is unknown.
struct Age(Option<Duration>);

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", micros(age)),
            None => f.write_str("-"),
        }
    }
}
