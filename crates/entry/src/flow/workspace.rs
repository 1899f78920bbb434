//! The workspace of a request, from the API key that its caller presents.

use std::sync::Arc;

use base::prelude::*;
use http::HeaderMap;
use http::HeaderValue;
use http::header;
use slog::info;
use strum::IntoStaticStr;
use table::KeyDigest;
use table::KeyIndex;
use table::Route;
use table::Workspace;

use crate::core::Core;
use crate::dialect::Dialect;
use crate::relay::Hop;
use crate::view::Routes;

/// Authentication scheme of API keys.
const SCHEME: &str = "Bearer";
/// Number of route priorities within one workspace priority.
const ROUTE_PRIORITIES: u32 = 16;
/// Number of workspace priorities that are told apart.
const WORKSPACE_PRIORITIES: u32 = 60;

/// A request's workspace, and what proves it.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    /// The workspace.
    pub workspace: Arc<Workspace>,
    /// The digest of the key; `None` if the process that relays the request didn't name it.
    pub key: Option<KeyDigest>,
}

impl Identity {
    /// Whether the workspace still has the key. Without workspaces, requests need none.
    pub(super) fn is_valid(&self, keys: &KeyIndex) -> bool {
        let name = &self.workspace.name;
        let holder = match &self.key {
            Some(key) => keys.holder(key),
            None => keys.by_name(name.as_str()),
        };
        keys.is_empty() || holder.is_some_and(|holder| holder.name == *name)
    }
}

/// Why a request has no workspace.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Cause {
    /// It has no `Authorization` header.
    Missing,
    /// It has several.
    Several,
    /// The header has another scheme than [`SCHEME`], or no key.
    Scheme,
    /// No workspace holds the key.
    Unknown(KeyDigest),
    /// The process that relays it names a workspace that the table doesn't have, or whose key
    /// was removed.
    Relayed(WorkspaceName),
}

/// Selects the request's workspace: `None` if the table has no workspaces or the route is public.
/// A relayed request was authenticated by the process that relays it, unless the table of that
/// process has no workspaces.
pub(super) fn select(
    routes: &Routes,
    route: &Route,
    hop: Option<&Hop>,
    headers: &HeaderMap,
) -> Result<Option<Identity>, Cause> {
    if routes.keys.is_empty() || route.public {
        return Ok(None);
    }
    let identity = match hop.and_then(|hop| Some((hop, hop.workspace.as_ref()?))) {
        Some((hop, name)) => relayed(routes, name, hop.key),
        None => presented(routes, headers),
    };
    identity.map(Some)
}

fn relayed(
    routes: &Routes,
    name: &WorkspaceName,
    key: Option<KeyDigest>,
) -> Result<Identity, Cause> {
    let workspace = routes.keys.by_name(name.as_str());
    let identity = workspace.map(|workspace| Identity {
        workspace: Arc::clone(workspace),
        key,
    });
    identity
        .filter(|identity| identity.is_valid(&routes.keys))
        .ok_or_else(|| Cause::Relayed(name.clone()))
}

fn presented(routes: &Routes, headers: &HeaderMap) -> Result<Identity, Cause> {
    let key = KeyDigest::of(bearer_key(headers)?);
    let workspace = routes.keys.holder(&key).ok_or(Cause::Unknown(key))?;
    Ok(Identity {
        workspace: Arc::clone(workspace),
        key: Some(key),
    })
}

/// The key that a request presents.
fn bearer_key(headers: &HeaderMap) -> Result<&[u8], Cause> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(Cause::Missing)?.as_bytes();
    if values.next().is_some() {
        return Err(Cause::Several);
    }
    let value = value.trim_ascii();
    let end = value.iter().position(|byte| *byte == b' ');
    let (scheme, key) = value.split_at(end.ok_or(Cause::Scheme)?);
    if scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) {
        Ok(key.trim_ascii_start())
    } else {
        Err(Cause::Scheme)
    }
}

/// Logs and counts a request without a workspace. The key itself is not logged.
pub(super) fn log_refusal(
    core: &Core,
    id: &HeaderValue,
    route: &Route,
    routes: &Routes,
    cause: &Cause,
) {
    let label: &'static str = cause.into();
    let (digest, workspace) = match cause {
        Cause::Unknown(key) => (key.short(), "-"),
        Cause::Relayed(name) => ("-".into(), name.as_str()),
        Cause::Missing | Cause::Several | Cause::Scheme => ("-".into(), "-"),
    };
    info!(core.log, "key refused"; "request" => id.to_str().unwrap_or("-"), "cause" => label,
        "digest" => digest, "workspace" => workspace, "route" => &*route.name,
        "table" => routes.version());
    core.counters.key_refused(label);
}

/// Logs and counts a request that is refused because the route table may be out of date.
pub(super) fn log_unconfirmed(core: &Core, id: &HeaderValue, route: &Route, routes: &Routes) {
    let age = core.confirmation_age();
    info!(core.log, "key refused"; "request" => id.to_str().unwrap_or("-"),
        "cause" => "unconfirmed", "route" => &*route.name, "table" => routes.version(),
        "age_ms" => age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)));
    core.counters.key_refused("unconfirmed");
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
