//! The `tarpc` service for gateways, directories and operators.

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
use wire::directory::CrashReport;
use wire::directory::Exchange;
use wire::directory::Hosts;
use wire::directory::HostsReply;
use wire::directory::InstancesReply;
use wire::directory::Sync;
use wire::directory::SyncReply;
use wire::hub::Suspects;

use crate::convert;
use crate::metrics;
use crate::peers;
use crate::shared::Inner;
use crate::shared::Shared;
use crate::suspects;

/// Maximum time that a gateway's poll waits for changes.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// Serves [`DirectoryApi`].
#[derive(Clone)]
pub struct Api(pub Arc<Shared>);

impl DirectoryApi for Api {
    async fn sync(self, _: Context, request: Sync) -> SyncReply {
        let shared = &self.0;
        record_host(shared, &request);
        wait(shared, &request).await;
        let _ = shared.metrics.incr(metrics::SYNC);
        shared.step(|inner, now| reply(inner, now, &request))
    }

    async fn exchange(self, _: Context, request: Exchange) -> Exchange {
        peers::handle(&self.0, &request)
    }

    async fn report(self, _: Context, report: CrashReport) -> Suspects {
        suspects::apply_report(&self.0, &report)
    }

    async fn hosts(self, _: Context) -> HostsReply {
        self.0.step(|inner, now| HostsReply {
            hosts: hosts(inner, now),
        })
    }

    async fn instances(self, _: Context) -> InstancesReply {
        let records = |inner: &mut Inner| {
            let records = inner.members.instances().records();
            records.filter_map(convert::to_instance_change).collect()
        };
        self.0.step(|inner, _| InstancesReply {
            instances: records(inner),
        })
    }
}

/// Records the state of the host that a gateway reports with its poll.
fn record_host(shared: &Shared, request: &Sync) {
    let Some(host) = request.host.as_ref() else {
        return;
    };
    let Some(host) = convert::parse_host(host) else {
        warn!(shared.log, "host refused"; "host" => host.host.clone(), "error" => "a field is invalid");
        return;
    };
    let reported = host.clone();
    match shared.step(|inner, now| inner.members.announce_host(host, now)) {
        Ok(members::Accepted::Changed) => {
            info!(shared.log, "host"; "name" => %reported.host, "domain" => %reported.domain,
                "gateway" => %reported.gateway, "phase" => %reported.phase, "version" => reported.version,
                "incarnation" => reported.incarnation, "cut_off" => format!("{:?}", reported.cut_off));
        }
        Ok(_) => {}
        Err(err) => warn!(shared.log, "host refused"; "host" => %reported.host, "error" => %err),
    }
}

/// Waits until there is an update for the poll, or its wait time is over. Suspects that aren't
/// refused are sent with the next reply, as each of many crashes may change them.
async fn wait(shared: &Shared, request: &Sync) {
    let duration = convert::duration(request.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + duration;
    let mut changed = shared.subscribe();
    let was_current = changed.borrow_and_update().current;
    let has_update = |inner: &Inner, now: Moment| {
        let instances = inner.members.instances();
        let changed_instances = (request.epoch, request.cursor) != instances.position();
        changed_instances
            || inner.tracker.revision().refusal > suspects_revision(inner, request)
            || inner.version() > request.have
            || needs_hosts(inner, request)
            || inner.freshness.is_current(now) != was_current
    };
    while !shared.stop.is_cancelled() && !shared.step(|inner, now| has_update(inner, now)) {
        tokio::select! {
            changed = timeout_at(deadline, changed.changed()) => {
                if !matches!(changed, Ok(Ok(()))) {
                    return;
                }
            }
            () = shared.stop.cancelled() => return,
        }
    }
}

fn reply(inner: &Inner, now: Moment, request: &Sync) -> SyncReply {
    let instances = inner.members.instances();
    let same = request.epoch == instances.epoch();
    let delta = instances.delta_since(if same { request.cursor } else { 0 });
    let best = inner.freshness.latest();
    let age = inner.freshness.age(now).unwrap_or_default();
    let newer = inner
        .catalogue
        .as_ref()
        .filter(|c| c.version > request.have);
    let mut changes = Vec::new();
    if let Some(delta) = &delta {
        changes.extend(delta.records.iter().filter_map(convert::to_instance_change));
        changes.extend(
            delta
                .removed
                .iter()
                .filter_map(convert::to_instance_removal),
        );
    }
    SyncReply {
        catalogue: newer.map(|c| c.as_ref().clone()),
        confirmed: best.map_or(0, |b| b.version),
        confirmed_age_ms: convert::millis(age),
        epoch: instances.epoch(),
        cursor: instances.cursor(),
        whole: delta.is_some_and(|d| d.from == 0),
        changes,
        suspects: suspects::changed_suspects(inner, now, suspects_revision(inner, request)),
        hosts: needs_hosts(inner, request).then(|| Hosts {
            revision: inner.members.hosts().cursor(),
            rows: hosts(inner, now),
        }),
    }
}

/// Whether the gateway asks for the hosts and has others.
fn needs_hosts(inner: &Inner, request: &Sync) -> bool {
    let same = request.epoch == inner.members.instances().epoch();
    let revision = inner.members.hosts().cursor();
    request
        .hosts
        .is_some_and(|known| !same || known != revision)
}

/// Revision of the suspects that the gateway has; 0 if it has those of another process.
fn suspects_revision(inner: &Inner, request: &Sync) -> u64 {
    let same = request.epoch == inner.members.instances().epoch();
    if same { request.suspects } else { 0 }
}

/// The live hosts with the time since each was last known to be alive.
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
