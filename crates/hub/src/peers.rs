//! Follows the group of hubs, and watches each other one for announcements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

use crate::registry::Taken;
use crate::state::State;

/// Between two looks at the group; a new hub watches and is watched after this.
const LOOK: Duration = Duration::from_millis(500);
/// How long a watch is held at the other hub.
const WAIT: Duration = Duration::from_secs(1);
/// Beyond its wait, a watch may take this long.
const SLACK: Duration = Duration::from_millis(700);
/// Pause after a watch that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Keeps the list of hubs, and one watch on each other one. Never ends.
pub async fn follow(state: Arc<State>) {
    let own = state.settings.address;
    let mut watches: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
    loop {
        let replicas = state.tables.replicas().await;
        let addresses = replicas
            .iter()
            .filter(|r| r.voter)
            .map(|r| r.address.parse());
        let ips = addresses.filter_map(|a: Result<SocketAddr, _>| a.ok().map(|a| a.ip()));
        let mut hubs: Vec<SocketAddr> = ips.map(|ip| state.settings.hub_at(ip)).collect();
        hubs.sort_unstable();
        watches.retain(|address, _| hubs.contains(address));
        for address in hubs.iter().filter(|a| a.ip() != own) {
            watches.entry(*address).or_insert_with(|| {
                let task = watch(Arc::clone(&state), *address);
                AbortOnDropHandle::new(tokio::spawn(task))
            });
        }
        let now = state.clock.now();
        {
            let mut known = state.known();
            known.registry.forget(now);
            known.entries.forget(now);
            known.hubs = hubs;
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn watch(state: Arc<State>, address: SocketAddr) {
    let link = peer::hub(address);
    let mut seen = WatchReply::default();
    let mut up = true;
    loop {
        let reply = ask(&state, &link, &seen).await;
        if reply.is_some() != up {
            up = !up;
            let outcome = if up { "regained" } else { "lost" };
            info!(state.log, "hub"; "address" => %address, "outcome" => outcome);
        }
        match reply {
            Some(reply) => {
                take(&state, &reply);
                seen = WatchReply {
                    instances: Vec::new(),
                    ..reply
                };
            }
            None => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn ask(state: &State, link: &HubLink, seen: &WatchReply) -> Option<WatchReply> {
    let ask = Watch {
        host: state.settings.host.to_string(),
        epoch: seen.epoch,
        cursor: seen.cursor,
        table: u64::MAX,
        wait_ms: u32::try_from(WAIT.as_millis()).unwrap_or(u32::MAX),
        ..Watch::default()
    };
    let client = link.client().await.ok()?;
    let call = client.watch(within(WAIT + SLACK), ask);
    let result = match tokio::time::timeout(WAIT + SLACK, call).await {
        Ok(result) => result,
        Err(_) => Err(tarpc::client::RpcError::DeadlineExceeded),
    };
    link.judge(result).ok()
}

fn take(state: &State, reply: &WatchReply) {
    let now = state.clock.now();
    let mut changed = false;
    {
        let mut known = state.known();
        for instance in &reply.instances {
            changed |= known.registry.take(now, instance.clone()) == Taken::Changed;
        }
    }
    if changed {
        state.publish();
    }
}
