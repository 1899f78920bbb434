//! Watches every hub for the table and the instances.
//!
//! A change of any hub counts, so that one cut path doesn't matter. While no
//! hub answers, the process serves on with what it knows.

pub mod hubs;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tarpc::client::RpcError;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::Fetch;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::CONNECT_TIMEOUT;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

use crate::core::Core;

use self::hubs::Hubs;
use self::hubs::Seen;

/// Beyond its wait, a watch may take this long before the connection counts as dead.
const SLACK: Duration = Duration::from_millis(600);
/// Pause after a watch that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// The same while there is no table: callers wait, and a hub may start at any moment.
const QUICK_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for a connection while there is no table. A host that is without power
/// answers nothing, so that the wait for it goes on after it is back: up to
/// [`CONNECT_TIMEOUT`] of the callers' time. Over two ways between regions.
const QUICK_CONNECT: Duration = Duration::from_millis(40);
/// Longest wait for a table: 400 KB over a link of 2.3 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A table that no majority has confirmed is taken only after so long, as it
/// may be older than one that was in force here before a restart. One that a hub has
/// from its disk before there is a leader is taken at once: all have restarted then, or
/// the other hubs tell of a newer one within milliseconds.
const UNCONFIRMED: Duration = Duration::from_secs(3);
/// Between two looks at the settings and at who has gone.
const LOOK: Duration = Duration::from_secs(1);

/// What a hub last told, for the next watch.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    epoch: u64,
    cursor: u64,
    list: u64,
    table: u64,
}

/// The watch of one hub.
struct Follower {
    core: Arc<Core>,
    hubs: Arc<Hubs>,
    address: SocketAddr,
    link: Arc<HubLink>,
    begun: Instant,
    last: Mark,
}

/// How a watch ended.
enum Answer {
    /// The hub answered.
    Reply(WatchReply),
    /// It was given up, as something else is asked now.
    Again,
}

/// Watches all hubs. Never ends.
pub async fn run(core: Arc<Core>) {
    let hubs = Arc::new(Hubs::new());
    let mut renamed = hubs.renamed.subscribe();
    let mut watches: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
    loop {
        let settings = core.settings();
        let seeds = settings.seeds.iter();
        let seeds: Vec<SocketAddr> = seeds.map(|seed| settings.hub_at(seed.ip())).collect();
        let wanted = hubs.wanted(&seeds);
        let live = hubs.live();
        // While no hub answers, what they have heard last is all that is known.
        if !live.is_empty() {
            core.keep_hearers(&live);
        }
        watches.retain(|address, _| wanted.contains(address));
        for address in wanted {
            watches.entry(address).or_insert_with(|| {
                let follower = Follower::new(&core, &hubs, address);
                AbortOnDropHandle::new(tokio::spawn(follower.run()))
            });
        }
        let _ = tokio::time::timeout(LOOK, renamed.changed()).await;
    }
}

impl Follower {
    fn new(core: &Arc<Core>, hubs: &Arc<Hubs>, address: SocketAddr) -> Self {
        Self {
            core: Arc::clone(core),
            hubs: Arc::clone(hubs),
            address,
            link: Arc::new(peer::hub(address)),
            begun: Instant::now(),
            last: Mark::default(),
        }
    }

    async fn run(mut self) {
        let mut up = false;
        loop {
            let ask = self.next();
            let reply = match self.ask(ask.clone()).await {
                Some(Answer::Reply(reply)) => Some(reply),
                Some(Answer::Again) => continue,
                None => None,
            };
            if reply.is_some() != up {
                up = !up;
                let outcome = if up { "regained" } else { "lost" };
                info!(self.core.log, "hub"; "address" => %self.address, "outcome" => outcome);
            }
            let Some(reply) = reply else {
                tokio::time::sleep(self.pause()).await;
                continue;
            };
            self.take(&ask, &reply);
        }
    }

    /// How long to wait for a connection to the hub.
    fn patience(&self) -> Duration {
        if self.is_waiting() {
            QUICK_CONNECT
        } else {
            CONNECT_TIMEOUT
        }
    }

    /// How long to wait after a watch that failed.
    fn pause(&self) -> Duration {
        if self.is_waiting() {
            QUICK_PAUSE
        } else {
            PAUSE
        }
    }

    /// Whether requests wait for the first table.
    fn is_waiting(&self) -> bool {
        !*self.core.routed.borrow()
    }

    /// What the hub is asked next.
    fn next(&self) -> Watch {
        let settings = self.core.settings();
        let held = self.core.routes().table.version;
        // While a table is on its way, being told of it again helps nobody.
        let fetching = self.hubs.is_fetching();
        let table = if fetching {
            held.max(self.last.table)
        } else {
            held
        };
        Watch {
            host: settings.host.to_string(),
            domain: settings.domain.to_string(),
            region: settings.region.to_string(),
            address: settings.front.to_string(),
            ready: self.core.is_ready(),
            epoch: self.last.epoch,
            cursor: self.last.cursor,
            list: self.last.list,
            lists: self.hubs.is_first(self.address),
            place: settings
                .place
                .map_or_else(String::new, |place| place.to_string()),
            table,
            wait_ms: u32::try_from(self.hubs.wait().as_millis()).unwrap_or(u32::MAX),
        }
    }

    async fn ask(&self, ask: Watch) -> Option<Answer> {
        let client = self.link.client_within(self.patience()).await.ok()?;
        let mut routed = self.core.routed.subscribe();
        let mut stage = self.core.stage.subscribe();
        let mut stalled = self.hubs.stalled.subscribe();
        let patience = Duration::from_millis(ask.wait_ms.into()) + SLACK;
        let call = client.watch(within(patience), ask);
        let result = tokio::select! {
            result = tokio::time::timeout(patience, call) => match result {
                Ok(result) => result,
                Err(_) => Err(RpcError::DeadlineExceeded),
            },
            // The hubs learn at once that callers may, or may no longer, be sent here.
            _ = routed.changed() => return Some(Answer::Again),
            _ = stage.changed() => return Some(Answer::Again),
            _ = stalled.changed() => return Some(Answer::Again),
        };
        self.link.judge(result).ok().map(Answer::Reply)
    }

    fn take(&mut self, ask: &Watch, reply: &WatchReply) {
        self.take_news(reply);
        if reply.entries > 0 {
            self.core.set_entries(reply.entries);
        }
        self.note(ask, reply);
        self.last = Mark {
            epoch: reply.epoch,
            cursor: reply.cursor,
            list: if ask.lists { reply.list } else { 0 },
            table: reply.table,
        };
        let held = self.core.routes().table.version;
        let late = self.begun.elapsed() >= UNCONFIRMED;
        let trusted = reply.confirmed || reply.recovered || held > 0 || late;
        if reply.table > held && trusted && self.hubs.begin_fetch() {
            let (core, hubs) = (Arc::clone(&self.core), Arc::clone(&self.hubs));
            tokio::spawn(fetch(core, hubs, Arc::clone(&self.link), reply.table));
        }
    }

    /// Takes what the hub tells of instances, all of them or changes.
    fn take_news(&self, reply: &WatchReply) {
        if reply.whole.is_empty() {
            return self.core.take_instances(self.address, &reply.instances);
        }
        match registry::unpack(&reply.whole) {
            Ok(all) => self.core.take_instances(self.address, &all),
            Err(err) => {
                warn!(self.core.log, "bad list of instances"; "hub" => %self.address,
                    "error" => %err);
            }
        }
    }

    fn note(&self, ask: &Watch, reply: &WatchReply) {
        let named = reply.hubs.iter().filter_map(|hub| hub.parse().ok());
        let hosts = if ask.lists && reply.list == ask.list {
            self.hubs.hosts_of(self.address)
        } else {
            reply.hosts.clone()
        };
        let seen = Seen {
            answered: Instant::now(),
            near: reply.domain == ask.domain,
            table: reply.table,
            named: named.collect(),
            hosts,
        };
        self.core.set_hosts(self.hubs.note(self.address, seen));
    }
}

/// Fetches the newest table that a hub has, of `told` at least.
async fn fetch(core: Arc<Core>, hubs: Arc<Hubs>, link: Arc<HubLink>, told: u64) {
    let have = core.routes().table.version;
    match fetched(&link, have).await {
        Some(row) if row.version > have => match table::codec::decode(&row.content) {
            Ok(table) => core.set_table(table),
            Err(err) => {
                warn!(core.log, "bad route table"; "version" => row.version, "error" => %err);
            }
        },
        Some(_) => {}
        None => {
            info!(core.log, "route table not fetched"; "hub" => %link.address(), "told" => told);
        }
    }
    hubs.end_fetch(core.routes().table.version);
}

async fn fetched(link: &HubLink, have: u64) -> Option<wire::hub::Table> {
    let client = link.client().await.ok()?;
    let call = client.fetch(within(FETCH_TIMEOUT), Fetch { have });
    link.judge(call.await).ok()
}
