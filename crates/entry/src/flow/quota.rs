//! The permit of a request, by the quota of its workspace.

use std::time::Duration;

use base::prelude::*;
use slog::info;

use super::Flow;
use super::STARTUP_WAIT_FRACTION;
use super::millis;
use crate::quota;
use crate::quota::Denial;
use crate::quota::Urgency;
use crate::refusal::Reason;

/// Part of the latency target for which a request waits for a token instead of being refused.
const PATIENCE_FRACTION: f64 = 0.125;
/// Maximum of this wait.
const MAX_PATIENCE: Duration = Duration::from_millis(50);
/// Interval at which requests ask again while the process has just started. They wait for permits
/// as they wait for the first table, as holders grant nothing before they know each other.
const STARTUP_INTERVAL: Duration = Duration::from_millis(40);

impl Flow {
    /// Acquires a permit if the workspace has a quota. A request that was relayed to this process
    /// has the permit of the process that relays it.
    pub(super) async fn charge(&mut self) -> Result<(), Reason> {
        let Some(workspace) = self.workspace.clone() else {
            return Ok(());
        };
        let is_charged = self.hop.as_ref().is_some_and(|hop| hop.charged);
        if workspace.quota.is_none() || is_charged {
            return Ok(());
        }
        let patience = self.aim.mul_f64(PATIENCE_FRACTION).min(MAX_PATIENCE);
        let mut acquired =
            quota::acquire(&self.core, &workspace.name, self.urgency(), patience).await;
        while acquired.is_err() && self.waits_for_startup() {
            tokio::time::sleep(STARTUP_INTERVAL).await;
            acquired = quota::acquire(&self.core, &workspace.name, self.urgency(), patience).await;
        }
        let denial = match acquired {
            Ok(permit) => {
                self.permit = Some(permit);
                return Ok(());
            }
            Err(denial) => denial,
        };
        let (reason, retry_after) = match denial {
            Denial::OverQuota(retry_after) => (Reason::OverQuota, retry_after),
            Denial::Unreachable(retry_after) => (Reason::QuotaUnreachable, retry_after),
        };
        self.retry_after = Some(retry_after);
        let label: &'static str = reason.into();
        info!(self.core.log, "no permit"; "request" => self.request.id.to_str().unwrap_or("-"),
            "workspace" => workspace.name.as_str(), "outcome" => label,
            "table" => self.table_version, "back_ms" => millis(retry_after));
        Err(reason)
    }

    /// Whether the request is served before those that come back late. After a restart of all
    /// processes, nearly all callers are late.
    fn urgency(&self) -> Urgency {
        if self.is_late() && !self.is_starting() {
            Urgency::Late
        } else {
            Urgency::InTime
        }
    }

    fn is_starting(&self) -> bool {
        self.core.clock.now().since(Moment::ZERO) < quota::STARTUP_PERIOD
    }

    /// Whether a request without a permit asks again, as the process has just started.
    fn waits_for_startup(&self) -> bool {
        let wait = self.caller_timeout.mul_f64(STARTUP_WAIT_FRACTION);
        self.is_starting() && self.started_at.elapsed() + STARTUP_INTERVAL < wait
    }

    /// Acquires another permit if the request has waited for so long that its own has expired.
    pub(super) async fn renew_permit(&mut self) -> Result<(), Reason> {
        let is_expired = self.permit.as_ref().is_some_and(quota::Permit::is_expired);
        if self.sends.may_have_run() || !is_expired {
            return Ok(());
        }
        self.permit = None;
        self.charge().await
    }

    /// Records whether an instance may run the request, so that its permit is not given back.
    pub(super) fn set_permit_sent(&mut self, sent: bool) {
        if let Some(permit) = &mut self.permit {
            permit.set_sent(sent);
        }
    }

    /// Whether the request has a permit that another process needn't acquire again.
    pub(super) fn is_charged(&self) -> bool {
        self.permit.is_some()
    }
}
