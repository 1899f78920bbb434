//! The RPC interface of a hub for entry processes, other hubs and operators.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use evacuation::Outcome;
use futures::StreamExt;
use slog::info;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::time::Instant;
use wire::api::HubApi;
use wire::api::HubApiRequest;
use wire::api::HubApiResponse;
use wire::hub::Currency;
use wire::hub::Evacuation;
use wire::hub::EvacuationReply;
use wire::hub::EvacuationsReply;
use wire::hub::Fetch;
use wire::hub::FetchReply;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::News;
use wire::hub::ReadReply;
use wire::hub::Report;
use wire::hub::ResolveQuery;
use wire::hub::ResolveReply;
use wire::hub::Suspects;
use wire::hub::Table;
use wire::hub::TableReply;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::Channel as Transport;

use crate::commands::CommandError;
use crate::commands::CommandHandler;
use crate::commands::TableUpdate;
use crate::confirm::Confirmed;
use crate::list::Update;
use crate::state::State;

/// Maximum time that a watch is kept open.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for which changes of instances are batched for watchers of the digest.
///
/// If the hub that sends a watcher all changes is lost, an announcement that an instance
/// drains or is gone is delayed by this. It has to take effect everywhere within two seconds.
const DIGEST_BATCH_DELAY: Duration = Duration::from_millis(600);
/// Time for which changes of suspects are batched unless a request is refused because of them.
///
/// Saves bandwidth when many instances crash, as each crash is a change.
const SUSPECT_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Time for which changes of limits are batched.
const LIMIT_BATCH_DELAY: Duration = Duration::from_millis(200);
/// How long a leader may take to confirm the table before it is looked for again.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the currency of the table is looked up for a watcher that waits for another.
const CURRENCY_INTERVAL: Duration = Duration::from_millis(50);

/// The part of a watch reply that concerns instances.
#[derive(Default)]
struct InstanceUpdate {
    cursor: u64,
    digest: u64,
    announced: u64,
    instances: Vec<Instance>,
    heard: Vec<Hearing>,
    whole: Bytes,
}

/// The RPC service. Each request is served by a clone.
#[derive(Clone)]
pub struct HubServer {
    state: Arc<State>,
    commands: CommandHandler,
}

impl HubServer {
    pub(crate) fn new(state: Arc<State>, commands: CommandHandler) -> Self {
        Self { state, commands }
    }

    /// Waits for any change that the watcher doesn't know, at most for the requested time.
    /// Returns the changes of instances and the currency of the table.
    async fn wait_for_changes(&self, request: &Watch) -> (InstanceUpdate, Currency) {
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
        let deadline = Instant::now() + wait;
        let mut versions = self.state.versions.subscribe();
        let mut lists = self.state.list_hash.subscribe();
        let newer = versions.wait_for(|versions| {
            versions.table > request.table || versions.evacuations > request.evacuations
        });
        let mut batched = None;
        let mut currency = request.currency();
        tokio::select! {
            () = self.instances_changed(request, &mut batched) => {}
            _ = newer => {}
            next = self.currency_changed(currency), if request.currency.is_some() => currency = next,
            _ = lists.wait_for(|hash| *hash != request.list), if request.lists => {}
            () = self.suspects_changed(request) => {}
            () = self.limits_changed(request), if request.lists => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
        let update = batched.unwrap_or_else(|| self.instance_update(request));
        (update, currency)
    }

    /// Waits until the table's currency is another than the watcher knows.
    async fn currency_changed(&self, known: Currency) -> Currency {
        let mut views = self.state.tables.views();
        let mut surveyed = self.state.tables.currency();
        loop {
            let currency = self.currency().await;
            if currency != known {
                return currency;
            }
            tokio::select! {
                Ok(()) = views.changed() => {}
                Ok(()) = surveyed.changed() => {}
                () = tokio::time::sleep(CURRENCY_INTERVAL) => {}
            }
        }
    }

    /// What is known of the applied table: by a leader, or by the members' logs without one.
    async fn currency(&self) -> Currency {
        let tables = &self.state.tables;
        if tables.leader().is_some() {
            return if tables.read(CONFIRM_TIMEOUT).await.is_ok() {
                Currency::Confirmed
            } else {
                Currency::Undecided
            };
        }
        match *tables.currency().borrow() {
            control::Currency::Unknown => Currency::Unspecified,
            control::Currency::Confirmed => Currency::Confirmed,
            control::Currency::Undecided => Currency::Undecided,
            control::Currency::NoMajority => Currency::NoMajority,
        }
    }

    /// Waits until instances have changed, if the watcher asked for them.
    ///
    /// A watcher of the digest receives the state before the batch delay: by the end of the
    /// delay, the hub that sends it all changes has sent these, unless that hub is behind.
    async fn instances_changed(&self, request: &Watch, batched: &mut Option<InstanceUpdate>) {
        if request.news() == News::None {
            return std::future::pending().await;
        }
        let mut cursors = self.state.cursor.subscribe();
        let changed = cursors.wait_for(|cursor| *cursor > request.cursor);
        let closed = changed.await.is_err();
        if closed {
            return std::future::pending().await;
        }
        if request.news() == News::Digest {
            *batched = Some(self.instance_update(request));
            tokio::time::sleep(DIGEST_BATCH_DELAY).await;
        }
    }

    /// Waits until the suspects have changed; returns at once if a request is newly refused.
    async fn suspects_changed(&self, request: &Watch) {
        let mut revisions = self.state.suspects.subscribe();
        let changed = revisions.wait_for(|revision| revision.newest != request.suspects);
        let closed = changed.await.is_err();
        if closed {
            return std::future::pending().await;
        }
        let refused = revisions.wait_for(|revision| revision.refusal > request.suspects);
        if !request.lists {
            // Other changes of suspects are sent with the next reply.
            let _ = refused.await;
            return;
        }
        // The changes batched so far are sent when the delay has passed.
        let _ = tokio::time::timeout(SUSPECT_BATCH_DELAY, refused).await;
    }

    /// Waits until limits have changed, and for those that change right after it.
    async fn limits_changed(&self, request: &Watch) {
        let mut revisions = self.state.limits.subscribe();
        let changed = revisions.wait_for(|revision| *revision != request.limits);
        let closed = changed.await.is_err();
        if closed {
            return std::future::pending().await;
        }
        tokio::time::sleep(LIMIT_BATCH_DELAY).await;
    }

    /// The changes of instances that the watcher doesn't know.
    fn instance_update(&self, request: &Watch) -> InstanceUpdate {
        if request.news() == News::None {
            return InstanceUpdate {
                cursor: request.cursor,
                ..InstanceUpdate::default()
            };
        }
        let inner = self.state.lock();
        let registry = &inner.registry;
        let mut update = InstanceUpdate {
            cursor: registry.cursor(),
            digest: registry.digest().total(),
            announced: inner.announced_index,
            ..InstanceUpdate::default()
        };
        if !request.buckets.is_empty() {
            update.whole = self.state.pack(registry.differing(&request.buckets));
            update.heard = registry.liveness_changed_since(request.cursor);
        } else if request.news() == News::Digest {
            update.heard = registry.liveness_changed_since(request.cursor);
        } else if request.cursor > 0 {
            let delta = registry.delta_since(request.cursor);
            update.instances = delta.instances;
            update.heard = delta.liveness;
        } else {
            drop(inner);
            let list = self.state.packed_instances();
            update = InstanceUpdate {
                cursor: list.cursor,
                digest: list.digest,
                announced: list.announced,
                whole: list.bytes,
                ..InstanceUpdate::default()
            };
        }
        update
    }

    /// The newest table that a majority has confirmed, if the watcher asked for it.
    async fn confirmed_table(&self, request: &Watch) -> Option<Confirmed> {
        if !request.confirm {
            return None;
        }
        let state = &self.state;
        state
            .confirmations
            .newest(&state.tables, &state.clock)
            .await
    }

    fn record_watch(&self, request: &Watch) {
        let now = self.state.clock.now();
        if self.state.lock().entries.watch_started(now, request) {
            info!(self.state.log, "entry host"; "entry" => &request.host, "ready" => request.ready,
                "address" => &request.address);
        }
    }
}

impl HubApi for HubServer {
    async fn watch(self, _: Context, mut request: Watch) -> WatchReply {
        let arrived_at = self.state.clock.now();
        self.record_watch(&request);
        if request.epoch != self.state.epoch {
            request.cursor = 0;
            request.suspects = 0;
            request.limits = 0;
            if request.news() != News::None {
                request.wait_ms = 0;
            }
        }
        if !request.buckets.is_empty() {
            request.wait_ms = 0;
        }
        let (update, currency) = self.wait_for_changes(&request).await;
        let confirmed_table = self.confirmed_table(&request).await;
        let now = self.state.clock.now();
        self.state.lock().entries.watch_answered(now, &request);
        let newest = self.state.tables.applied_table();
        let table = newest.as_ref().map(|newest| newest.version);
        let newer = newest.filter(|_| table > request.table);
        let table_bytes = newer.map_or(0, |newer| newer.content.len());
        let evacuations = self.state.tables.evacuated();
        let evacuations =
            Some(evacuations).filter(|domains| domains.revision() > request.evacuations);
        let inner = self.state.lock();
        let list_update = if request.lists {
            inner.lists.update(request.list)
        } else {
            Update::Unchanged
        };
        let (hosts, lost, packed) = match list_update {
            Update::Unchanged => Default::default(),
            Update::Changes { hosts, lost } => (hosts, lost, Bytes::new()),
            Update::Full(packed) => (Vec::new(), Vec::new(), packed),
        };
        let suspects = (inner.tracker.revision().newest != request.suspects)
            .then(|| self.state.suspects(&inner));
        let limits = self.state.limits_since(&inner, request.limits);
        let hubs = inner.hubs.iter().map(ToString::to_string);
        WatchReply {
            epoch: self.state.epoch,
            cursor: update.cursor,
            instances: update.instances,
            whole: update.whole,
            heard: update.heard,
            digest: update.digest,
            announced: update.announced,
            table,
            currency: currency.into(),
            hubs: if inner.hubs_hash == request.group {
                Vec::new()
            } else {
                hubs.collect()
            },
            group: inner.hubs_hash,
            entries: inner.entries.count(now),
            hosts,
            lost,
            packed,
            list: inner.lists.latest_hash(),
            domain: self.state.settings.domain.to_string(),
            evacuations: evacuations.map(|evacuations| evacuations.to_wire()),
            suspects,
            limits,
            confirmed_table: confirmed_table.map(|confirmed| confirmed.version),
            confirmed_age_ms: confirmed_table
                .map_or(0, |confirmed| millis(now.since(confirmed.at))),
            table_bytes: u32::try_from(table_bytes).unwrap_or(u32::MAX),
            uptime_ms: u32::try_from(now.since(Moment::ZERO).as_millis()).unwrap_or(u32::MAX),
            held_ms: u32::try_from(now.since(arrived_at).as_millis()).unwrap_or_default(),
        }
    }

    async fn fetch(self, _: Context, request: Fetch) -> FetchReply {
        let newest = self.state.tables.applied_table();
        let newer = newest.filter(|newest| Some(newest.version) > request.have);
        FetchReply {
            table: newer.map(|newer| Table {
                version: newer.version,
                content: newer.content.clone(),
                source: Bytes::new(),
            }),
        }
    }

    async fn evacuate(self, _: Context, order: Evacuation) -> EvacuationReply {
        let Ok(domain) = DomainName::new(&order.domain) else {
            return reply(Outcome::Refused);
        };
        match self.commands.evacuate(&domain, order.evacuated).await {
            Ok(()) => reply(Outcome::Taken),
            Err(CommandError::Overtaken(_)) => reply(Outcome::Overtaken),
            Err(CommandError::TooManyDomains(_)) => reply(Outcome::Refused),
            Err(_) => reply(Outcome::Unspecified),
        }
    }

    async fn evacuations(self, _: Context) -> EvacuationsReply {
        let domains = self.commands.evacuations().await.ok();
        EvacuationsReply {
            confirmed: domains.is_some(),
            evacuations: domains.map(|domains| domains.to_wire()),
        }
    }

    async fn put_table(self, _: Context, proposed: Table) -> TableReply {
        let Ok(table) = table::codec::decode(&proposed.content) else {
            return TableReply::default();
        };
        let update = TableUpdate {
            table,
            source: proposed.source.to_vec(),
        };
        self.commands.put(update).await.unwrap_or_default()
    }

    async fn read_table(self, _: Context) -> ReadReply {
        match self.commands.read().await {
            Ok(table) => ReadReply {
                confirmed: true,
                table: Some((*table).clone()),
            },
            Err(err) => ReadReply {
                confirmed: matches!(err, CommandError::NoTable),
                table: None,
            },
        }
    }

    async fn report(self, _: Context, report: Report) -> Suspects {
        self.state.apply_report(&report)
    }

    async fn resolve(self, _: Context, query: ResolveQuery) -> ResolveReply {
        let (addresses, ttl) = self
            .commands
            .resolve(&query.name, &query.domain, &query.region);
        ResolveReply {
            addresses,
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Milliseconds, rounded up so that a confirmation is never younger than reported.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn reply(outcome: Outcome) -> EvacuationReply {
    EvacuationReply {
        outcome: outcome.into(),
    }
}

/// Serves one connection until it is closed.
pub async fn serve(
    channel: Transport<ClientMessage<HubApiRequest>, Response<HubApiResponse>>,
    server: HubServer,
) {
    BaseChannel::with_defaults(channel)
        .execute(server.serve())
        .for_each(|request| {
            tokio::spawn(request);
            std::future::ready(())
        })
        .await;
}
