//! Handling of one request, from its head to the final response.

mod choice;
mod guard;
mod head;
mod limits;
mod quota;
mod relay;
mod response;
mod revocation;
mod sends;
mod silence;
mod stop;
mod workspace;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bounds::Client;
use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use route::Pick;
use route::ScoredChoice;
use slog::info;
use slog::warn;
use table::Kind;
use table::Route;
use table::Workspace;
use tokio::time::Instant;

use self::limits::RequestLimits;
use self::revocation::KeyGuard;
use self::sends::Sends;
use crate::balancer::Balancer;
use crate::balancer::SelectedInstance;
use crate::body;
use crate::body::Arriving;
use crate::body::BodyError;
use crate::body::Content;
use crate::body::ForwardedBody;
use crate::body::ResponseBody;
use crate::body::Spool;
use crate::core::Core;
use crate::exchange;
use crate::exchange::AttemptEnd;
use crate::exchange::AttemptTimeouts;
use crate::exchange::ForwardedRequest;
use crate::exchange::Reservation;
use crate::exchange::UpstreamBody;
use crate::headers;
use crate::quota::Permit;
use crate::refusal::Reason;
use crate::relay::Hop;
use crate::relay::PeerLease;
use crate::relay::RelayGuard;
use crate::route_stats::RouteStats;
use crate::view::Upstream;

/// `Retry-After` of refusals that don't depend on capacity. The hubs deliver a missing table
/// or missing instances within this time.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of refusals for lack of memory. Clients that have stopped sending give way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Fraction of the caller's timeout for which a request waits for the first table and
/// instances. After a restart of all processes, these arrive within 700 ms.
const STARTUP_WAIT_FRACTION: f64 = 0.25;
/// Maximum number of attempts that sent nothing. They don't count as attempts of the route.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Multiple of the expected response time after which an abandoned attempt counts as a
/// timeout of its instance. Without it, an instance that never answers would not be
/// ejected where the route's timeout ends each attempt first.
const UNRESPONSIVE_FACTOR: f64 = 3.0;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller(IpAddr),
    /// Another entry process, which doesn't reach the instances.
    Peer,
}

/// State of one request.
struct Flow {
    core: Arc<Core>,
    started_at: Instant,
    request: ForwardedRequest,
    route: Arc<Route>,
    /// The caller's workspace, if the route needs a key.
    workspace: Option<Arc<Workspace>>,
    /// Tells whether the caller's key is still valid.
    key: KeyGuard,
    service: ServiceName,
    table_version: u64,
    caller_timeout: Duration,
    /// Latency target, less the time that the caller has spent on earlier tries.
    aim: Duration,
    deadline: Instant,
    attempts: u32,
    /// Whether the request must not be sent again because an instance crashed under it and no hub
    /// has acknowledged the crash.
    is_suspected: bool,
    /// Maximum number of attempts.
    max_attempts: u32,
    /// How long the request may wait instead of being refused again; `None` unless it was refused
    /// before and came back, and the settings tell such requests apart.
    return_wait: Option<Duration>,
    /// Whether the request has earned its fraction of a retry.
    counted: bool,
    /// The permit of the workspace's quota, if it has one.
    permit: Option<Permit>,
    unsent: u32,
    exclude: Vec<Pick>,
    /// The instance of the next attempt, if it is known already.
    next_instance: Option<SelectedInstance>,
    /// Tells whether an instance may have processed the request.
    sends: Sends,
    last_attempt: Option<Attempt>,
    /// The instance that sent the latest response.
    responder: Option<InstanceRun>,
    /// How the request was relayed to this process.
    hop: Option<Hop>,
    /// Counts the request, if it was relayed to this process.
    _relayed: Option<RelayGuard>,
    /// The process that relays the response.
    peer: Option<PeerLease>,
    /// When the caller may retry, as reported by a dispatcher or by the quarantine.
    retry_after: Option<Duration>,
    /// Size of the request body, 0 if unknown.
    request_bytes: u64,
    /// Buffer of the request body, as long as more of it may arrive.
    spool: Option<Spool>,
    /// The part of the body that enters the request's fingerprint.
    content: Content,
    /// Server error of an instance, passed on if no later attempt succeeds.
    failed_response: Option<(Box<http::response::Parts>, UpstreamBody)>,
}

/// The most recent attempt.
struct Attempt {
    upstream: Arc<Upstream>,
    choice: ScoredChoice,
    sent_at: Instant,
}

/// Final outcome of a request.
enum Outcome {
    Response(Box<http::response::Parts>, UpstreamBody),
    Refusal(Reason, Option<Duration>),
}

/// Handles one request.
pub async fn handle(
    core: Arc<Core>,
    client: Client,
    origin: Origin,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let guard = client.begin().await;
    let hop = match origin {
        Origin::Caller(_) => None,
        Origin::Peer => Hop::take(request.headers_mut()),
    };
    let header = headers::parse_number(request.headers(), &core.dialect.deadline);
    let startup_wait = limits::caller_timeout(header).mul_f64(STARTUP_WAIT_FRACTION);
    let startup_deadline = started_at + startup_wait;
    let routes = head::wait_for_routes(&core, startup_deadline).await;
    let id = request.headers().get(&core.dialect.request).cloned();
    let id = id.unwrap_or_else(head::new_id);
    let refuse = |reason| head::refuse(&core, &id, &routes, origin, reason);
    let Ok(guard) = guard else {
        return refuse(Reason::Memory);
    };
    let receiving = (!request.body().is_end_stream()).then(|| guard.receiving());
    if origin == Origin::Peer && hop.is_none() {
        warn!(core.log, "invalid relayed request"; "request" => id.to_str().unwrap_or("-"));
        return refuse(Reason::Unreachable);
    }
    let table = match head::current_table(&routes, hop.as_ref()) {
        Ok(table) => table,
        Err(reason) => return refuse(reason),
    };
    let host = head::host(&request).unwrap_or_default();
    let route = match head::select_route(&routes, table, &host, &request) {
        Ok(route) => route,
        Err(reason) => return refuse(reason),
    };
    let identity = match workspace::select(&routes, route, hop.as_ref(), request.headers()) {
        Ok(Some(_)) | Err(_) if core.fails_closed() => {
            workspace::log_unconfirmed(&core, &id, route, &routes);
            return refuse(Reason::Unconfirmed);
        }
        Ok(identity) => identity,
        Err(cause) => {
            workspace::log_refusal(&core, &id, route, &routes, &cause);
            return refuse(Reason::Unauthorized);
        }
    };
    let workspace = identity.as_ref().map(|i| Arc::clone(&i.workspace));
    workspace::replace_key(
        &core.dialect,
        &routes,
        workspace.as_deref(),
        request.headers_mut(),
    );
    head::wait_for_instances(&core, startup_deadline).await;
    let Some(service) = head::select_service(&core, route, hop.as_ref()) else {
        return refuse(Reason::NoInstance);
    };
    let limits = RequestLimits::new(&core, route, header, hop.as_ref());
    let caller = head::caller_name(&core, origin, hop.as_ref(), request.headers());
    let (request, incoming) = head::forwarded_request(&core, caller, client, &host, id, request);
    let body = Arriving::request(incoming, table.limits.body_bytes, receiving);
    let key = KeyGuard::new(&core, &request.id, identity);
    let mut flow = Flow {
        deadline: started_at + limits.timeout,
        max_attempts: limits.attempts,
        return_wait: limits.return_wait.filter(|_| core.settings().returning),
        counted: hop.as_ref().is_some_and(|hop| hop.counted),
        _relayed: hop.is_some().then(|| core.relayed.count()),
        hop,
        peer: None,
        started_at,
        request,
        route: Arc::clone(route),
        workspace,
        key,
        service,
        table_version: table.version,
        caller_timeout: limits.caller_timeout,
        aim: limits.aim,
        attempts: 0,
        is_suspected: false,
        permit: None,
        unsent: 0,
        exclude: Vec::new(),
        next_instance: None,
        sends: Sends::default(),
        last_attempt: None,
        responder: None,
        retry_after: None,
        request_bytes: 0,
        spool: None,
        content: Content::Whole(None),
        failed_response: None,
        core,
    };
    let mut response = flow.run(body).await;
    response.body_mut().hold(guard);
    response
}

impl Flow {
    async fn run(&mut self, body: Arriving) -> Response<ResponseBody> {
        let deadline = self.deadline;
        let core = Arc::clone(&self.core);
        let processed = tokio::select! {
            biased;
            outcome = self.process(body) => Ok(outcome),
            () = tokio::time::sleep_until(deadline) => Err((Reason::Timeout, Reason::Late)),
            () = stop::grace_ended(&core) => Err((Reason::Stopped, Reason::Stopping)),
        };
        let outcome = match processed {
            Ok(outcome) => outcome,
            Err((unknown, _)) if self.sends.may_have_run() && self.failed_response.is_none() => {
                Outcome::Refusal(unknown, None)
            }
            Err((_, not_run)) => self.fallback(not_run),
        };
        self.drain().await;
        self.respond(outcome)
    }

    /// Reads the rest of the request body. Responding earlier would close the connection while
    /// the caller still writes; the resulting reset may discard the response.
    async fn drain(&self) {
        if let Some(spool) = &self.spool {
            // A caller slower than its own deadline gets the response all the same.
            let _ = tokio::time::timeout_at(self.deadline, spool.fill()).await;
        }
    }

    async fn process(&mut self, arriving: Arriving) -> Outcome {
        let client = self.request.client.clone();
        let reading = body::request_body(arriving, &client);
        let mut body = match self.key.clone().hold(reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::OverMemory)) => return self.fallback(Reason::Memory),
            Ok(Err(BodyError::TooLarge)) => return Outcome::Refusal(Reason::TooLarge, None),
            // The caller disconnected while sending the body; the response reaches nobody.
            Ok(Err(_)) => return Outcome::Refusal(Reason::Late, None),
            Err(reason) => return Outcome::Refusal(reason, None),
        };
        let transfer = body.transfer();
        self.request_bytes = body.known_length().unwrap_or_default();
        self.spool = body.spool();
        self.content = body.content();
        if let Err(reason) = self.charge().await {
            return self.fallback(reason);
        }
        loop {
            if let Err(reason) = self.key.check() {
                return self.fallback(reason);
            }
            if self.core.is_cut_off(&self.service) && self.may_run_again() {
                match self.relay_before_stop(body, &transfer).await {
                    Ok(outcome) => return outcome,
                    Err(unsent) => body = unsent,
                }
                continue;
            }
            self.count();
            let retry_body = body.replay();
            let end = match self.attempt_before_stop(body, &transfer).await {
                Ok(end) => end,
                Err(reason) => return self.fallback(reason),
            };
            let not_sent = matches!(end, Ok(AttemptEnd::Unsent(_)));
            if self.is_cut_off_after(&end).await
                && let Some(retry) = retry_body
            {
                self.attempts -= u32::from(not_sent);
                self.unsent += u32::from(not_sent);
                body = retry;
                continue;
            }
            match self.next_step(end, retry_body) {
                Ok(outcome) => return outcome,
                Err(next) => body = next,
            }
        }
    }

    /// Whether the request may be sent although earlier attempts may have run.
    fn may_run_again(&self) -> bool {
        !self.sends.may_have_run() || self.route.kind.is_idempotent()
    }

    /// Lets the request earn its fraction of a retry, once.
    fn count(&mut self) {
        if !std::mem::replace(&mut self.counted, true) {
            self.balancer(Balancer::record_request);
        }
    }

    fn balancer<T>(&self, ask: impl FnOnce(&mut Balancer, Moment) -> T) -> Option<T> {
        self.core.balancer(&self.service, ask)
    }

    /// Makes one attempt.
    async fn attempt(&mut self, body: ForwardedBody) -> Result<AttemptEnd, Reason> {
        self.check_quarantine().await?;
        self.check_stop(&body, Duration::ZERO)?;
        self.complete_body(&body).await;
        let chosen = match self.next_instance.take() {
            Some(chosen) => chosen,
            None => self.choose_while_buffering(&body).await?,
        };
        // The request may have been quarantined while it waited for capacity.
        self.check_quarantine().await?;
        self.complete_body(&body).await;
        self.check_stop(&body, chosen.choice.expected)?;
        if body.is_over_memory() {
            return Err(Reason::Memory);
        }
        self.renew_permit().await?;
        // Its key may have been removed meanwhile.
        self.key.check()?;
        let pick = chosen.choice.pick;
        self.attempts += 1;
        self.exclude.push(pick);
        let remaining = self
            .caller_timeout
            .saturating_sub(self.started_at.elapsed());
        info!(self.core.log, "choice"; "request" => self.request.id.to_str().unwrap_or("-"),
            "attempt" => self.attempts, "instance" => %chosen.upstream.id,
            "reason" => %chosen.choice.reason, "in_flight" => chosen.choice.in_flight,
            "expected_ms" => millis(chosen.choice.expected),
            "age_ms" => chosen.choice.age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1)),
            "report" => chosen.choice.report.map_or_else(|| "-".to_owned(), |r| {
                format!("{}+{}/{}@{}", r.running, r.waiting, r.slots, r.pace)
            }),
            "cost" => format!("{:.3}", chosen.choice.cost),
            "left_ms" => millis(remaining));
        let watch = self.watch(&chosen, &body);
        let ticket = self.balancer(|balancer, now| balancer.start_attempt(now, pick));
        let reservation = Reservation {
            ticket: ticket.ok_or(Reason::NoInstance)?,
            grant: chosen.grant,
        };
        let core = Arc::clone(&self.core);
        self.sends.begin();
        self.set_permit_sent(true);
        let sent_at = Instant::now();
        self.last_attempt = Some(Attempt {
            upstream: Arc::clone(&chosen.upstream),
            choice: chosen.choice,
            sent_at,
        });
        let timeouts = AttemptTimeouts {
            remaining,
            unresponsive_after: chosen.choice.expected.mul_f64(UNRESPONSIVE_FACTOR),
        };
        let upstream = &chosen.upstream;
        let request = &self.request;
        let end = exchange::attempt(
            &core,
            upstream,
            reservation,
            request,
            body,
            timeouts,
            |sent_at| self.wait_until_abandoned(watch, sent_at),
        )
        .await;
        if let Some(proof) = end.not_run() {
            self.sends.record_not_run(proof);
        }
        self.set_permit_sent(self.sends.may_have_run());
        self.log_attempt(&end, sent_at.elapsed());
        self.record_end(&end, upstream, sent_at).await;
        if matches!(end, AttemptEnd::Elsewhere(_)) {
            self.balancer(|balancer, _| balancer.record_displaced(pick));
        }
        self.record_head(&end, &chosen.choice, sent_at.elapsed());
        if let AttemptEnd::Answer(parts, UpstreamBody::Whole(bytes)) = &end
            && parts.status.is_success()
        {
            let total = bytes.len() as u64 + self.request_bytes;
            let latency = sent_at.elapsed();
            let record =
                |stats: &mut RouteStats| stats.record_response(latency, &chosen.choice, total);
            self.core.route_stats(&self.route, record);
        }
        Ok(end)
    }

    /// Records the time until the head of a successful response.
    fn record_head(&self, end: &AttemptEnd, choice: &ScoredChoice, latency: Duration) {
        if matches!(end, AttemptEnd::Answer(parts, _) if parts.status.is_success()) {
            self.core
                .route_stats(&self.route, |stats| stats.record_head(latency, choice));
        }
    }

    /// Logs an attempt that failed; a successful one appears in the request's own line.
    fn log_attempt(&self, end: &AttemptEnd, elapsed: Duration) {
        let status = match end {
            AttemptEnd::Answer(parts, _) if parts.status.is_server_error() => parts.status.as_u16(),
            AttemptEnd::Answer(..) => return,
            _ => 0,
        };
        let label: &'static str = end.into();
        info!(self.core.log, "attempt"; "request" => self.request.id.to_str().unwrap_or("-"),
            "attempt" => self.attempts, "end" => label, "status" => status,
            "instance" => self.last_instance(),
            "service" => %self.service, "ms" => millis(elapsed));
    }

    /// Returns the final outcome, or the body for another attempt.
    fn next_step(
        &mut self,
        end: Result<AttemptEnd, Reason>,
        retry_body: Option<ForwardedBody>,
    ) -> Result<Outcome, ForwardedBody> {
        let once = self.route.kind == Kind::Once;
        let reason = match &end {
            Err(reason) => *reason,
            Ok(_) => Reason::Full,
        };
        let retry = match end {
            Err(_) => false,
            Ok(AttemptEnd::Answer(parts, body)) => {
                self.responder = self.last_attempt.as_ref().map(|last| last.upstream.run());
                let failed = parts.status.is_server_error();
                if !failed || once || !self.may_retry(retry_body.is_some()) {
                    return Ok(Outcome::Response(parts, body));
                }
                self.failed_response = Some((parts, body));
                true
            }
            Ok(AttemptEnd::Abandoned(next)) => {
                self.next_instance = Some(*next);
                true
            }
            Ok(AttemptEnd::Unknown | AttemptEnd::Mismatched) => {
                !once && self.may_retry(retry_body.is_some())
            }
            Ok(AttemptEnd::Unsent(_) | AttemptEnd::Withheld(_)) => {
                self.attempts -= 1;
                self.unsent += 1;
                self.unsent < MAX_UNSENT_ATTEMPTS
            }
            Ok(AttemptEnd::Refused(_) | AttemptEnd::Elsewhere(_)) => {
                self.may_retry(retry_body.is_some())
            }
        };
        match retry_body {
            Some(body) if retry => Err(body),
            _ => Ok(self.fallback(reason)),
        }
    }

    /// Outcome without a successful response: an instance's server error if there is one,
    /// otherwise a refusal, with `reason` if no instance can have processed the request.
    fn fallback(&mut self, reason: Reason) -> Outcome {
        if let Some(failure) = self.failure() {
            return failure;
        }
        if self.sends.may_have_run() {
            return Outcome::Refusal(Reason::Broken, None);
        }
        let reason = match reason {
            Reason::Full if self.all_are_backed_off() => Reason::BackedOff,
            reason => reason,
        };
        let retry_after = match reason {
            Reason::BackedOff => self.estimated_return(),
            Reason::Quarantined | Reason::OverQuota | Reason::QuotaUnreachable => self.retry_after,
            Reason::Unauthorized => None,
            Reason::Memory => Some(MEMORY_RETRY_AFTER),
            // Other processes can serve it without delay.
            Reason::Stopping => Some(Duration::ZERO),
            Reason::Full => self.full_return(),
            _ => Some(UNAVAILABLE_RETRY_AFTER),
        };
        Outcome::Refusal(reason, retry_after)
    }

    /// The server error of an instance, if there is one.
    fn failure(&mut self) -> Option<Outcome> {
        let (parts, body) = self.failed_response.take()?;
        Some(Outcome::Response(parts, body))
    }

    /// Whether all instances asked this process for a time without requests.
    fn all_are_backed_off(&self) -> bool {
        let remaining = self.balancer(|balancer, now| balancer.backoff_remaining(now));
        remaining.flatten().is_some()
    }

    /// Whether another attempt is possible, allowed by the route and within the retry budget.
    fn may_retry(&self, has_body: bool) -> bool {
        let allowed = has_body && self.attempts < self.max_attempts && !self.is_suspected;
        if !allowed {
            return false;
        }
        let spent = self.balancer(|balancer, now| {
            let share = balancer.retry_share(now);
            (share, balancer.try_spend_retry(now))
        });
        let (share, within_budget) = spent.unwrap_or_default();
        info!(self.core.log, "retry"; "request" => self.request.id.to_str().unwrap_or("-"),
            "service" => %self.service, "attempt" => self.attempts, "granted" => within_budget,
            "tokens" => format!("{:.2}", share.tokens), "processes" => share.processes,
            "age_ms" => millis(share.age));
        if !within_budget {
            self.core.counters.retry_denied(&self.service);
        }
        within_budget
    }

    /// Instance of the most recent attempt, for the log.
    fn last_instance(&self) -> &str {
        let attempt = self.last_attempt.as_ref();
        attempt.map_or("-", |attempt| attempt.upstream.id.as_str())
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// An empty response body.
#[must_use]
pub fn empty_body() -> ResponseBody {
    ResponseBody::whole(Bytes::new())
}
