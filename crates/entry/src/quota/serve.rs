//! The holder's side: grants permits, and transfers tokens from and to other failure domains.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use quota::Acquired;
use quota::Donors;
use quota::Limit;
use quota::Tokens;
use slog::info;
use slog::warn;
use tokio::sync::Mutex;
use wire::api::PlaceApiClient;
use wire::link::within;
use wire::quota::Acquire;
use wire::quota::GiveBack;
use wire::quota::Permits;
use wire::quota::Transfer;
use wire::quota::TransferReply;

use super::Urgency;
use super::limit;
use super::to_limit;
use crate::core::Core;

/// Maximum wait for the transfers of other requests.
const BORROW_WAIT: Duration = Duration::from_millis(10);
/// Maximum wait for a transfer. Two of them and [`BORROW_WAIT`] end before the asking process
/// gives up after 60 ms.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(22);
/// Age after which transferred tokens are discarded: the process was frozen meanwhile.
const MAX_TRANSFER_AGE: Duration = Duration::from_millis(100);
/// What a holder grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Granted {
    pub(super) count: u32,
    pub(super) retry_after: Duration,
}

/// The transfers of one workspace, one at a time.
#[derive(Debug, Default)]
pub(super) struct Borrowing {
    donors: Mutex<Donors>,
}

/// Grants up to `count` permits to `client`, with tokens of other failure domains if necessary;
/// `None` if this process isn't the holder.
pub(super) async fn grant(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    count: u32,
    client: &str,
    urgency: Urgency,
) -> Option<Granted> {
    let limit = limit(core, workspace)?;
    let mut loan = take(core, workspace, limit, count, client, urgency)?;
    if loan.missing > Tokens::ZERO {
        let before = loan.granted;
        let borrowing = core.quotas.borrowing(workspace);
        // Without a transfer the request is refused.
        if let Ok(mut donors) = tokio::time::timeout(BORROW_WAIT, borrowing.donors.lock()).await {
            loan = take(core, workspace, limit, count - before, client, urgency)?;
            loan.granted += before;
            borrow(core, workspace, limit, count, &mut loan, &mut donors).await;
        }
    }
    core.counters.quota("granted", loan.granted);
    let refused = count - loan.granted;
    if refused > 0 {
        core.counters.quota("refused", refused);
        info!(core.log, "quota"; "workspace" => workspace.as_str(), "from" => client,
            "asked" => count, "granted" => loan.granted,
            "missing_micros" => loan.missing.micros(), "rate_milli" => limit.rate,
            "burst" => limit.burst, "back_ms" => millis(loan.retry_after));
    }
    Some(Granted {
        count: loan.granted,
        retry_after: loan.retry_after,
    })
}

/// Permits that were taken, and what is missing for the others.
struct Loan {
    granted: u32,
    missing: Tokens,
    reserve: Tokens,
    retry_after: Duration,
}

fn take(
    core: &Core,
    workspace: &WorkspaceName,
    limit: Limit,
    count: u32,
    client: &str,
    urgency: Urgency,
) -> Option<Loan> {
    let now = core.clock.now();
    let mut state = core.quotas.state();
    let holder = &mut state.holder;
    let acquired = match urgency {
        Urgency::InTime => holder.acquire(now, workspace, limit, count, client),
        Urgency::Late => holder.acquire_late(now, workspace, limit, count, client),
    };
    match acquired {
        Acquired::NotHolder => None,
        Acquired::Permits {
            granted,
            missing,
            reserve,
            retry_after,
        } => Some(Loan {
            granted,
            missing,
            reserve,
            retry_after,
        }),
    }
}

/// Asks the other holders for what is missing.
async fn borrow(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    limit: Limit,
    count: u32,
    loan: &mut Loan,
    donors: &mut Donors,
) {
    let holders = core.quotas.other_holders(core, workspace);
    for address in donors.order(core.clock.now(), holders) {
        if loan.missing == Tokens::ZERO {
            break;
        }
        let asked_at = core.clock.now();
        let sent = ask_donor(core, workspace, &address, loan).await;
        let now = core.clock.now();
        donors.record(now, &address, limit, loan.missing, sent);
        if now.since(asked_at) < MAX_TRANSFER_AGE {
            let wanted = count - loan.granted;
            let holder = &mut core.quotas.state().holder;
            loan.granted += holder.receive(now, workspace, limit, sent, wanted);
            loan.missing = loan.missing.minus(sent);
        }
    }
}

/// Asks the holder of another failure domain for tokens.
async fn ask_donor(
    core: &Arc<Core>,
    workspace: &WorkspaceName,
    address: &str,
    loan: &Loan,
) -> Tokens {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Tokens::ZERO;
    };
    let ask = Transfer {
        workspace: workspace.to_string(),
        host: core.settings().host.to_string(),
        table: core.routes().version(),
        // Rounded up, as a millionth less would not make a whole token.
        need_micros: loan.missing.micros() + 1,
        reserve_micros: loan.reserve.micros(),
    };
    let peer = core.quotas.clients.at(address);
    let send = |client: PlaceApiClient| {
        let ask = ask.clone();
        async move { client.transfer(within(TRANSFER_TIMEOUT), ask).await }
    };
    let reply = peer.call(TRANSFER_TIMEOUT, send).await;
    let reply = reply.filter(|reply| reply.holder);
    let tokens = Tokens::from_micros(reply.map_or(0, |reply| reply.micros));
    core.counters.quota_transferred(tokens);
    tokens
}

impl super::Quotas {
    fn borrowing(&self, workspace: &WorkspaceName) -> Arc<Borrowing> {
        let mut state = self.state();
        let borrowing = state.borrowings.entry(workspace.clone()).or_default();
        Arc::clone(borrowing)
    }

    /// The holders of a workspace in other failure domains.
    fn other_holders(&self, core: &Core, workspace: &WorkspaceName) -> Vec<String> {
        let state = self.state();
        let holders = state
            .domains
            .holders(workspace, core.settings().domain.as_str());
        let others = holders.into_iter().filter(|holder| *holder != self.own);
        others.map(ToOwned::to_owned).collect()
    }
}

/// Serves a process that asks for permits.
pub(crate) async fn acquire(core: &Arc<Core>, ask: &Acquire) -> Permits {
    let Ok(workspace) = WorkspaceName::new(&ask.workspace) else {
        warn!(core.log, "invalid quota request"; "from" => &ask.host);
        return Permits::default();
    };
    let urgency = if ask.late {
        Urgency::Late
    } else {
        Urgency::InTime
    };
    match grant(core, &workspace, ask.count, &ask.host, urgency).await {
        Some(granted) => Permits {
            holder: true,
            granted: granted.count,
            retry_after_us: u32::try_from(granted.retry_after.as_micros()).unwrap_or(u32::MAX),
        },
        None => Permits::default(),
    }
}

/// Serves the holder of another failure domain that asks for tokens.
pub(crate) fn transfer(core: &Core, ask: &Transfer) -> TransferReply {
    let workspace = WorkspaceName::new(&ask.workspace).ok();
    let limit = workspace.as_ref().and_then(|name| limit(core, name));
    let (Some(workspace), Some(limit)) = (workspace, limit) else {
        return TransferReply::default();
    };
    let need = Tokens::from_micros(ask.need_micros);
    let reserve = Tokens::from_micros(ask.reserve_micros);
    let now = core.clock.now();
    let mut state = core.quotas.state();
    let sent = state.holder.transfer(now, &workspace, limit, need, reserve);
    TransferReply {
        holder: sent.is_some(),
        micros: sent.map_or(0, Tokens::micros),
    }
}

/// Takes back permits of another process.
pub(crate) fn give_back(core: &Core, permits: &GiveBack) {
    let Ok(workspace) = WorkspaceName::new(&permits.workspace) else {
        warn!(core.log, "invalid return of permits"; "from" => &permits.host);
        return;
    };
    let routes = core.routes();
    let known = routes.keys.by_name(workspace.as_str());
    let Some(quota) = known.and_then(|known| known.quota) else {
        return;
    };
    let now = core.clock.now();
    let holder = &mut core.quotas.state().holder;
    holder.give_back(now, &workspace, to_limit(quota), permits.count);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
