//! Keeps requests that crash instances from being sent, and learns which these are.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use table::Kind;
use tokio::time::Instant;

use super::Flow;
use super::millis;
use crate::crash;
use crate::crash::Broken;
use crate::crash::Subject;
use crate::exchange::Answered;
use crate::exchange::End;
use crate::refusal::Reason;
use crate::view::Upstream;

/// Longest wait for the hubs' word on a request under which an instance has crashed: a
/// connection to the instance's host and one question, some times over.
const VERDICT: Duration = Duration::from_millis(40);

impl Flow {
    /// Refuses a request that crashes what runs it.
    pub(super) async fn check(&mut self) -> Result<(), Reason> {
        let head = self.call.head;
        if !self.core.tracks_path(head) {
            return Ok(());
        }
        let Some(request) = self.content.fingerprint(head).await else {
            return Ok(());
        };
        let Some(left) = self.core.refused(request) else {
            return Ok(());
        };
        info!(self.core.log, "quarantined"; "request" => self.call.id.to_str().unwrap_or("-"),
            "fingerprint" => %request, "left_ms" => millis(left));
        self.back = Some(left);
        Err(Reason::Quarantined)
    }

    /// Learns from the end of an attempt what the request does to instances.
    pub(super) async fn learn(&self, end: &End, upstream: &Arc<Upstream>, sent: Instant) {
        match end {
            End::Unknown => self.broke_off(upstream, sent).await,
            End::Answer(parts, Answered::Whole(_)) if !parts.status.is_server_error() => {
                self.subject().record_success(&self.core);
            }
            _ => {}
        }
    }

    /// What the request is told by in an attempt that breaks off.
    pub(super) fn subject(&self) -> Subject {
        Subject {
            id: self.call.id.clone(),
            caller: Arc::clone(&self.call.caller),
            head: self.call.head,
            content: self.content.clone(),
        }
    }

    /// Looks whether the attempt ended together with its instance. What may be sent again
    /// waits until the hubs say whether it is to be.
    async fn broke_off(&self, upstream: &Arc<Upstream>, sent: Instant) {
        let broken = Broken {
            subject: self.subject(),
            upstream: Arc::clone(upstream),
            sent,
            at: Instant::now(),
        };
        let looking = crash::look(&self.core, broken);
        if self.route.kind == Kind::Idempotent && self.attempts < self.route.attempts {
            // Without their word it is sent again, as far as this process knows.
            let _ = tokio::time::timeout(VERDICT, looking.word).await;
        }
    }
}
