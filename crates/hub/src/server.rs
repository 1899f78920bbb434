//! What a hub serves to entry processes, other hubs and operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
use wire::hub::Fetch;
use wire::hub::Instance;
use wire::hub::ReadReply;
use wire::hub::ResolveQuery;
use wire::hub::ResolveReply;
use wire::hub::Table;
use wire::hub::TableReply;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::Channel as Transport;

use crate::desk::Desk;
use crate::desk::Put;
use crate::state::State;

/// Longest time that a watch is held.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How long a majority may take to confirm the table for a process that has none.
const CONFIRM: Duration = Duration::from_millis(300);

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

    /// Waits until there is anything that the watcher lacks.
    async fn wait(&self, ask: &Watch) {
        let wait = Duration::from_millis(ask.wait_ms.into()).min(MAX_WAIT);
        let end = Instant::now() + wait;
        let mut cursors = self.state.cursor.subscribe();
        let mut views = self.state.tables.views();
        let mut lists = self.state.list.subscribe();
        let moved = cursors.wait_for(|cursor| *cursor > ask.cursor);
        let newer = views.wait_for(|view| view.table.version > ask.table);
        tokio::select! {
            _ = moved => {}
            _ = newer => {}
            _ = lists.wait_for(|list| list.mark != ask.list), if ask.lists => {}
            () = tokio::time::sleep_until(end) => {}
        }
    }

    /// What a watcher at `cursor` lacks, and its next cursor: changes, or all at once.
    fn news(&self, cursor: u64) -> (u64, Vec<Instance>, Bytes) {
        if cursor == 0 {
            let (cursor, whole) = self.state.whole();
            return (cursor, Vec::new(), whole);
        }
        let known = self.state.known();
        let changes = known.registry.since(cursor);
        (known.registry.cursor(), changes, Bytes::new())
    }

    async fn confirm(&self) -> bool {
        self.state.tables.read(CONFIRM).await.is_some()
    }

    /// Whether there is a table from the disk and no leader was known yet.
    ///
    /// After a loss of all processes entry processes have no table. One that was
    /// accepted is told to them at once in place of after the election.
    fn is_recovered(&self) -> bool {
        !self.state.tables.is_led() && self.state.tables.applied().version > 0
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
            ask.wait_ms = 0;
        }
        let recovered = self.is_recovered();
        let confirmed = ask.table == 0 && !recovered && self.confirm().await;
        self.wait(&ask).await;
        let now = self.state.clock.now();
        self.state.known().entries.answered(now, &ask);
        let table = self.state.tables.applied().version;
        let (cursor, instances, whole) = self.news(ask.cursor);
        let known = self.state.known();
        let list = Arc::clone(&self.state.list.borrow());
        let wanted = ask.lists && list.mark != ask.list;
        WatchReply {
            epoch: self.state.epoch,
            cursor,
            instances,
            whole,
            table,
            confirmed,
            recovered,
            hubs: known.hubs.iter().map(ToString::to_string).collect(),
            entries: known.entries.count(now),
            hosts: if wanted {
                list.hosts.clone()
            } else {
                Vec::new()
            },
            list: list.mark,
            domain: self.state.settings.domain.to_string(),
        }
    }

    async fn fetch(self, _: Context, ask: Fetch) -> Table {
        let table = self.state.tables.applied();
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

    async fn resolve(self, _: Context, query: ResolveQuery) -> ResolveReply {
        let (addresses, ttl) = self.desk.resolve(&query.name, &query.domain, &query.region);
        ResolveReply {
            addresses,
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        }
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
