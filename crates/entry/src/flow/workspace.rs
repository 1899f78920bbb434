//! The workspace of a request, from the API key that its caller presents.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::header;
use table::Route;
use table::Workspace;

use crate::dialect::Dialect;
use crate::refusal::Reason;
use crate::relay::Hop;
use crate::view::Routes;

/// Authentication scheme of API keys.
const SCHEME: &str = "Bearer";
/// Number of route priorities within one workspace priority.
const ROUTE_PRIORITIES: u32 = 16;
/// Number of workspace priorities that are told apart.
const WORKSPACE_PRIORITIES: u32 = 60;

/// Selects the request's workspace: `None` if the table has no workspaces or the route is public.
/// A relayed request was authenticated by the process that relays it.
pub(super) fn select(
    routes: &Routes,
    route: &Route,
    hop: Option<&Hop>,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, Reason> {
    if routes.keys.is_empty() || route.public {
        return Ok(None);
    }
    let workspace = match hop {
        Some(hop) => hop
            .workspace
            .as_ref()
            .and_then(|name| routes.keys.by_name(name.as_str())),
        None => bearer_key(headers).and_then(|key| routes.keys.select(key)),
    };
    workspace.cloned().map(Some).ok_or(Reason::Unauthorized)
}

/// The key that a request presents.
fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| key.trim_start())
}

/// Replaces the key by the name of the workspace, whatever the caller sent in its place.
pub(super) fn replace_key(
    dialect: &Dialect,
    routes: &Routes,
    workspace: Option<&Workspace>,
    headers: &mut HeaderMap,
) {
    if routes.keys.is_empty() {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(&dialect.workspace);
    let name = workspace.map(|workspace| workspace.name.as_str());
    if let Some(value) = name.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(&dialect.workspace, value);
    }
}

/// The priority of a request: that of its workspace goes before that of its route.
pub(super) fn priority(route: &Route, workspace: Option<&Workspace>) -> u32 {
    let Some(workspace) = workspace else {
        return route.priority;
    };
    workspace.priority.min(WORKSPACE_PRIORITIES - 1) * ROUTE_PRIORITIES
        + route.priority.min(ROUTE_PRIORITIES - 1)
}

/// The share of a workspace relative to others: its quota in requests per second, 1 without.
pub(super) fn weight(workspace: Option<&Workspace>) -> f64 {
    let quota = workspace.and_then(|workspace| workspace.quota);
    quota.map_or(1.0, |quota| {
        let rate = u32::try_from(quota.rate).unwrap_or(u32::MAX);
        f64::from(rate) / 1000.0
    })
}
