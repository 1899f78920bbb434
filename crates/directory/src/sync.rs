//! The `tarpc` side, for gateways, directories and operators.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::CountedExt;
use members::Record;
use slog::info;
use slog::warn;
use tarpc::context::Context;
use tokio::time::Instant;
use tokio::time::timeout_at;
use wire::api::DirectoryApi;
use wire::directory::Exchange;
use wire::directory::HostsReply;
use wire::directory::InstancesReply;
use wire::directory::Sync;
use wire::directory::SyncReply;

use crate::convert;
use crate::metrics;
use crate::peers;
use crate::shared::Inner;
use crate::shared::Shared;

/// Longest hold of a gateway's poll.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// Serves [`DirectoryApi`].
#[derive(Clone)]
pub struct Api(pub Arc<Shared>);

impl DirectoryApi for Api {
    async fn sync(self, _: Context, ask: Sync) -> SyncReply {
        let shared = &self.0;
        record_host(shared, &ask);
        wait(shared, &ask).await;
        let _ = shared.metrics.incr(metrics::SYNC);
        shared.step(|inner, now| reply(inner, now, &ask))
    }

    async fn exchange(self, _: Context, push: Exchange) -> Exchange {
        peers::answer(&self.0, &push)
    }

    async fn hosts(self, _: Context) -> HostsReply {
        self.0.step(|inner, now| HostsReply {
            hosts: hosts(inner, now),
        })
    }

    async fn instances(self, _: Context) -> InstancesReply {
        let records = |inner: &mut Inner| {
            let records = inner.members.instances().records();
            records.filter_map(convert::to_change).collect()
        };
        self.0.step(|inner, _| InstancesReply {
            instances: records(inner),
        })
    }
}

/// Takes what the gateway says of its host.
fn record_host(shared: &Shared, ask: &Sync) {
    let Some(host) = ask.host.as_ref() else {
        return;
    };
    let Some(host) = convert::of_host(host) else {
        warn!(shared.log, "host refused"; "host" => host.host.clone(), "error" => "a field has no meaning");
        return;
    };
    let told = host.clone();
    match shared.step(|inner, now| inner.members.announce_host(host, now)) {
        Ok(members::Accepted::Changed) => {
            info!(shared.log, "host"; "name" => %told.host, "domain" => %told.domain,
                "gateway" => %told.gateway, "phase" => %told.phase, "version" => told.version,
                "incarnation" => told.incarnation);
        }
        Ok(_) => {}
        Err(err) => warn!(shared.log, "host refused"; "host" => %told.host, "error" => %err),
    }
}

/// Holds the poll until there is news for it, at most as long as it allows.
async fn wait(shared: &Shared, ask: &Sync) {
    let span = convert::span(ask.wait_ms).min(MAX_WAIT);
    let end = Instant::now() + span;
    let mut changed = shared.watch();
    let was = changed.borrow_and_update().current;
    let news = |inner: &Inner, now: Moment| {
        let instances = inner.members.instances();
        let moved = (ask.epoch, ask.cursor) != instances.position();
        moved || inner.version() > ask.have || inner.freshness.is_current(now) != was
    };
    while !shared.stop.is_cancelled() && !shared.step(|inner, now| news(inner, now)) {
        tokio::select! {
            changed = timeout_at(end, changed.changed()) => {
                if !matches!(changed, Ok(Ok(()))) {
                    return;
                }
            }
            () = shared.stop.cancelled() => return,
        }
    }
}

fn reply(inner: &Inner, now: Moment, ask: &Sync) -> SyncReply {
    let instances = inner.members.instances();
    let same = ask.epoch == instances.epoch();
    let delta = instances.delta_since(if same { ask.cursor } else { 0 });
    let best = inner.freshness.latest();
    let age = inner.freshness.age(now).unwrap_or_default();
    let newer = inner.catalogue.as_ref().filter(|c| c.version > ask.have);
    let mut changes = Vec::new();
    if let Some(delta) = &delta {
        changes.extend(delta.records.iter().filter_map(convert::to_change));
        changes.extend(delta.removed.iter().filter_map(convert::to_removal));
    }
    SyncReply {
        catalogue: newer.map(|c| c.as_ref().clone()),
        confirmed: best.map_or(0, |b| b.version),
        confirmed_age_ms: convert::millis(age),
        epoch: instances.epoch(),
        cursor: instances.cursor(),
        whole: delta.is_some_and(|d| d.from == 0),
        changes,
    }
}

/// The living hosts with the time since each was certainly there.
fn hosts(inner: &Inner, now: Moment) -> Vec<wire::directory::Host> {
    let host = |record: &Record| match record {
        Record::Host(host) => {
            let age = inner.members.age(&record.key(), now);
            Some(convert::to_host(host, age.unwrap_or_default()))
        }
        Record::Instance(_) => None,
    };
    inner.members.hosts().records().filter_map(host).collect()
}
