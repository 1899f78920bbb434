//! Follows the log: who is in the group, and what it says of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::list::mark;
use crate::state::State;

/// Between two looks at the group; entry processes learn of a new hub after this.
const LOOK: Duration = Duration::from_millis(500);
/// Between two looks at entry hosts and instances; short beside the time in which one
/// is seen to be lost. After a restart hundreds of instances are heard within 150 ms,
/// and watchers are told of all that came between two looks at once.
const GLANCE: Duration = Duration::from_millis(100);

/// Keeps the list of hubs. Never ends.
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
            let mut known = state.known();
            known.registry.forget(now);
            known.entries.forget(now);
            if known.hubs != hubs {
                info!(state.log, "hubs"; "addresses" => format!("{hubs:?}"));
                known.group = mark(hubs.iter().map(ToString::to_string));
                known.hubs = hubs;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Looks for entry hosts that were lost and instances that fell silent, and tells
/// watchers. Never ends.
pub async fn follow_lost(state: Arc<State>) {
    loop {
        tokio::time::sleep(GLANCE).await;
        let now = state.clock.now();
        state.known().registry.miss(now, state.settings.lease);
        state.publish();
        let hosts = state.known().entries.list(now);
        state.list(hosts);
    }
}

/// Takes announcements from the log, those of before a restart first. Ends with
/// the replica.
pub async fn follow_registry(state: Arc<State>) {
    let mut views = state.tables.views();
    let (mut cursor, mut numbered) = (0, 0);
    loop {
        let (registry, announced, snapshots) = {
            let view = views.borrow_and_update();
            (Arc::clone(&view.registry), view.announced, view.snapshots)
        };
        // A snapshot numbers changes anew: by the old numbers, what it says of instances
        // that were known would be passed over, a notice of leaving among it.
        if snapshots != numbered {
            (cursor, numbered) = (0, snapshots);
        }
        state.take(&registry.since(cursor));
        state.known().announced = announced;
        cursor = registry.cursor();
        if views.changed().await.is_err() {
            return;
        }
    }
}
