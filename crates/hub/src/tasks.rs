//! Background tasks of a hub.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::list::content_hash;
use crate::state::State;
use crate::state::Versions;

/// How often the list of hubs is read. Entry processes learn of a new hub this much later.
const GROUP_INTERVAL: Duration = Duration::from_millis(500);
/// How often entry hosts and instances are checked for expiry. Watchers receive all changes
/// since the last check together; after a restart, heartbeats of hundreds of instances arrive
/// within 150 ms.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the list of hubs up to date and removes expired entries. Never returns.
pub async fn follow_group(state: Arc<State>) {
    loop {
        let replicas = state.tables.replicas().await;
        let addresses = replicas
            .iter()
            .filter(|r| r.voter)
            .map(|r| r.address.parse());
        let ips = addresses.filter_map(|a: Result<SocketAddr, _>| a.ok().map(|a| a.ip()));
        let mut hubs: Vec<SocketAddr> = ips.map(|ip| state.settings.hub_at(ip)).collect();
        hubs.sort_unstable();
        let now = state.clock.now();
        {
            let mut inner = state.lock();
            inner.registry.remove_expired(now);
            inner.entries.remove_expired(now);
            if inner.hubs != hubs {
                info!(state.log, "hubs"; "addresses" => format!("{hubs:?}"));
                inner.hubs_hash = content_hash(hubs.iter().map(ToString::to_string));
                inner.hubs = hubs;
            }
        }
        tokio::time::sleep(GROUP_INTERVAL).await;
    }
}

/// Expires entry hosts and instances that were not seen in time, and notifies watchers. Never
/// returns.
pub async fn expire_silent(state: Arc<State>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = state.clock.now();
        state
            .lock()
            .registry
            .expire_leases(now, state.settings.lease);
        state.publish_cursor();
        let hosts = state.lock().entries.list(now);
        state.update_host_list(hosts);
    }
}

/// Applies the announcements of the log, from its beginning, and publishes the applied versions.
/// Returns when the replica stops.
pub async fn follow_views(state: Arc<State>) {
    let mut views = state.tables.views();
    let (mut cursor, mut last_snapshots) = (0, 0);
    loop {
        let (registry, announced, snapshots, versions) = {
            let view = views.borrow_and_update();
            let versions = Versions {
                table: view.table.as_ref().map(|table| table.version),
                evacuations: view.evacuations.revision(),
            };
            let registry = Arc::clone(&view.registry);
            (registry, view.announced, view.snapshots, versions)
        };
        state
            .versions
            .send_if_modified(|last| std::mem::replace(last, versions) != versions);
        // A snapshot restarts the numbering of changes, so the old cursor would skip some.
        if snapshots != last_snapshots {
            (cursor, last_snapshots) = (0, snapshots);
        }
        state.apply(&registry.changed_since(cursor));
        state.publish_cursor();
        state.lock().announced_index = announced;
        cursor = registry.cursor();
        if views.changed().await.is_err() {
            return;
        }
    }
}
