//! What a hub serves to entry processes, other hubs and operators.

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
use wire::hub::Evacuation;
use wire::hub::EvacuationReply;
use wire::hub::EvacuationsReply;
use wire::hub::Fetch;
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

use crate::desk::Desk;
use crate::desk::DeskError;
use crate::desk::Put;
use crate::list::Update;
use crate::state::State;

/// Longest time that a watch is held.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// From a change of instances until those are told who take a digest. It gathers changes:
/// after a restart hundreds come within a second. It is what a notice of leaving takes
/// longer where the hub that tells changes at once is lost, of the two seconds in which
/// such a notice must be in force everywhere.
const GATHER: Duration = Duration::from_millis(600);
/// From a change of the suspects that refuses nothing until it is told to those who are told
/// changes at once. Where many instances crash, each of them changes it, and links are thin.
const GATHER_SUSPECTS: Duration = Duration::from_millis(500);
/// How long a majority may take to confirm the table for a process that has none.
const CONFIRM: Duration = Duration::from_millis(300);

/// What a watcher is told of instances.
#[derive(Default)]
struct Told {
    cursor: u64,
    digest: u64,
    announced: u64,
    rows: Vec<Instance>,
    heard: Vec<Hearing>,
    whole: Bytes,
}

/// The service, one clone a request.
#[derive(Clone)]
pub struct HubServer {
    state: Arc<State>,
    desk: Desk,
}

impl HubServer {
    pub(crate) fn new(state: Arc<State>, desk: Desk) -> Self {
        Self { state, desk }
    }

    /// Waits until there is anything that the watcher lacks; gives what it is told of
    /// instances.
    async fn wait(&self, ask: &Watch) -> Told {
        let wait = Duration::from_millis(ask.wait_ms.into()).min(MAX_WAIT);
        let end = Instant::now() + wait;
        let mut views = self.state.tables.views();
        let mut lists = self.state.list.subscribe();
        let newer = views.wait_for(|view| {
            view.table.version > ask.table || view.evacuations.revision() > ask.evacuations
        });
        let mut gathered = None;
        tokio::select! {
            () = self.moved(ask, &mut gathered) => {}
            _ = newer => {}
            _ = lists.wait_for(|list| *list != ask.list), if ask.lists => {}
            () = self.suspected(ask) => {}
            () = tokio::time::sleep_until(end) => {}
        }
        gathered.unwrap_or_else(|| self.news(ask))
    }

    /// Waits until instances have changed, as far as the watcher wants to know.
    ///
    /// Who takes digests is told of the moment at which the wait for more changes began:
    /// by then the hub that tells changes at once has told of it, unless it is behind.
    async fn moved(&self, ask: &Watch, gathered: &mut Option<Told>) {
        if ask.news() == News::None {
            return std::future::pending().await;
        }
        let mut cursors = self.state.cursor.subscribe();
        let moved = cursors.wait_for(|cursor| *cursor > ask.cursor);
        let ended = moved.await.is_err();
        if ended {
            return std::future::pending().await;
        }
        if ask.news() == News::Digest {
            *gathered = Some(self.news(ask));
            tokio::time::sleep(GATHER).await;
        }
    }

    /// Waits until the suspects have changed: at once for a request that is refused.
    async fn suspected(&self, ask: &Watch) {
        let mut revisions = self.state.suspects.subscribe();
        let moved = revisions.wait_for(|revision| revision.newest != ask.suspects);
        let ended = moved.await.is_err();
        if ended {
            return std::future::pending().await;
        }
        let refused = revisions.wait_for(|revision| revision.refusal > ask.suspects);
        if !ask.lists {
            // It is told of what is only suspected with whatever it is told next.
            let _ = refused.await;
            return;
        }
        // What has gathered by then is told.
        let _ = tokio::time::timeout(GATHER_SUSPECTS, refused).await;
    }

    /// What a watcher lacks of instances.
    fn news(&self, ask: &Watch) -> Told {
        if ask.news() == News::None {
            return Told {
                cursor: ask.cursor,
                ..Told::default()
            };
        }
        let known = self.state.known();
        let registry = &known.registry;
        let mut told = Told {
            cursor: registry.cursor(),
            digest: registry.digest().total(),
            announced: known.announced,
            ..Told::default()
        };
        if !ask.buckets.is_empty() {
            told.whole = self.state.pack(registry.differing(&ask.buckets));
            told.heard = registry.heard_since(ask.cursor);
        } else if ask.news() == News::Digest {
            told.heard = registry.heard_since(ask.cursor);
        } else if ask.cursor > 0 {
            let news = registry.news(ask.cursor);
            told.rows = news.rows;
            told.heard = news.heard;
        } else {
            drop(known);
            (told.cursor, told.whole) = self.state.whole();
        }
        told
    }

    async fn confirm(&self) -> bool {
        self.state.tables.read(CONFIRM).await.is_some()
    }

    /// Whether there is a table from the disk and no leader was known yet.
    ///
    /// After a loss of all processes entry processes have no table. One that was
    /// accepted is told to them at once in place of after the election.
    fn is_recovered(&self) -> bool {
        !self.state.tables.has_seen_leader() && self.state.tables.applied_table().version > 0
    }

    fn note(&self, ask: &Watch) {
        let now = self.state.clock.now();
        if self.state.known().entries.asked(now, ask) {
            info!(self.state.log, "entry host"; "entry" => &ask.host, "ready" => ask.ready,
                "address" => &ask.address);
        }
    }
}

impl HubApi for HubServer {
    async fn watch(self, _: Context, mut ask: Watch) -> WatchReply {
        self.note(&ask);
        if ask.epoch != self.state.epoch {
            ask.cursor = 0;
            ask.suspects = 0;
            if ask.news() != News::None {
                ask.wait_ms = 0;
            }
        }
        if !ask.buckets.is_empty() {
            ask.wait_ms = 0;
        }
        let recovered = self.is_recovered();
        let confirmed = ask.table == 0 && !recovered && self.confirm().await;
        let told = self.wait(&ask).await;
        let now = self.state.clock.now();
        self.state.known().entries.answered(now, &ask);
        let table = self.state.tables.applied_table().version;
        let evacuations = self.state.tables.evacuated();
        let evacuations = Some(evacuations).filter(|held| held.revision() > ask.evacuations);
        let known = self.state.known();
        let update = if ask.lists {
            known.lists.update(ask.list)
        } else {
            Update::Held
        };
        let (hosts, lost, packed) = match update {
            Update::Held => Default::default(),
            Update::Changes { hosts, lost } => (hosts, lost, Bytes::new()),
            Update::Whole(packed) => (Vec::new(), Vec::new(), packed),
        };
        let suspects =
            (known.tracker.revision().newest != ask.suspects).then(|| self.state.suspects(&known));
        let hubs = known.hubs.iter().map(ToString::to_string);
        WatchReply {
            epoch: self.state.epoch,
            cursor: told.cursor,
            instances: told.rows,
            whole: told.whole,
            heard: told.heard,
            digest: told.digest,
            announced: told.announced,
            table,
            confirmed,
            recovered,
            hubs: if known.group == ask.group {
                Vec::new()
            } else {
                hubs.collect()
            },
            group: known.group,
            entries: known.entries.count(now),
            hosts,
            lost,
            packed,
            list: known.lists.mark(),
            domain: self.state.settings.domain.to_string(),
            evacuations: evacuations.map(|evacuations| evacuations.to_wire()),
            suspects,
        }
    }

    async fn fetch(self, _: Context, ask: Fetch) -> Table {
        let table = self.state.tables.applied_table();
        let newer = table.version > ask.have;
        Table {
            version: table.version,
            content: if newer {
                table.content.clone()
            } else {
                Vec::new().into()
            },
            source: Vec::new().into(),
        }
    }

    async fn evacuate(self, _: Context, order: Evacuation) -> EvacuationReply {
        let Ok(domain) = DomainName::new(&order.domain) else {
            return reply(Outcome::Refused);
        };
        match self.desk.evacuate(&domain, order.evacuated).await {
            Ok(()) => reply(Outcome::Taken),
            Err(DeskError::Overtaken(_)) => reply(Outcome::Overtaken),
            Err(DeskError::Domain(_)) => reply(Outcome::Refused),
            Err(_) => reply(Outcome::Unspecified),
        }
    }

    async fn evacuations(self, _: Context) -> EvacuationsReply {
        let found = self.desk.evacuations().await.ok();
        EvacuationsReply {
            confirmed: found.is_some(),
            evacuations: found.map(|found| found.to_wire()),
        }
    }

    async fn put_table(self, _: Context, row: Table) -> TableReply {
        let Ok(table) = table::codec::decode(&row.content) else {
            return TableReply::default();
        };
        let put = Put {
            table,
            source: row.source.to_vec(),
        };
        self.desk.put(put).await.unwrap_or_default()
    }

    async fn read_table(self, _: Context) -> ReadReply {
        let table = self.desk.read().await.ok();
        ReadReply {
            confirmed: table.is_some(),
            table: table.map(|table| (*table).clone()),
        }
    }

    async fn report(self, _: Context, report: Report) -> Suspects {
        self.state.take_report(&report)
    }

    async fn resolve(self, _: Context, query: ResolveQuery) -> ResolveReply {
        let (addresses, ttl) = self.desk.resolve(&query.name, &query.domain, &query.region);
        ResolveReply {
            addresses,
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

fn reply(outcome: Outcome) -> EvacuationReply {
    EvacuationReply {
        outcome: outcome.into(),
    }
}

/// Serves one connection to its end.
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
