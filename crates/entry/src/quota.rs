//! Quotas of workspaces: permits for the requests that this process takes.
//!
//! The crate `quota` decides; this module carries its messages. The process asks the holder in
//! its failure domain, or serves itself if it is the holder. A holder that doesn't answer is
//! bypassed, and those of the other failure domains are asked.

mod ask;
mod permit;
mod serve;
pub mod tick;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use quota::Batch;
use quota::Domains;
use quota::Holder;
use quota::Limit;
use quota::Member;
use slog::Logger;
use slog::warn;
use tokio::sync::oneshot;
use wire::hub::EntryHost;

pub use self::ask::acquire;
pub use self::permit::Permit;
pub(crate) use self::serve::acquire as serve_acquire;
pub(crate) use self::serve::give_back as serve_give_back;
pub(crate) use self::serve::transfer as serve_transfer;

use self::serve::Borrowing;
use crate::core::Core;
use crate::place_client::PlaceClients;
use crate::place_client::Role;
use crate::settings::Settings;

/// Time after its start during which a process counts as just started.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Why a request gets no permit, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request is beyond the quota.
    OverQuota(Duration),
    /// No holder answered.
    Unreachable(Duration),
}

/// Whether a request can still be answered within its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// It can.
    InTime,
    /// It was refused before, and can't.
    Late,
}

/// A request that waits for a permit.
type Ticket = oneshot::Sender<Result<Permit, Denial>>;

#[derive(Debug)]
struct State {
    domains: Domains,
    holder: Holder,
    batches: HashMap<(WorkspaceName, Urgency), Batch<Ticket>>,
    /// The transfers of the workspaces that this process holds.
    borrowings: HashMap<WorkspaceName, Arc<Borrowing>>,
}

/// What the process knows of quotas.
#[derive(Debug)]
pub struct Quotas {
    /// The address by which other processes know this one; empty if it answers none.
    own: String,
    state: Mutex<State>,
    /// Clients of other holders.
    clients: PlaceClients,
}

impl Quotas {
    /// The state of a process with these settings, before it knows any other process.
    #[must_use]
    pub fn new(settings: &Settings, clock: Clock, log: Logger) -> Self {
        let place = settings.place;
        let own = place.map_or_else(String::new, |place| place.to_string());
        Self {
            state: Mutex::new(State {
                domains: Domains::default(),
                holder: Holder::new(own.clone(), clock.now()),
                batches: HashMap::new(),
                borrowings: HashMap::new(),
            }),
            own,
            clients: PlaceClients::new(Role::QuotaHolder, clock, log),
        }
    }

    /// Puts the list of entry hosts into effect.
    pub fn set_hosts(&self, now: Moment, settings: &Settings, hosts: &[EntryHost]) {
        let members = hosts.iter().map(|host| Member {
            address: host.place.clone(),
            domain: host.domain.clone(),
        });
        let domains = Domains::new(&settings.quota.domains, members);
        let mut state = self.state();
        let members = domains.members(settings.domain.as_str());
        let shares = settings.quota.bound.shares(domains.count());
        state.holder.set_list(now, members, shares);
        state.domains = domains;
        drop(state);
        self.clients
            .retain(|address| hosts.iter().any(|host| host.place == address));
    }

    /// Records that most hubs have just started. If this process has, too, the whole system has
    /// restarted.
    pub fn hubs_restarted(&self, now: Moment) {
        if now.since(Moment::ZERO) < STARTUP_PERIOD {
            self.state().holder.set_system_restarted(now);
        }
    }

    /// Records that a hub answered.
    pub fn hub_answered(&self, now: Moment) {
        self.state().holder.hub_answered(now);
    }

    /// Records whether hubs of the group are silent.
    pub fn set_hub_missing(&self, now: Moment, missing: bool) {
        self.state().holder.set_hub_missing(now, missing);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The current quota of a workspace; `None` if it has none or is unknown.
fn limit(core: &Core, workspace: &WorkspaceName) -> Option<Limit> {
    let routes = core.routes();
    let workspace = routes.keys.by_name(workspace.as_str())?;
    workspace.quota.map(to_limit)
}

fn to_limit(quota: table::Quota) -> Limit {
    Limit {
        rate: quota.rate,
        burst: quota.burst,
    }
}

/// Warns of quotas whose bound the shares of the failure domains may exceed.
pub fn check_bound(core: &Core) {
    let settings = core.settings();
    let domains = u64::try_from(settings.quota.domains.len()).unwrap_or(u64::MAX);
    let routes = core.routes();
    for workspace in routes.table.iter().flat_map(|table| &table.workspaces) {
        let Some(limit) = workspace.quota.map(to_limit) else {
            continue;
        };
        if !settings.quota.bound.is_kept(limit, domains.max(1)) {
            warn!(core.log, "quota bound too tight"; "workspace" => %workspace.name,
                "rate_milli" => limit.rate, "burst" => limit.burst, "domains" => domains);
        }
    }
}
