//! Relays the request through another entry process.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use correlate::NotRun;
use correlate::Owner;
use correlate::Verdict;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use reach::Answer;
use slog::info;
use slog::warn;
use tokio::time::Instant;

use super::Flow;
use super::Outcome;
use super::millis;
use crate::body::ForwardedBody;
use crate::core::SearchProgress;
use crate::correlation;
use crate::correlation::Exchange;
use crate::exchange;
use crate::exchange::AttemptEnd;
use crate::exchange::UpstreamBody;
use crate::pool::Connection;
use crate::pool::Message;
use crate::pool::Usage;
use crate::refusal::Reason;
use crate::relay;
use crate::relay::Hop;
use crate::relay::HopOutcome;
use crate::relay::Peer;
use crate::relay::PeerLease;
use crate::relay::PeerReport;
use crate::relay::SendEnd;
use crate::relay::search;
use crate::relay::search::NextPeer;
use crate::route_stats::RouteStats;

/// Time by which the other process gives up earlier, so that its response arrives in time.
const HOP_TIME: Duration = Duration::from_millis(10);

/// How a request ended at a peer.
enum HopEnd {
    /// With a response for the caller.
    Final(Outcome),
    /// The peer didn't take it, and no instance has run it.
    NotTaken(Reason),
    /// All instances are backed off as far as the peer is concerned; they are for this long.
    BackedOff(Duration),
}

impl Flow {
    /// Whether no instance of the service took the request and the reason may be a cut path.
    /// Waits for a check of the path that is in progress.
    pub(super) async fn is_cut_off_after(&self, end: &Result<AttemptEnd, Reason>) -> bool {
        let not_taken = matches!(
            end,
            Ok(AttemptEnd::Unsent(_)) | Err(Reason::Full | Reason::NoInstance)
        );
        if !not_taken || !self.may_run_again() {
            return false;
        }
        self.core.path_checked(&self.service).await;
        self.core.is_cut_off(&self.service)
    }

    /// Lets another process make the attempts. A request that was relayed to this process is
    /// refused. Returns the body if no process took the request and instances are reached again.
    pub(super) async fn relay(&mut self, body: ForwardedBody) -> Result<Outcome, ForwardedBody> {
        if self.hop.is_some() {
            return Ok(self.fallback(Reason::Unreachable));
        }
        let mut tried: Vec<Arc<Peer>> = Vec::new();
        let mut shortest_backoff: Option<Duration> = None;
        let mut body = Some(body);
        while let Some(current) = body.take() {
            self.complete_body(&current).await;
            if let Err(reason) = self.check_stop(&current, Duration::ZERO) {
                return Ok(self.fallback(reason));
            }
            if let Err(reason) = self.renew_permit().await {
                return Ok(self.fallback(reason));
            }
            let peer = match search::next_peer(&self.core, &self.service, &tried).await {
                NextPeer::Found(peer) => peer,
                NextPeer::PathRegained => return Err(current),
                NextPeer::None => break,
            };
            tried.push(Arc::clone(&peer));
            let replay = current.replay();
            let started_at = Instant::now();
            let lease = PeerLease::new(Arc::clone(&peer));
            let end = match self.send_to_peer(&lease, current).await {
                SendEnd::Response(response, connection) => {
                    body = replay;
                    self.judge_hop(lease, response, connection).await
                }
                SendEnd::Unsent(unsent) => {
                    body = Some(unsent).filter(|_| replay.is_none()).or(replay);
                    self.core.record_peer_silent(&peer);
                    HopEnd::NotTaken(Reason::Unreachable)
                }
                SendEnd::Broken => {
                    self.core.record_peer_silent(&peer);
                    HopEnd::Final(self.fallback(Reason::Broken))
                }
            };
            self.set_permit_sent(self.sends.may_have_run());
            self.log_hop(&peer, &end, started_at.elapsed());
            match end {
                HopEnd::Final(outcome) => return Ok(outcome),
                HopEnd::NotTaken(_) => {}
                HopEnd::BackedOff(delay) => {
                    shortest_backoff =
                        Some(shortest_backoff.map_or(delay, |known| known.min(delay)));
                }
            }
        }
        Ok(self.refuse_unreachable(tried.len(), shortest_backoff))
    }

    /// The outcome of a request that no peer took.
    fn refuse_unreachable(&mut self, tried: usize, backoff: Option<Duration>) -> Outcome {
        let SearchProgress { counts, next_wave } = self.core.search_progress(&self.service);
        info!(self.core.log, "no peer"; "request" => self.request.id.to_str().unwrap_or("-"),
            "service" => %self.service, "tried" => tried, "listed" => counts.listed,
            "reached" => counts.reached, "cut_off" => counts.cut_off, "silent" => counts.silent,
            "next_ms" => millis(next_wave));
        match (self.fallback(Reason::Unreachable), backoff) {
            (Outcome::Refusal(Reason::Unreachable, _), Some(delay)) => {
                Outcome::Refusal(Reason::BackedOff, Some(delay))
            }
            (Outcome::Refusal(reason, retry_after), None) => {
                let retry_after = retry_after.map(|delay| delay.max(next_wave));
                Outcome::Refusal(reason, retry_after)
            }
            (outcome, _) => outcome,
        }
    }

    async fn send_to_peer(&mut self, lease: &PeerLease, body: ForwardedBody) -> SendEnd {
        let length = body.size_hint().exact();
        let mut request = Request::new(body);
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.request.headers);
        let elapsed = self.started_at.elapsed();
        let timeout = millis(self.caller_timeout.saturating_sub(elapsed));
        headers.insert(&self.core.dialect.deadline, HeaderValue::from(timeout));
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let hop = Hop {
            caller: Arc::clone(&self.request.caller),
            service: self.service.clone(),
            workspace: self
                .workspace
                .as_ref()
                .map(|workspace| workspace.name.clone()),
            key: self.key.digest(),
            table: self.table_version,
            remaining: remaining.saturating_sub(HOP_TIME),
            aim: self.aim.saturating_sub(elapsed),
            attempts: self.max_attempts.saturating_sub(self.attempts),
            counted: self.counted,
            charged: self.is_charged(),
        };
        hop.write(headers);
        framing::write_request(&self.request.method, headers, length);
        self.sends.begin();
        self.set_permit_sent(true);
        let end = relay::send(lease.peer(), request, Some(&self.request.id)).await;
        let end = self.refuse_framing(lease.peer(), end);
        if let SendEnd::Unsent(_) = &end {
            self.sends.record_not_run(&NotRun::unsent());
        }
        end
    }

    /// A response with contradictory framing counts as broken off.
    fn refuse_framing(&self, peer: &Peer, end: SendEnd) -> SendEnd {
        let SendEnd::Response(response, _) = &end else {
            return end;
        };
        let Err(err) = framing::check_response(response.status(), response.headers()) else {
            return end;
        };
        warn!(self.core.log, "response refused";
            "request" => self.request.id.to_str().unwrap_or("-"), "peer" => %peer.address,
            "service" => %self.service, "error" => %err);
        SendEnd::Broken
    }

    /// Judges a peer's response.
    async fn judge_hop(
        &mut self,
        lease: PeerLease,
        mut response: Response<Incoming>,
        mut connection: Connection,
    ) -> HopEnd {
        let peer = Arc::clone(lease.peer());
        let outcome = HopOutcome::take(response.headers_mut());
        let report = PeerReport::take(response.headers_mut());
        let retry_after = retry_after(&response);
        let run = relay::take_instance(response.headers_mut());
        let usage = connection.record_use(Message::Request);
        let headers = response.headers();
        let owner = correlation::owner(&self.core, self.request.id.as_bytes(), headers);
        let refused =
            matches!(outcome, Some(HopOutcome::Refused(reason)) if reason.means_not_run());
        let verdict = correlate::judge(owner, response.status(), refused);
        let (Some(outcome), Owner::Sent) = (outcome, owner) else {
            // Not a response of an entry process, or not to this request.
            self.record_foreign(&peer, run.as_ref(), owner, &response, usage);
            peer.pool.discard_open();
            self.core.record_peer_silent(&peer);
            return HopEnd::Final(self.fallback(Reason::Broken));
        };
        if let (true, Verdict::NotRun(proof)) = (refused, verdict) {
            self.sends.record_not_run(&proof);
            connection.record_refused(&self.request.id);
        }
        if let Some(upstream) = run.and_then(|run| self.core.upstream(&run)) {
            // The response is passed on here, so what its instance says binds this process, too.
            let id = self.request.id.to_str().unwrap_or("-");
            self.core
                .record_notices(&upstream, response.status(), response.headers(), id);
        }
        let refused_by_process =
            matches!(outcome, HopOutcome::Refused(reason) if reason.is_about_process());
        let answer = Answer {
            reached: !refused_by_process,
            load: report.load,
            hints: report.hints,
        };
        self.core.record_peer_answer(&self.service, &peer, &answer);
        let spool = self.spool.clone();
        let reusable = spool.is_none_or(|spool| spool.is_complete());
        let client = &self.request.client;
        let read =
            exchange::read_response(&peer.pool, response, connection, reusable, client).await;
        match (outcome, read) {
            (HopOutcome::Answered, Some((parts, body))) => {
                if parts.status.is_success() && matches!(body, UpstreamBody::Whole(_)) {
                    let latency = self.started_at.elapsed();
                    let record = |stats: &mut RouteStats| stats.record_relayed(latency);
                    self.core.route_stats(&self.route, record);
                }
                self.peer = Some(lease);
                HopEnd::Final(Outcome::Response(Box::new(parts), body))
            }
            (HopOutcome::Answered, None) => HopEnd::Final(Outcome::Refusal(Reason::Broken, None)),
            (HopOutcome::Refused(Reason::BackedOff), _) => {
                HopEnd::BackedOff(retry_after.unwrap_or_default())
            }
            (HopOutcome::Refused(reason), _) if refused_by_process => HopEnd::NotTaken(reason),
            // An attempt of this process may have run, whatever the peer says.
            (HopOutcome::Refused(_), _) if refused && self.sends.may_have_run() => {
                HopEnd::Final(self.fallback(Reason::Broken))
            }
            (HopOutcome::Refused(reason), _) => HopEnd::Final(
                self.failure()
                    .unwrap_or(Outcome::Refusal(reason, retry_after)),
            ),
        }
    }

    /// Logs and counts a peer's response that doesn't name the request.
    fn record_foreign(
        &self,
        peer: &Peer,
        run: Option<&InstanceRun>,
        owner: Owner,
        response: &Response<Incoming>,
        usage: Usage,
    ) {
        if owner == Owner::Sent {
            return;
        }
        let exchange = Exchange {
            request: self.request.id.to_str().unwrap_or("-"),
            instance: run.map_or("-", |run| run.instance.as_str()),
            peer: Some(peer.address),
            service: &self.service,
            usage,
        };
        let (status, headers) = (response.status(), response.headers());
        correlation::record_foreign(&self.core, &exchange, owner, status, headers);
    }

    fn log_hop(&self, peer: &Peer, end: &HopEnd, elapsed: Duration) {
        let outcome: &'static str = match end {
            HopEnd::Final(Outcome::Response(..)) => "answered",
            HopEnd::Final(Outcome::Refusal(reason, _)) | HopEnd::NotTaken(reason) => reason.into(),
            HopEnd::BackedOff(_) => Reason::BackedOff.into(),
        };
        info!(self.core.log, "relayed"; "request" => self.request.id.to_str().unwrap_or("-"),
            "service" => %self.service, "peer" => %peer.address, "domain" => &*peer.domain, "outcome" => outcome,
            "attempts" => self.attempts, "unsent" => self.unsent, "ms" => millis(elapsed));
        self.core.counters.relayed(&self.service, outcome, elapsed);
    }
}

/// The time after which the caller may retry, as the peer named it.
fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let text = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}
