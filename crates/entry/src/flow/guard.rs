//! Refuses requests that crash instances, and detects such requests.

use std::sync::Arc;

use slog::info;
use tokio::time::Instant;

use super::Flow;
use super::millis;
use crate::crash;
use crate::crash::BrokenAttempt;
use crate::crash::RequestIdentity;
use crate::exchange::AttemptEnd;
use crate::exchange::UpstreamBody;
use crate::refusal::Reason;
use crate::view::Upstream;

impl Flow {
    /// Refuses the request if it is quarantined.
    pub(super) async fn check_quarantine(&mut self) -> Result<(), Reason> {
        let head = self.request.head;
        if !self.core.tracks_path(head) {
            return Ok(());
        }
        let Some(fingerprint) = self.content.fingerprint(head).await else {
            return Ok(());
        };
        let Some(remaining) = self.core.quarantine_remaining(fingerprint) else {
            return Ok(());
        };
        info!(self.core.log, "quarantined"; "request" => self.request.id.to_str().unwrap_or("-"),
            "fingerprint" => %fingerprint, "left_ms" => millis(remaining));
        self.retry_after = Some(remaining);
        Err(Reason::Quarantined)
    }

    /// Records whether the request succeeded or may have crashed the instance.
    pub(super) async fn record_end(
        &mut self,
        end: &AttemptEnd,
        upstream: &Arc<Upstream>,
        sent_at: Instant,
    ) {
        match end {
            AttemptEnd::Unknown => self.check_crash(upstream, sent_at).await,
            AttemptEnd::Answer(parts, UpstreamBody::Whole(_))
                if !parts.status.is_server_error() =>
            {
                self.identity().record_success(&self.core);
            }
            _ => {}
        }
    }

    /// Identifies this request in crash reports.
    pub(super) fn identity(&self) -> RequestIdentity {
        RequestIdentity {
            id: self.request.id.clone(),
            caller: Arc::clone(&self.request.caller),
            head: self.request.head,
            content: self.content.clone(),
        }
    }

    /// Checks whether the attempt broke off because its instance crashed. If the request could be
    /// retried, waits for a hub's acknowledgement.
    async fn check_crash(&mut self, upstream: &Arc<Upstream>, sent_at: Instant) {
        let broken = BrokenAttempt {
            request: self.identity(),
            upstream: Arc::clone(upstream),
            sent_at,
            broken_at: Instant::now(),
        };
        let check = crash::check(&self.core, broken);
        if self.route.kind.is_idempotent() && self.attempts < self.max_attempts {
            let elapsed = self.started_at.elapsed();
            let remaining = self.caller_timeout.saturating_sub(elapsed);
            self.is_suspected = !check.may_retry(self.attempts, remaining).await;
            if self.is_suspected {
                info!(self.core.log, "suspected";
                    "request" => self.request.id.to_str().unwrap_or("-"),
                    "attempt" => self.attempts, "instance" => %upstream.id,
                    "left_ms" => millis(remaining));
            }
        }
    }
}
