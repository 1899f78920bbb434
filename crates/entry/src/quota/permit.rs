//! A permit for one request.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use tokio::runtime::Handle;
use wire::link::within;
use wire::quota::GiveBack;

use super::limit;
use crate::core::Core;

/// Timeout of the message that gives a permit back. If it is lost, so is the token.
const GIVE_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A permit, given back when dropped unless its request was sent or the permit is too old.
pub struct Permit {
    core: Arc<Core>,
    workspace: WorkspaceName,
    /// The holder; `None` if it is this process.
    holder: Option<SocketAddr>,
    /// When the permit was asked for; its token was deducted later.
    asked_at: Moment,
    sent: bool,
}

impl Permit {
    pub(super) fn new(
        core: &Arc<Core>,
        workspace: &WorkspaceName,
        holder: Option<SocketAddr>,
        asked_at: Moment,
    ) -> Self {
        Self {
            core: Arc::clone(core),
            workspace: workspace.clone(),
            holder,
            asked_at,
            sent: false,
        }
    }

    /// Whether the permit is too old for a request to be sent. A token that is used or returned
    /// long after it was deducted would count in a window in which others accrue as well.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        let lifetime = self.core.settings().quota.bound.permit_lifetime();
        self.core.clock.now().since(self.asked_at) >= lifetime
    }

    /// Records whether an instance may run the request.
    pub fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("workspace", &self.workspace)
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.sent || self.is_expired() {
            return;
        }
        self.core.counters.quota("returned", 1);
        let Some(holder) = self.holder else {
            let core = &self.core;
            if let Some(limit) = limit(core, &self.workspace) {
                let holder = &mut core.quotas.state().holder;
                holder.give_back(core.clock.now(), &self.workspace, limit, 1);
            }
            return;
        };
        // Without a runtime the process is exiting; the token is lost.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let peer = self.core.quotas.clients.at(holder);
        let message = GiveBack {
            workspace: self.workspace.to_string(),
            count: 1,
            host: self.core.settings().host.to_string(),
        };
        runtime.spawn(async move {
            let send = |client: wire::api::PlaceApiClient| {
                let message = message.clone();
                async move { client.give_back(within(GIVE_BACK_TIMEOUT), message).await }
            };
            // If the message is lost, so is the token.
            let _ = peer.call(GIVE_BACK_TIMEOUT, send).await;
        });
    }
}
