//! The asking side: acquires permits from the holder of the workspace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use quota::Answer;
use quota::Verdict;
use tokio::sync::oneshot;
use wire::api::PlaceApiClient;
use wire::link::within;
use wire::quota::Acquire;

use super::Denial;
use super::Permit;
use super::Urgency;
use super::serve;
use crate::core::Core;

/// Maximum wait for a holder's answer.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which to come back if no holder answers: by then the circuit breakers allow the
/// next call, and new lists have arrived.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Acquires a permit. A refusal for no longer than `patience` is waited for, once.
///
/// # Errors
///
/// Fails if the request is beyond the quota or no holder answers.
pub async fn acquire(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    urgency: Urgency,
    patience: Duration,
) -> Result<Permit, Denial> {
    match ask_once(core, workspace, urgency).await {
        Err(Denial::OverQuota(retry_after)) if retry_after <= patience => {
            tokio::time::sleep(retry_after).await;
            ask_once(core, workspace, urgency).await
        }
        result => result,
    }
}

async fn ask_once(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    urgency: Urgency,
) -> Result<Permit, Denial> {
    let asked_at = core.clock.now();
    if core.quotas.is_own(core, workspace) {
        let host = core.settings().host.clone();
        let granted = serve::grant(core, workspace, 1, host.as_str(), urgency).await;
        if let Some(granted) = granted {
            let permit = || Permit::new(core, workspace, None, asked_at);
            return (granted.count > 0)
                .then(permit)
                .ok_or(Denial::OverQuota(granted.retry_after));
        }
    }
    let (ticket, verdict) = oneshot::channel();
    {
        let mut state = core.quotas.state();
        let key = (workspace.clone(), urgency);
        let batch = state.batches.entry(key.clone()).or_default();
        batch.add(asked_at, ticket).map_err(Denial::OverQuota)?;
        if let Some(count) = batch.start_call() {
            tokio::spawn(run_calls(Arc::clone(core), key, count));
        }
    }
    let unreachable = Denial::Unreachable(UNREACHABLE_RETRY_AFTER);
    verdict.await.unwrap_or(Err(unreachable))
}

/// Makes calls until no request of the workspace waits.
async fn run_calls(core: Arc<Core>, key: (WorkspaceName, Urgency), mut count: u32) {
    let (workspace, urgency) = &key;
    loop {
        let asked_at = core.clock.now();
        let (answer, holder) = ask_holders(&core, workspace, count, *urgency).await;
        let now = core.clock.now();
        let (verdicts, next) = {
            let mut state = core.quotas.state();
            let Some(batch) = state.batches.get_mut(&key) else {
                return;
            };
            let verdicts = batch.end_call(now, answer);
            let next = batch.start_call();
            if batch.is_idle(now) {
                state.batches.remove(&key);
            }
            (verdicts, next)
        };
        for (ticket, verdict) in verdicts {
            let verdict = match verdict {
                Verdict::Granted => Ok(Permit::new(&core, workspace, holder, asked_at)),
                Verdict::Refused(retry_after) => Err(Denial::OverQuota(retry_after)),
                Verdict::Unreachable => Err(Denial::Unreachable(UNREACHABLE_RETRY_AFTER)),
            };
            // A permit whose request has ended meanwhile is given back as it is dropped.
            let _ = ticket.send(verdict);
        }
        match next {
            Some(next) => count = next,
            None => return,
        }
    }
}

/// Asks the holders one after the other until one answers, that of the own domain first. Returns
/// its address, unless it is this process.
async fn ask_holders(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    count: u32,
    urgency: Urgency,
) -> (Answer, Option<SocketAddr>) {
    let host = core.settings().host.clone();
    for address in core.quotas.holders(core, workspace) {
        if address == core.quotas.own {
            if let Some(granted) =
                serve::grant(core, workspace, count, host.as_str(), urgency).await
            {
                return (Answer::Granted(granted.count, granted.retry_after), None);
            }
            continue;
        }
        let Ok(address) = address.parse::<SocketAddr>() else {
            continue;
        };
        let ask = Acquire {
            workspace: workspace.to_string(),
            count,
            host: host.to_string(),
            table: core.routes().version(),
            late: urgency == Urgency::Late,
        };
        let send = |client: PlaceApiClient| {
            let ask = ask.clone();
            async move { client.acquire(within(ACQUIRE_TIMEOUT), ask).await }
        };
        let peer = core.quotas.clients.at(address);
        let permits = peer.call(ACQUIRE_TIMEOUT, send).await;
        if let Some(permits) = permits.filter(|permits| permits.holder) {
            let retry_after = Duration::from_micros(permits.retry_after_us.into());
            let granted = permits.granted.min(count);
            return (Answer::Granted(granted, retry_after), Some(address));
        }
    }
    core.counters.quota("unreachable", count);
    (Answer::Unreachable, None)
}

impl super::Quotas {
    /// The holders of a workspace, that of the own failure domain first.
    fn holders(&self, core: &Core, workspace: &WorkspaceName) -> Vec<String> {
        let settings = core.settings();
        let state = self.state();
        let holders = state.domains.holders(workspace, settings.domain.as_str());
        holders.into_iter().map(ToOwned::to_owned).collect()
    }

    /// Whether this process is the first to be asked.
    fn is_own(&self, core: &Core, workspace: &WorkspaceName) -> bool {
        let settings = core.settings();
        let state = self.state();
        let holders = state.domains.holders(workspace, settings.domain.as_str());
        holders.first().is_some_and(|holder| *holder == self.own)
    }
}
